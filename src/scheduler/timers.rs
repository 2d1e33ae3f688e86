//! The scheduler's timers: one for each open request, attempt, load order and health check, one for endpoint
//! leases, and those of the policy.

use super::{AttemptId, HealthCheckId, LoadOrderId, Scheduler};
use crate::model::{AttemptStatus, Event, RequestId, Time};

/// The purpose of a timer. Timers that expire at the same time fire in the order of these variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A timer that the policy has set.
    Policy,
    /// This request is overdue if the policy has not ended it.
    Request(RequestId),
    /// This attempt has timed out.
    Attempt(AttemptId),
    /// This load order has timed out.
    LoadOrder(LoadOrderId),
    /// This health check has timed out.
    HealthCheck(HealthCheckId),
    /// The endpoint list may have become stale, or a worker's lease may have expired.
    EndpointLeases,
}

impl Scheduler {
    /// Returns when [`Scheduler::fire_timers`] must be called next.
    pub fn next_timer(&self) -> Option<Time> {
        self.timers.next_expiry()
    }

    /// Fires all timers that have expired, in the order of their expiry.
    pub fn fire_timers(&mut self, now: Time) {
        self.fire_timers_until(now, || false);
    }

    /// Fires the timers that have expired, in the order of their expiry, at least one of them and until
    /// `should_stop` returns true. The others fire in the next call.
    pub fn fire_timers_until(&mut self, now: Time, should_stop: impl Fn() -> bool) {
        while let Some(timer) = self.timers.pop_expired(now) {
            self.fire_timer(now, timer);
            if should_stop() {
                break;
            }
        }
        self.run_policy(now);
    }

    /// Performs the action of an expired timer.
    fn fire_timer(&mut self, now: Time, timer: Timer) {
        match timer {
            // The policy acts before the timers that expire after its own, so that a late call has the same
            // effect as a punctual one.
            Timer::Policy => self.handle_event(now, Event::TimerFired),
            Timer::Request(id) => self.fail_overdue_request(now, id),
            Timer::Attempt(id) => self.cancel_attempt(now, id, AttemptStatus::Timeout),
            Timer::LoadOrder(id) => self.time_out_load_order(now, id),
            Timer::HealthCheck(id) => self.time_out_health_check(id),
            Timer::EndpointLeases => self.check_endpoint_leases(now),
        }
    }
}
