//! Renewal of leases where requests are few: some wait a little, so that there is one to send before the last
//! lease expires. Once no worker has a lease, nothing but discovery brings one back.

use super::admission::MAX_WAIT_FRACTION;
use super::{Policy, Timer};
use crate::cluster::Request;
use crate::model::{EndpointSource, RequestId, Time};

/// Requests that wait to renew a lease.
///
/// Requests, from 1 up. Source: measured (`tests/policy/outage_service.rs`, 4 requests a second, 40 seeds):
/// 86% are served; with one less 77%, with one more, which wait too long, 76%, and without any 10%.
const MAX_HELD_REQUESTS: usize = 3;
/// Workers with leases from which on no request waits: so many show that requests are frequent.
///
/// Workers, from 1 up. Source: measured, as above: with two 76% are served, with four 84%.
const SUFFICIENT_LEASES: usize = 3;
/// How long before the last lease expires it is renewed, as a fraction of the usable grace period.
///
/// Fraction, 0 to 1. Source: measured, as above: with 0.05 86% are served, with 0.2 79%.
const RENEWAL_MARGIN: f64 = 0.1;

impl Policy {
    /// Keeps a new request in reserve if it is needed later to renew the last lease; whether it does.
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

    /// When a request is to renew the last lease; none if it need not wait for that.
    fn renewal_due_at(&self, id: RequestId) -> Option<Time> {
        let stale_at = self.list_stale_at().filter(|_| self.is_outage_suspected())?;
        let request = self.cluster.requests.get(&id)?;
        let time_allowed = request.deadline - request.received_at;
        let waits_until = request.received_at + time_allowed.mul_f64(MAX_WAIT_FRACTION);
        if !is_new(request) || self.now >= waits_until {
            return None;
        }
        let last_lease = self.last_of_few_leases(self.now.max(stale_at))?;
        let due_at = last_lease - self.usable_grace().mul_f64(RENEWAL_MARGIN);
        Some(due_at.min(waits_until))
    }

    /// Has the requests in reserve placed at `at`: the list is confirmed, and they need not wait any longer.
    pub(super) fn release_held_requests(&mut self, at: Time) {
        for id in std::mem::take(&mut self.held_requests) {
            self.timers.schedule(at, Timer::Placement(id));
        }
    }

    /// When the last lease expires, that on the list included, if few workers have a lease after `limit`.
    /// None also where a worker needs no lease.
    fn last_of_few_leases(&self, limit: Time) -> Option<Time> {
        let mut workers = self.cluster.workers.values();
        if workers.any(|worker| worker.endpoint.source == EndpointSource::Configuration) {
            return None;
        }
        let workers = self.cluster.workers.values();
        let leases = workers.filter_map(|worker| self.expected_lease(worker));
        let lasting: Vec<Time> = leases.filter(|expires_at| *expires_at > limit).collect();
        let is_few = lasting.len() < SUFFICIENT_LEASES;
        is_few.then(|| lasting.into_iter().max().unwrap_or(limit))
    }
}

/// Whether no attempt of a request has been begun.
fn is_new(request: &Request) -> bool {
    request.in_flight().is_none() && request.attempts() == 0
}
