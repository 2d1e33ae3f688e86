//! Leases on the readiness of workers: until when a worker may be sent new work, given the age of the
//! information about it.
//!
//! A scheduler counts as notified of a drain even if discovery could not deliver the notification. It must
//! stop sending new work by the end of a grace period that starts then. Therefore an entry of the endpoint
//! list is valid for a limited time only. Two events renew it:
//!
//! - *Discovery confirms the list.* The lease on the list covers all workers.
//! - *A worker accepts an attempt.* A draining worker rejects new work, so the worker was not draining when
//!   the attempt was sent. This lease covers that worker alone and starts when the attempt was sent, not
//!   when the response arrived.
//!
//! No other response of a worker is evidence. Queries for loaded instances, load orders for loaded instances
//! and health checks also succeed at a draining worker, and a rejection does not distinguish a drain from a
//! lack of capacity.

use super::Policy;
use crate::cluster::Worker;
use crate::model::{EndpointSource, Span, Time, WatchStatus, WorkerId};
use thiserror::Error;

/// Time without a message from discovery after which undelivered changes count as notified (page PROTOCOL,
/// "Figures", and page TERMS, "Bad peers").
const NOTIFIED_AFTER_SILENCE: Span = Span::from_millis(4_000);
/// Time after the end of the connection to discovery at which undelivered changes count as notified (page
/// TERMS, "Bad peers").
const NOTIFIED_AFTER_DISCONNECT: Span = Span::from_millis(2_000);
/// Time after an event within which discovery sends another event or a heartbeat. Until it has passed,
/// undelivered changes do not count as notified.
///
/// Discovery sends a heartbeat each second (page PROTOCOL, "The event bus").
const HEARTBEAT_INTERVAL: Span = Span::from_millis(1_000);
/// Time before undelivered changes count as notified at which an outage of discovery is suspected.
///
/// Two heartbeats are missing by then (page PROTOCOL, "The event bus"). If the usable grace period is
/// shorter, it takes the place of this time.
const OUTAGE_SUSPICION_LEAD: Span = Span::from_millis(2_000);
/// Fraction, 0 to 1, of the grace period in which new work may be sent; the rest covers the delivery to the
/// worker.
const GRACE_FRACTION: f64 = 0.9;

/// The reason why a worker must not be sent new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum WorkerUnavailable {
    /// The endpoint list does not contain the worker, or not as ready.
    #[error("its worker takes no new work")]
    NotReady,
    /// The endpoint list is stale and the worker has not accepted an attempt recently, so it may be
    /// draining.
    #[error("its worker is not confirmed ready")]
    LeaseExpired,
}

/// A ready worker whose lease has expired while the endpoint list is stale.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpiredLease {
    /// Worker whose lease has expired.
    pub worker: WorkerId,
    /// Time since the last accepted attempt was sent, or `None` if the worker has not accepted any.
    pub accepted_ago: Option<Span>,
    /// Number of attempts that the worker has rejected since that attempt.
    pub rejections: u32,
}

/// Whether discovery has sent everything that it published before the watch was requested.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum CatchUp {
    /// It has: a heartbeat has said so.
    #[default]
    Complete,
    /// The watch was requested, and no event has followed yet.
    Requested,
    /// Events have followed, and others may.
    InProgress,
}

/// The lease on the endpoint list.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ListLease {
    /// Time from which an undelivered change counts as notified, or `None` without a discovery service,
    /// where the list does not age.
    notified_from: Option<Time>,
    /// Time at which discovery last confirmed the list.
    confirmed_at: Time,
    catch_up: CatchUp,
}

impl ListLease {
    /// Updates the lease for a change of the watch at `at`.
    fn update(&mut self, at: Time, status: WatchStatus) {
        let earlier_of_current_and =
            |limit: Time| self.notified_from.map_or(limit, |current| current.min(limit));
        if status == WatchStatus::Confirmed {
            self.confirmed_at = at;
        }
        let later_of_current_and =
            |limit: Time| self.notified_from.map_or(limit, |current| current.max(limit));
        self.notified_from = match status {
            WatchStatus::Disabled => None,
            // A request counts as notification of everything published before it, no matter when its
            // response arrives.
            WatchStatus::Requested => Some(earlier_of_current_and(at)),
            // Only a heartbeat tells that no event published before the request follows. The first event is
            // given the time of a heartbeat, but a sequence of events does not extend it.
            WatchStatus::EventReceived if self.catch_up == CatchUp::InProgress => self.notified_from,
            WatchStatus::EventReceived => Some(later_of_current_and(at + HEARTBEAT_INTERVAL)),
            WatchStatus::Confirmed => Some(at + NOTIFIED_AFTER_SILENCE),
            WatchStatus::Disconnected => Some(earlier_of_current_and(at + NOTIFIED_AFTER_DISCONNECT)),
        };
        self.catch_up = match (self.catch_up, status) {
            (_, WatchStatus::Confirmed | WatchStatus::Disabled) => CatchUp::Complete,
            (_, WatchStatus::Requested) => CatchUp::Requested,
            (CatchUp::Requested, WatchStatus::EventReceived) => CatchUp::InProgress,
            (catch_up, WatchStatus::EventReceived | WatchStatus::Disconnected) => catch_up,
        };
    }
}

