//! Exponential backoff.

use crate::model::{Span, Time};

/// A delay that doubles with each consecutive failure, up to a maximum.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExponentialBackoff {
    initial: Span,
    max_doublings: u32,
}

impl ExponentialBackoff {
    /// Creates a backoff that starts at `initial` and doubles at most `max_doublings` times.
    pub(crate) const fn new(initial: Span, max_doublings: u32) -> ExponentialBackoff {
        ExponentialBackoff {
            initial,
            max_doublings,
        }
    }

    /// Returns the delay after `earlier_failures` consecutive failures; without any, it is the initial
    /// delay.
    pub(crate) fn delay(self, earlier_failures: u32) -> Span {
        Span(self.initial.0 << earlier_failures.min(self.max_doublings))
    }
}

/// The backoff state of one target: its consecutive failures and the end of the current backoff.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BackoffTimer {
    failures: u32,
    until: Time,
}

impl BackoffTimer {
    /// Returns whether the target is still backing off.
    pub(crate) fn is_active(&self, now: Time) -> bool {
        self.until > now
    }

    /// Returns the number of failures since the last reset.
    pub(crate) fn failures(&self) -> u32 {
        self.failures
    }

    /// Records a failure, unless the target is still backing off.
    pub(crate) fn begin(&mut self, now: Time, backoff: ExponentialBackoff) {
        if !self.is_active(now) {
            self.restart(now, backoff);
        }
    }

    /// Records a failure and restarts the backoff, which may then end earlier than before.
    pub(crate) fn restart(&mut self, now: Time, backoff: ExponentialBackoff) {
        self.until = now + backoff.delay(self.failures);
        self.failures += 1;
    }

    /// Records a failure and extends the backoff; a current backoff that ends later is kept.
    pub(crate) fn extend(&mut self, now: Time, backoff: ExponentialBackoff) {
        self.extend_until(now + backoff.delay(self.failures));
        self.failures += 1;
    }

    /// Extends the backoff to at least `until` without counting a failure.
    pub(crate) fn extend_until(&mut self, until: Time) {
        self.until = self.until.max(until);
    }

    /// Resets the failure count; the current backoff continues.
    pub(crate) fn reset_failures(&mut self) {
        self.failures = 0;
    }
}
