//! When a peer last responded, and the health checks that it left unanswered.

use crate::model::Time;

/// When a peer last responded, and how many health checks in a row it left unanswered.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Liveness {
    last_response_at: Time,
    check_pending: bool,
    unanswered_checks: u32,
}

impl Liveness {
    /// When the peer last responded.
    pub(crate) fn last_response_at(&self) -> Time {
        self.last_response_at
    }

    /// The peer has responded: earlier unanswered checks count no more.
    pub(crate) fn record_response(&mut self, now: Time) {
        self.last_response_at = now;
        self.unanswered_checks = 0;
    }

    /// A check begins; returns whether it may, as none is under way.
    pub(crate) fn begin_check(&mut self) -> bool {
        !std::mem::replace(&mut self.check_pending, true)
    }

    /// The check has ended; returns how many in a row have not been answered.
    pub(crate) fn end_check(&mut self, is_answered: bool, now: Time) -> u32 {
        self.check_pending = false;
        self.unanswered_checks += 1;
        if is_answered {
            self.record_response(now);
        }
        self.unanswered_checks
    }
}
