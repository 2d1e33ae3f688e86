//! Tracks which attempts a worker has accepted and rejected.

use super::Attempt;
use crate::model::{AttemptStatus, Time};

/// Marks a time that is not set. An `Option<Time>` would take twice the memory, and a scheduler tracks many
/// workers.
const NEVER: Time = Time(0);

/// Record of the attempts that show whether a worker accepts new work.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Acceptance {
    last_accepted: Time,
    last_sent: Time,
    unreachable_at: Time,
    rejections: u32,
}

impl Acceptance {
    /// Returns the send time of the latest attempt that the worker accepted, or `None` if it has accepted
    /// none.
    pub(crate) fn last_accepted(&self) -> Option<Time> {
        Some(self.last_accepted).filter(|at| *at != NEVER)
    }

    /// Returns the send time of the latest attempt that the worker accepted or is expected to accept.
    ///
    /// Attempts are expected to be accepted while the worker has rejected none since it last accepted one.
    /// Returns `None` if there is no such attempt.
    pub(crate) fn last_expected(&self) -> Option<Time> {
        let expected = if self.rejections == 0 {
            self.last_sent
        } else {
            NEVER
        };
        Some(self.last_accepted.max(expected)).filter(|at| *at != NEVER)
    }

    /// Records that an attempt was sent.
    pub(crate) fn record_sent(&mut self, now: Time) {
        self.last_sent = now;
    }

    /// Records that the worker could not be reached. The process that answers there next may be a different
    /// one.
    pub(crate) fn record_unreachable(&mut self, now: Time) {
        self.unreachable_at = now;
    }

    /// Returns whether the worker was unreachable at `since` or later.
    pub(crate) fn was_unreachable_since(&self, since: Time) -> bool {
        self.unreachable_at != NEVER && self.unreachable_at >= since
    }

    /// Returns how many attempts the worker has rejected since it last accepted one.
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
