//! Exponential backoff.

use crate::model::{Span, Time};

/// A delay that doubles with each failure in a row, up to a limit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExponentialBackoff {
    initial: Span,
    max_doublings: u32,
}

impl ExponentialBackoff {
    /// A backoff that starts at `initial` and doubles at most `max_doublings` times.
    pub(crate) const fn new(initial: Span, max_doublings: u32) -> ExponentialBackoff {
        ExponentialBackoff {
            initial,
            max_doublings,
        }
    }

    /// The delay after so many earlier failures in a row; the initial one where there were none.
    pub(crate) fn delay(self, earlier_failures: u32) -> Span {
        Span(self.initial.0 << earlier_failures.min(self.max_doublings))
    }
}

/// The failures in a row of one target, and until when it backs off.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BackoffTimer {
    failures: u32,
    until: Time,
}

impl BackoffTimer {
    /// Whether the target still backs off.
    pub(crate) fn is_active(&self, now: Time) -> bool {
        self.until > now
    }

    /// Failures since the last reset.
    pub(crate) fn failures(&self) -> u32 {
        self.failures
    }

    /// Records a failure, unless the target still backs off.
    pub(crate) fn begin(&mut self, now: Time, backoff: ExponentialBackoff) {
        if !self.is_active(now) {
            self.restart(now, backoff);
        }
    }

    /// Records a failure; the wait starts anew, and may so end earlier than the one before.
    pub(crate) fn restart(&mut self, now: Time, backoff: ExponentialBackoff) {
        self.until = now + backoff.delay(self.failures);
        self.failures += 1;
    }

    /// Records a failure; a wait under way that would end later is kept.
    pub(crate) fn extend(&mut self, now: Time, backoff: ExponentialBackoff) {
        self.extend_until(now + backoff.delay(self.failures));
        self.failures += 1;
    }

    /// Waits at least until `until`, with no failure counted.
    pub(crate) fn extend_until(&mut self, until: Time) {
        self.until = self.until.max(until);
    }

    /// Resets the count of failures; a wait under way is kept.
    pub(crate) fn reset_failures(&mut self) {
        self.failures = 0;
    }
}
