//! A rate limit on log lines that clients cause.

use super::Scheduler;
use crate::model::{Span, Time};

/// The period over which lines are counted.
const WINDOW: Span = Span::from_millis(1_000);

/// Lines that may be logged in one window.
const LINES_PER_WINDOW: u32 = 10;

/// Counts log lines in windows of one second. Clients at full speed must not keep the scheduler busy with
/// writing its log, and waiting for whoever reads it.
#[derive(Debug, Default)]
pub(super) struct LogLimiter {
    window_start: Time,
    lines: u32,
}

impl LogLimiter {
    /// Whether one more line may be logged.
    pub(super) fn try_acquire(&mut self, now: Time) -> bool {
        if now - self.window_start >= WINDOW {
            self.window_start = now;
            self.lines = 0;
        }
        self.lines += 1;
        self.lines <= LINES_PER_WINDOW
    }
}

impl Scheduler {
    /// Whether a log line that a client has caused may be written. Ten lines a second are admitted; those beyond
    /// are only counted.
    pub fn admits_log_line(&mut self, now: Time) -> bool {
        let allowed = self.log_limiter.try_acquire(now);
        if !allowed {
            self.counters.log_lines_suppressed += 1;
        }
        allowed
    }
}
