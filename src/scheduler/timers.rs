//! The scheduler's timers, ordered by expiry.

use super::{AttemptId, HealthCheckId, LoadOrderId};
use crate::model::{RequestId, Time};
use std::collections::BTreeSet;

/// What a timer is for. Timers of the same expiry fire in the order of these variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The policy asked to be called again.
    Policy,
    /// The policy should have ended this request by now.
    Request(RequestId),
    /// This attempt has run out of time.
    Attempt(AttemptId),
    /// This load order has run out of time.
    LoadOrder(LoadOrderId),
    /// This health check has run out of time.
    HealthCheck(HealthCheckId),
}

/// A timer with its expiry; ordered by expiry first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledTimer {
    expires_at: Time,
    timer: Timer,
}

/// A queue of timers.
#[derive(Debug, Default)]
pub(super) struct TimerQueue {
    scheduled: BTreeSet<ScheduledTimer>,
}

impl TimerQueue {
    /// Schedules a timer. The same timer scheduled twice for the same time fires once.
    pub(super) fn schedule(&mut self, expires_at: Time, timer: Timer) {
        self.scheduled.insert(ScheduledTimer { expires_at, timer });
    }

    /// Removes a timer that was scheduled for this time.
    pub(super) fn cancel(&mut self, expires_at: Time, timer: Timer) {
        self.scheduled.remove(&ScheduledTimer { expires_at, timer });
    }

    /// When the next timer expires.
    pub(super) fn next_expiry(&self) -> Option<Time> {
        self.scheduled.first().map(|next| next.expires_at)
    }

    /// Removes the next timer if it has expired.
    pub(super) fn pop_expired(&mut self, now: Time) -> Option<Timer> {
        if self.next_expiry()? > now {
            return None;
        }
        self.scheduled.pop_first().map(|next| next.timer)
    }
}
