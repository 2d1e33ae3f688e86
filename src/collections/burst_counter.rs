//! A counter of events that counts each burst once.

use crate::model::{Span, Time};

/// Counts events; those that closely follow a counted event belong to its burst and are not counted.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BurstCounter {
    counted_at: Time,
    count: u32,
}

impl BurstCounter {
    /// Records an event and counts it unless it comes within `burst` of the last counted one.
    ///
    /// Returns whether the count has reached `limit`; it then starts again from zero.
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

    /// Resets the count to zero; the time of the last counted event is kept.
    pub(crate) fn reset(&mut self) {
        self.count = 0;
    }
}
