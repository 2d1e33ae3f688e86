//! Which attempts a worker has accepted and rejected.

use super::Attempt;
use crate::model::{AttemptStatus, Time};

/// The attempts that show whether a worker takes new work.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Acceptance {
    last_accepted: Option<Time>,
    last_sent: Option<Time>,
    rejections: u32,
    lost_at: Option<Time>,
}

impl Acceptance {
    /// When the latest attempt was sent that the worker has accepted.
    pub(crate) fn last_accepted(&self) -> Option<Time> {
        self.last_accepted
    }

    /// When the latest attempt was sent that the worker has accepted, or will accept if it has rejected none since it
    /// last accepted one.
    pub(crate) fn last_expected(&self) -> Option<Time> {
        let expected = self.last_sent.filter(|_| self.rejections == 0);
        self.last_accepted.max(expected)
    }

    /// An attempt is sent.
    pub(crate) fn sent(&mut self, now: Time) {
        self.last_sent = Some(now);
    }

    /// The worker could not be reached: what answers there next may be another process.
    pub(crate) fn lost(&mut self, now: Time) {
        self.lost_at = Some(now);
    }

    /// Whether it could not be reached at some time since then.
    pub(crate) fn was_lost_since(&self, since: Time) -> bool {
        self.lost_at >= Some(since)
    }

    /// How many attempts it has rejected since it last accepted one.
    pub(crate) fn rejections(&self) -> u32 {
        self.rejections
    }

    /// Records the end of an attempt.
    pub(crate) fn record(&mut self, attempt: &Attempt, status: AttemptStatus) {
        match status {
            AttemptStatus::Ok => {
                self.last_accepted = self.last_accepted.max(Some(attempt.sent_at));
                self.rejections = 0;
            }
            AttemptStatus::AtCapacity => self.rejections = self.rejections.saturating_add(1),
            _ => {}
        }
    }
}
