//! Liveness of a peer: its latest response and its unanswered health checks.

use crate::model::Time;

/// The time of a peer's latest response and the number of consecutive health checks that it did not answer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Liveness {
    last_response_at: Time,
    check_pending: bool,
    unanswered_checks: u32,
}

impl Liveness {
    /// Returns the time of the latest response.
    pub(crate) fn last_response_at(&self) -> Time {
        self.last_response_at
    }

    /// Records a response of the peer and resets the count of unanswered checks.
    pub(crate) fn record_response(&mut self, now: Time) {
        self.last_response_at = now;
        self.unanswered_checks = 0;
    }

    /// Begins a check and returns true, or returns false if a check is already in progress.
    pub(crate) fn begin_check(&mut self) -> bool {
        !std::mem::replace(&mut self.check_pending, true)
    }

    /// Records the end of a check and returns the number of consecutive unanswered checks.
    pub(crate) fn end_check(&mut self, is_answered: bool, now: Time) -> u32 {
        self.check_pending = false;
        self.unanswered_checks += 1;
        if is_answered {
            self.record_response(now);
        }
        self.unanswered_checks
    }
}
