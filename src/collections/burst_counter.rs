//! Events in a row, where a burst counts once.

use crate::model::{Span, Time};

/// Counts events in a row; those that follow a counted one closely are part of it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BurstCounter {
    counted_at: Time,
    count: u32,
}

impl BurstCounter {
    /// Records an event, and counts it unless it comes within `burst` of the last counted one. Returns whether
    /// the count has reached `limit`; it then starts from zero.
    pub(crate) fn record(&mut self, now: Time, burst: Span, limit: u32) -> bool {
        if now - self.counted_at > burst {
            self.counted_at = now;
            self.count += 1;
        }
        let is_reached = self.count >= limit;
        if is_reached {
            self.reset();
        }
        is_reached
    }

    /// Starts counting from zero; the time of the last counted event stays.
    pub(crate) fn reset(&mut self) {
        self.count = 0;
    }
}
