//! Leases on the readiness of workers: until when a worker may be given new work, by what is known of it and
//! how old that is.
//!
//! A drain counts as notified although discovery cannot deliver it, and from then on a grace period runs in
//! which new work must cease. So what the endpoint list says of a worker holds for a limited time only. Two
//! things renew it:
//!
//! - *Discovery confirms the list.* The lease on the list covers all workers.
//! - *The worker accepts an attempt.* A draining worker rejects what is new, so the worker was not draining
//!   when that attempt was sent. This lease covers that worker alone, and counts from the sending, not from
//!   the response.
//!
//! No other response of a worker is evidence. Queries for loaded instances, load orders for what is loaded
//! already and health checks succeed at a draining worker, too; and a rejection does not tell a drain from a
//! lack of capacity.

use super::Policy;
use crate::cluster::Worker;
use crate::model::{EndpointSource, Span, Time, WatchStatus, WorkerId};
use thiserror::Error;

/// What discovery could not deliver counts as notified so long after it fell silent.
///
/// Time, above 0. Source: PROTOCOL, "Figures", and TERMS, "Bad peers".
const NOTIFIED_AFTER_SILENCE: Span = Span::from_millis(4_000);
/// The same after the connection to it has ended.
///
/// Time, above 0. Source: TERMS, "Bad peers".
const NOTIFIED_AFTER_DISCONNECT: Span = Span::from_millis(2_000);
/// How long an event confirms the list: more may be on their way, and if not, a heartbeat follows.
///
/// Time, above 0. Source: PROTOCOL, "The event bus" (a heartbeat each second).
const HEARTBEAT_INTERVAL: Span = Span::from_millis(1_000);
/// From so long before what was not delivered counts as notified, an outage is expected: two heartbeats are
/// missing then.
///
/// Time, above 0. Source: PROTOCOL, as above.
const OUTAGE_SUSPICION_LEAD: Span = Span::from_millis(2_000);
/// Fraction of the grace period in which new work may still be sent; the rest is for the way to the worker.
///
/// Fraction, 0 to 1. Source: judgement.
const GRACE_FRACTION: f64 = 0.9;

/// Why a worker must not be given new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum WorkerUnavailable {
    /// The endpoint list does not have it, or not as ready.
    #[error("its worker takes no new work")]
    NotReady,
    /// The endpoint list is stale, and the worker has not accepted an attempt lately: it may be draining.
    #[error("its worker is not confirmed ready")]
    LeaseExpired,
}

/// A ready worker whose lease has expired while the endpoint list is stale.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpiredLease {
    /// The worker.
    pub worker: WorkerId,
    /// How long ago the last attempt was sent that it accepted; none where it has not accepted any.
    pub accepted_ago: Option<Span>,
    /// Attempts that it has rejected since.
    pub rejections: u32,
}

/// The lease on the endpoint list.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ListLease {
    /// From when a change that has not been delivered counts as notified. None without a discovery service:
    /// such a list does not age.
    notified_from: Option<Time>,
    /// When discovery last confirmed the list.
    confirmed_at: Time,
}

impl ListLease {
    /// Takes in what has become of the watch at `at`.
    fn update(&mut self, at: Time, status: WatchStatus) {
        let no_later_than = |limit: Time| self.notified_from.map_or(limit, |present| present.min(limit));
        if status == WatchStatus::Confirmed {
            self.confirmed_at = at;
        }
        let no_earlier_than = |limit: Time| self.notified_from.map_or(limit, |present| present.max(limit));
        self.notified_from = match status {
            WatchStatus::Disabled => None,
            // Whoever asks counts as notified of all that was published before, whenever the response comes.
            WatchStatus::Requested => Some(no_later_than(at)),
            WatchStatus::EventReceived => Some(no_earlier_than(at + HEARTBEAT_INTERVAL)),
            WatchStatus::Confirmed => Some(at + NOTIFIED_AFTER_SILENCE),
            WatchStatus::Disconnected => Some(no_later_than(at + NOTIFIED_AFTER_DISCONNECT)),
        };
    }
}

impl Policy {
    /// Takes in what has become of the watch of the endpoint list at `at`. Returns whether requests need not
    /// wait any longer: then an [`Event::TimerFired`](crate::model::Event::TimerFired) is to follow.
    pub fn watch_changed(&mut self, at: Time, status: WatchStatus) -> bool {
        self.list_lease.update(at, status);
        let releases = status == WatchStatus::Confirmed && !self.held_requests.is_empty();
        if releases {
            self.release_held_requests(at);
        }
        releases
    }

    /// When the endpoint list becomes stale, if discovery does not confirm it before; none if it does not
    /// age.
    pub fn list_stale_at(&self) -> Option<Time> {
        Some(self.list_lease.notified_from? + self.usable_grace())
    }

    /// Whether the endpoint list says too little of which workers are ready, because it is too old.
    pub fn is_list_stale(&self, now: Time) -> bool {
        self.list_stale_at().is_some_and(|stale_at| stale_at <= now)
    }

    /// Whether several heartbeats are missing, and what was not delivered counts as notified soon.
    pub(super) fn is_outage_suspected(&self) -> bool {
        let soon = self.now + self.usable_grace().min(OUTAGE_SUSPICION_LEAD);
        self.list_lease
            .notified_from
            .is_some_and(|notified_from| notified_from <= soon)
    }

    /// Whether new work may be written to a worker at `now`, and why not.
    ///
    /// # Errors
    ///
    /// Says why the worker must not be given new work.
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

    /// The ready workers whose leases have expired at `now`.
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

    /// Whether a worker may be given new work: it is listed as ready, and that still holds.
    pub(super) fn is_available(&self, worker: &Worker) -> bool {
        worker.endpoint.is_ready() && (!self.is_list_stale(self.now) || self.has_lease(worker, self.now))
    }

    /// Whether no worker may be given new work for want of a lease, and no attempt in flight may bring one.
    pub(super) fn lacks_leases(&self) -> bool {
        let may_renew_lease =
            |worker: &Worker| self.expected_lease(worker).is_some_and(|until| until > self.now);
        let mut workers = self.cluster.workers.values();
        self.is_list_stale(self.now)
            && !workers.any(|worker| self.is_available(worker) || may_renew_lease(worker))
    }

    /// Until when a ready worker may be given new work by what it has accepted, and by what is in flight
    /// there if it accepts that.
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

    /// Whether a worker may be given new work although the list is stale.
    pub(super) fn has_lease(&self, worker: &Worker, now: Time) -> bool {
        if worker.endpoint.source == EndpointSource::Configuration {
            return true;
        }
        // A process that has started unnoticed must be spared while it warms up: nobody says that it has.
        let is_same_process = !worker
            .acceptance
            .was_unreachable_since(self.list_lease.confirmed_at);
        let last_accepted = worker.acceptance.last_accepted();
        is_same_process && last_accepted.is_some_and(|at| now < at + self.usable_grace())
    }

    pub(super) fn usable_grace(&self) -> Span {
        self.settings.safety_limits.drain_grace.mul_f64(GRACE_FRACTION)
    }
}
