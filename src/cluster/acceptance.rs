//! Which attempts a worker has accepted and rejected.

use super::Attempt;
use crate::model::{AttemptStatus, Time};

/// No time: fleets are large, and an `Option` would take twice the memory.
const NEVER: Time = Time(0);

/// The attempts that show whether a worker takes new work.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Acceptance {
    last_accepted: Time,
    last_sent: Time,
    unreachable_at: Time,
    rejections: u32,
}

impl Acceptance {
    /// When the latest attempt was sent that the worker has accepted; none where it has not accepted any.
    pub(crate) fn last_accepted(&self) -> Option<Time> {
        Some(self.last_accepted).filter(|at| *at != NEVER)
    }

    /// The same, or when the latest attempt was sent that it will accept if it still takes new work: it has rejected none
    /// since it last accepted one.
    pub(crate) fn last_expected(&self) -> Option<Time> {
        let expected = if self.rejections == 0 {
            self.last_sent
        } else {
            NEVER
        };
        Some(self.last_accepted.max(expected)).filter(|at| *at != NEVER)
    }

    /// An attempt is sent.
    pub(crate) fn record_sent(&mut self, now: Time) {
        self.last_sent = now;
    }

    /// The worker could not be reached: what answers there next may be another process.
    pub(crate) fn record_unreachable(&mut self, now: Time) {
        self.unreachable_at = now;
    }

    /// Whether it could not be reached at some time since then.
    pub(crate) fn was_unreachable_since(&self, since: Time) -> bool {
        self.unreachable_at != NEVER && self.unreachable_at >= since
    }

    /// How many attempts it has rejected since it last accepted one.
    pub(crate) fn rejections(&self) -> u32 {
        self.rejections
    }

    /// Records the end of an attempt.
    pub(crate) fn record(&mut self, attempt: &Attempt, status: AttemptStatus) {
        match status {
            AttemptStatus::Ok => {
                self.last_accepted = self.last_accepted.max(attempt.sent_at);
                self.rejections = 0;
            }
            AttemptStatus::AtCapacity => self.rejections = self.rejections.saturating_add(1),
            _ => {}
        }
    }
}
