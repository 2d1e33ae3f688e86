//! The clock that deadlines refer to.

use crate::model::{Span, Time};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A clock that adds the monotonic time since its creation to the Unix time of its creation, so that setting
/// the system clock does not change deadlines.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    unix_start: Time,
    start: Instant,
}

impl SystemClock {
    /// Creates a clock that starts at the current system time.
    pub fn new() -> SystemClock {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        SystemClock {
            unix_start: Time(since_epoch.as_nanos() as u64),
            start: Instant::now(),
        }
    }

    /// Returns the current time, in nanoseconds since the Unix epoch.
    pub fn now(&self) -> Time {
        self.unix_start + Span(self.start.elapsed().as_nanos() as u64)
    }
}

impl Default for SystemClock {
    fn default() -> SystemClock {
        SystemClock::new()
    }
}