impl Policy {
    /// Handles a change of the watch of the endpoint list at `at` and returns whether held requests were
    /// released.
    ///
    /// In that case, the caller must send an [`Event::TimerFired`](crate::model::Event::TimerFired).
    pub fn watch_changed(&mut self, at: Time, status: WatchStatus) -> bool {
        self.list_lease.update(at, status);
        let releases = status == WatchStatus::Confirmed && !self.held_requests.is_empty();
        if releases {
            self.release_held_requests(at);
        }
        releases
    }

    /// Returns when the endpoint list becomes stale unless discovery confirms it before, or `None` if it
    /// does not age.
    pub fn list_stale_at(&self) -> Option<Time> {
        Some(self.list_lease.notified_from? + self.usable_grace())
    }

    /// Returns whether the endpoint list is too old to show which workers are ready.
    pub fn is_list_stale(&self, now: Time) -> bool {
        self.list_stale_at().is_some_and(|stale_at| stale_at <= now)
    }

    /// Returns whether several heartbeats are missing, so that undelivered changes soon count as notified.
    pub(super) fn is_outage_suspected(&self) -> bool {
        let soon = self.now + self.usable_grace().min(OUTAGE_SUSPICION_LEAD);
        self.list_lease
            .notified_from
            .is_some_and(|notified_from| notified_from <= soon)
    }

    /// Checks whether new work may be written to a worker at `now`.
    ///
    /// # Errors
    ///
    /// Returns the reason why the worker must not be sent new work.
    pub fn check_available(&self, now: Time, worker: WorkerId) -> Result<(), WorkerUnavailable> {
        let worker = self.cluster.workers.get(&worker);
        let worker = worker.filter(|worker| worker.endpoint.is_ready());
        let worker = worker.ok_or(WorkerUnavailable::NotReady)?;
        if !self.is_list_stale(now) || self.has_lease(worker, now) {
            Ok(())
        } else {
            Err(WorkerUnavailable::LeaseExpired)
        }
    }

    /// Returns the ready workers whose leases have expired at `now`.
    pub fn expired_leases(&self, now: Time) -> Vec<ExpiredLease> {
        let workers = self.cluster.workers.values().filter(|_| self.is_list_stale(now));
        let expired = workers.filter(|worker| worker.endpoint.is_ready() && !self.has_lease(worker, now));
        expired
            .map(|worker| ExpiredLease {
                worker: worker.endpoint.worker,
                accepted_ago: worker.acceptance.last_accepted().map(|at| now - at),
                rejections: worker.acceptance.rejections(),
            })
            .collect()
    }

    /// Returns whether a worker may be sent new work: it is listed as ready, and that entry is still valid.
    pub(super) fn is_available(&self, worker: &Worker) -> bool {
        worker.endpoint.is_ready() && (!self.is_list_stale(self.now) || self.has_lease(worker, self.now))
    }

    /// Returns whether the list is stale, no worker may be sent new work, and no attempt in flight can renew
    /// a lease.
    pub(super) fn lacks_leases(&self) -> bool {
        let may_renew_lease =
            |worker: &Worker| self.expected_lease(worker).is_some_and(|until| until > self.now);
        let mut workers = self.cluster.workers.values();
        self.is_list_stale(self.now)
            && !workers.any(|worker| self.is_available(worker) || may_renew_lease(worker))
    }

    /// Returns when the lease of a worker expires, assuming that it accepts the attempts in flight, or
    /// `None` if the worker has no lease even then.
    pub(super) fn expected_lease(&self, worker: &Worker) -> Option<Time> {
        if !worker.endpoint.is_ready()
            || worker
                .acceptance
                .was_unreachable_since(self.list_lease.confirmed_at)
        {
            return None;
        }
        Some(worker.acceptance.last_expected()? + self.usable_grace())
    }

    /// Returns whether a worker may be sent new work although the list is stale.
    pub(super) fn has_lease(&self, worker: &Worker, now: Time) -> bool {
        if worker.endpoint.source == EndpointSource::Configuration {
            return true;
        }
        // A new process at the same address needs slow start, and a stale list does not show that it has
        // started.
        let is_same_process = !worker
            .acceptance
            .was_unreachable_since(self.list_lease.confirmed_at);
        let last_accepted = worker.acceptance.last_accepted();
        is_same_process && last_accepted.is_some_and(|at| now < at + self.usable_grace())
    }

    /// Returns the part of the grace period in which new work may be sent.
    pub(super) fn usable_grace(&self) -> Span {
        self.settings.safety_limits.drain_grace.mul_f64(GRACE_FRACTION)
    }
}
