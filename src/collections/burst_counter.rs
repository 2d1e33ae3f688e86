//! Events in a row, where a burst counts once.

use crate::model::{Span, Time};

/// Counts events in a row; those that follow a counted one closely are part of it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BurstCounter {
    counted_at: Time,
    count: u32,
}

impl BurstCounter {
    /// Notes an event, counts it unless it comes within `burst` of the last counted one, and returns the count.
    pub(crate) fn record(&mut self, now: Time, burst: Span) -> u32 {
        if now - self.counted_at > burst {
            self.counted_at = now;
            self.count += 1;
        }
        self.count
    }

    /// Starts counting from zero; the time of the last counted event stays.
    pub(crate) fn reset(&mut self) {
        self.count = 0;
    }
}
