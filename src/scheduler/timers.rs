//! The scheduler's timers: one for each open request, attempt, load order and health check, and those of the policy.

use super::{AttemptId, HealthCheckId, LoadOrderId, Scheduler};
use crate::model::{AttemptStatus, Event, RequestId, Time};

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
    /// The endpoint list, or a worker's lease, may have become stale.
    EndpointLeases,
}

impl Scheduler {
    /// When [`Scheduler::fire_timers`] is to be called next.
    pub fn next_timer(&self) -> Option<Time> {
        self.timers.next_expiry()
    }

    /// Fires all timers that have expired.
    pub fn fire_timers(&mut self, now: Time) {
        while let Some(timer) = self.timers.pop_expired(now) {
            self.fire_timer(now, timer);
        }
        self.run_policy(now);
    }

    /// Does what the timer was set for.
    fn fire_timer(&mut self, now: Time, timer: Timer) {
        match timer {
            Timer::Policy => self.pending_events.push_back(Event::TimerFired),
            Timer::Request(id) => self.fail_overdue_request(now, id),
            Timer::Attempt(id) => self.cancel_attempt(now, id, AttemptStatus::Timeout),
            Timer::LoadOrder(id) => self.time_out_load_order(now, id),
            Timer::HealthCheck(id) => self.time_out_health_check(id),
            Timer::EndpointLeases => self.check_endpoint_leases(now),
        }
    }
}
