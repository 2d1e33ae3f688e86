//! A rate limit on log lines that clients can cause.

use super::Scheduler;
use crate::model::{Span, Time};

/// Length of the window in which lines are counted.
const WINDOW: Span = Span::from_millis(1_000);

/// Maximum number of lines logged in one window.
const LINES_PER_WINDOW: u32 = 10;

/// A limiter of log lines with fixed windows of one second. It keeps clients that send at full speed from
/// making the scheduler spend its time on writing the log and waiting for the log's reader.
#[derive(Debug, Default)]
pub(super) struct LogLimiter {
    window_start: Time,
    lines: u32,
}

impl LogLimiter {
    /// Returns whether another line may be logged, and counts it.
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
    /// Returns whether a log line that a client has caused may be written. Ten lines per second are
    /// admitted; further lines are only counted.
    pub fn admits_log_line(&mut self, now: Time) -> bool {
        let allowed = self.log_limiter.try_acquire(now);
        if !allowed {
            self.counters.log_lines_suppressed += 1;
        }
        allowed
    }
}
