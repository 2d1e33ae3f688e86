//! Endpoint updates, and the logging and counting of a stale endpoint list and expired leases.
//!
//! The policy owns the endpoint list and decides how long it is valid; see its module `endpoint_lease`.

use super::Scheduler;
use super::timers::Timer;
use crate::model::{
    Endpoint, EndpointUpdateKind, Event, RejectionCause, RequestId, Span, Time, WatchStatus, WorkerId,
};
use crate::policy::ExpiredLease;
use std::collections::BTreeSet;
use tracing::{debug, info, warn};

/// Time between two checks of the workers' leases while the endpoint list is stale.
const LEASE_CHECK_INTERVAL: Span = Span::from_millis(100);

/// Tracks when to check for a stale endpoint list and expired leases, and what has been reported.
#[derive(Debug, Default)]
pub(super) struct LeaseMonitor {
    /// Time of the next check; `None` while heartbeats arrive.
    next_check: Option<Time>,
    /// The report on the stale endpoint list; `None` while the list is not stale.
    report: Option<StaleListReport>,
}

#[cfg(test)]
impl LeaseMonitor {
    /// Returns the time of the next check.
    pub(super) fn next_check(&self) -> Option<Time> {
        self.next_check
    }
}

/// What has been logged while the endpoint list is stale.
#[derive(Debug)]
struct StaleListReport {
    stale_since: Time,
    /// Value of the counter `requests_rejected_unconfirmed` when the list became stale.
    earlier_rejections: u64,
    /// Workers whose leases had expired at the last check.
    expired: BTreeSet<WorkerId>,
}

impl Scheduler {
    /// Applies an endpoint update.
    pub fn update_endpoints(&mut self, now: Time, kind: EndpointUpdateKind, endpoints: Vec<Endpoint>) {
        self.counters.endpoint_updates += 1;
        self.handle_event(now, Event::EndpointsUpdated { kind, endpoints });
    }

    /// Handles a change of the status of the endpoint list's watch. The change happened at `at`, possibly
    /// before `now`.
    pub fn watch_changed(&mut self, now: Time, at: Time, status: WatchStatus) {
        if self.policy.watch_changed(at, status) {
            self.handle_event(now, Event::TimerFired);
        }
        if !self.policy.is_list_stale(now) {
            self.report_confirmed_list(now);
        }
        // While heartbeats arrive, the list does not become stale and no timer is needed.
        if matches!(status, WatchStatus::Requested | WatchStatus::Disconnected)
            && let Some(stale_at) = self.policy.list_stale_at()
        {
            self.schedule_lease_check(stale_at.max(now));
        }
    }

    /// Reports a stale endpoint list and expired leases. While the list is stale, schedules the next check.
    pub(super) fn check_endpoint_leases(&mut self, now: Time) {
        self.lease_monitor.next_check = None;
        if !self.policy.is_list_stale(now) {
            return;
        }
        if self.lease_monitor.report.is_none() {
            self.report_stale_list(now);
        }
        self.report_expired_leases(now);
        self.schedule_lease_check(now + LEASE_CHECK_INTERVAL);
    }

    /// Counts and logs the cause of a request's rejection.
    pub(super) fn record_rejection(&mut self, id: RequestId, cause: RejectionCause) {
        if cause == RejectionCause::NoConfirmedWorker {
            self.counters.requests_rejected_unconfirmed += 1;
        }
        debug!(request = id.0, ?cause, "request rejected");
    }

    fn schedule_lease_check(&mut self, at: Time) {
        let previous = self.lease_monitor.next_check.replace(at);
        self.timers.reschedule(Timer::EndpointLeases, previous, Some(at));
    }

    fn report_stale_list(&mut self, now: Time) {
        self.counters.endpoint_list_stale += 1;
        warn!("endpoint list stale");
        self.lease_monitor.report = Some(StaleListReport {
            stale_since: now,
            earlier_rejections: self.counters.requests_rejected_unconfirmed,
            expired: BTreeSet::new(),
        });
    }

    fn report_confirmed_list(&mut self, now: Time) {
        let Some(report) = self.lease_monitor.report.take() else {
            return;
        };
        info!(
            stale_ms = (now - report.stale_since).as_millis_rounded_up(),
            requests_rejected = self.counters.requests_rejected_unconfirmed - report.earlier_rejections,
            "endpoint list confirmed"
        );
    }

    /// Reports the workers whose leases have expired since the last check.
    fn report_expired_leases(&mut self, now: Time) {
        let expired = self.policy.expired_leases(now);
        let Some(report) = &mut self.lease_monitor.report else {
            return;
        };
        let workers = expired.iter().map(|lease| lease.worker).collect();
        let previously_expired = std::mem::replace(&mut report.expired, workers);
        for lease in expired
            .iter()
            .filter(|lease| !previously_expired.contains(&lease.worker))
        {
            self.counters.worker_leases_expired += 1;
            self.log_expired_lease(now, lease);
        }
    }

    fn log_expired_lease(&mut self, now: Time, lease: &ExpiredLease) {
        let worker = format_args!("{:08x}", lease.worker.0);
        let accepted_ms_ago = lease.accepted_ago.map(Span::as_millis_rounded_up);
        let rejections = lease.rejections;
        if rejections == 0 {
            debug!(worker, accepted_ms_ago, "worker lease expired");
        } else if self.admits_log_line(now) {
            info!(worker, accepted_ms_ago, rejections, "worker presumed draining");
        }
    }
}
