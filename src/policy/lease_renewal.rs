//! Renewal of leases at low request rates: some requests are held back, so that one can be sent shortly
//! before the last lease expires. Once no worker has a lease, no attempt can renew one, and only discovery
//! can confirm the workers again.

use super::admission::MAX_WAIT_FRACTION;
use super::{Policy, Timer};
use crate::cluster::Request;
use crate::model::{EndpointSource, RequestId, Time};

/// Maximum number of requests that are held to renew a lease.
///
/// With fewer, none may be left when the last lease expires; with more, requests are held for too long.
const MAX_HELD_REQUESTS: usize = 3;
/// Number of workers with leases at which no request is held, because requests are frequent enough to
/// renew leases.
const SUFFICIENT_LEASES: usize = 3;
/// Time before the expiry of the last lease at which it is renewed, as a fraction (0 to 1) of the usable
/// grace period.
const RENEWAL_MARGIN: f64 = 0.1;

impl Policy {
    /// Holds a new request if it is needed later to renew the last lease, and returns whether it is held.
    pub(super) fn hold_for_lease_renewal(&mut self, id: RequestId) -> bool {
        let due_at = self.renewal_due_at(id).filter(|due_at| *due_at > self.now);
        let Some(due_at) = due_at else {
            self.held_requests.remove(&id);
            return false;
        };
        let requests = &self.cluster.requests;
        self.held_requests.retain(|held| requests.contains_key(held));
        self.held_requests.insert(id);
        self.schedule(due_at - self.now, Timer::Placement(id));
        if self.held_requests.len() > MAX_HELD_REQUESTS
            && let Some(oldest) = self.held_requests.pop_first()
        {
            self.place_now(oldest);
        }
        true
    }

    /// Returns when a request must be sent to renew the last lease, or `None` if it need not be held.
    fn renewal_due_at(&self, id: RequestId) -> Option<Time> {
        let stale_at = self.list_stale_at().filter(|_| self.is_outage_suspected())?;
        let request = self.cluster.requests.get(&id)?;
        let time_allowed = request.deadline - request.received_at;
        let waits_until = request.received_at + time_allowed.mul_f64(MAX_WAIT_FRACTION);
        if !is_new(request) || self.now >= waits_until {
            return None;
        }
        let last_expiry = self.last_expiry_of_few_leases(self.now.max(stale_at))?;
        let due_at = last_expiry - self.usable_grace().mul_f64(RENEWAL_MARGIN);
        Some(due_at.min(waits_until))
    }

    /// Schedules the placement of all held requests at `at`, because the list is confirmed.
    pub(super) fn release_held_requests(&mut self, at: Time) {
        for id in std::mem::take(&mut self.held_requests) {
            self.timers.schedule(at, Timer::Placement(id));
        }
    }

    /// Returns when the last lease expires, or `None` if enough workers have a lease that expires after
    /// `limit` or if any worker needs no lease.
    ///
    /// `limit` is the end of the lease on the list, or the current time if that is later. It is returned if
    /// no lease of a worker expires after it.
    fn last_expiry_of_few_leases(&self, limit: Time) -> Option<Time> {
        let mut workers = self.cluster.workers.values();
        if workers.any(|worker| worker.endpoint.source == EndpointSource::Configuration) {
            return None;
        }
        let workers = self.cluster.workers.values();
        let leases = workers.filter_map(|worker| self.expected_lease(worker));
        let later_expiries: Vec<Time> = leases.filter(|expires_at| *expires_at > limit).collect();
        let is_few = later_expiries.len() < SUFFICIENT_LEASES;
        is_few.then(|| later_expiries.into_iter().max().unwrap_or(limit))
    }
}

/// Returns whether no attempt of a request has begun.
fn is_new(request: &Request) -> bool {
    request.in_flight().is_none() && request.attempts() == 0
}
