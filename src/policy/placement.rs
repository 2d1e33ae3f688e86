//! Placement: the choice of the worker for a request, by loaded instances, load and hash order.
//!
//! The primary workers of a function are the first eligible ones in its hash order. All schedulers try them
//! first, so that requests for the function find its instances there.

use super::candidates::{Candidate, Placement};
use super::{Policy, RETRY_DELAY, Timer};
use crate::cluster::Request;
use crate::collections::least_by_cost;
use crate::model::{Action, OnMiss, RejectionCause, RequestId, Span, WorkerId};
use rand_core::RngCore;

/// Longest wait of a request for a load order before it is placed again.
pub(super) const LOAD_ORDER_MAX_WAIT: Span = Span::from_millis(3000);
/// Number of workers that a function may be loaded on if it is loaded nowhere.
///
/// The number is from DESIGN ("the less busy of the first two hash-order workers"); PAPER has no such
/// choice.
const PRIMARY_WORKERS: usize = 2;
/// Load, in requests, that each queued request at an instance adds.
const QUEUED_REQUEST_WEIGHT: f64 = 2.0;
/// Load, in requests, by which the first primary worker must exceed the second for a load to go to the
/// second.
const SECOND_PRIMARY_MARGIN: f64 = 1.5;
/// Load, in requests, by which the best worker must exceed another for an instance to be added on the other.
const SCALE_OUT_MARGIN: f64 = 1.0;
/// Wait after which a request may start a load on another worker, as a fraction (0 to 1) of its latency
/// objective.
const OVERFLOW_DELAY_FRACTION: f64 = 0.08;
/// Fraction, 0 to 1, of workers at capacity above which no request starts a load on another worker.
const OVERFLOW_MAX_AT_CAPACITY: f64 = 0.34;

impl Policy {
    /// Sends a request to a worker, queues it, or ends it.
    pub(super) fn place(&mut self, id: RequestId) {
        if !self.hold_for_lease_renewal(id) {
            self.place_now(id);
        }
    }

    /// Places a request that need not be held to renew a lease.
    pub(super) fn place_now(&mut self, id: RequestId) {
        let tie_break = self.rng.next_u64();
        let request = self.cluster.request_without_attempt(id);
        let Some(request) = request else { return };
        request.awaits_load = false;
        if request.attempts() >= self.settings.permissions.max_attempts {
            return self.reject_or_fail(id, RejectionCause::NotServed);
        }
        let function = request.function;
        let order = self.cluster.hash_order_indices(function);
        let placement = self.placement(id, &order);
        if placement.candidates.is_empty() && self.lacks_leases() {
            // Waiting does not restore a lease, and the client may retry at another scheduler.
            self.reject_or_fail(id, RejectionCause::NoConfirmedWorker);
        } else if !placement.candidates.iter().any(|c| c.has_capacity) {
            self.queue_or_shed(id);
        } else if placement.candidates.iter().any(|c| c.is_presumed_warm) {
            self.place_warm(&placement, tie_break);
        } else if self.settings.loading.on_miss == OnMiss::Load {
            self.place_cold(&placement);
        } else {
            self.place_after_load(&placement);
        }
    }

    /// Sends a request to a loaded instance.
    ///
    /// A bronze function uses the first worker in hash order without queued requests, if there is one;
    /// otherwise the least loaded worker is used.
    fn place_warm(&mut self, placement: &Placement, tie_break: u64) {
        let candidates = placement.candidates.iter();
        let open = candidates.filter(|c| c.is_presumed_warm && c.has_capacity);
        let primary = open.clone().find(|c| c.queued_requests == 0);
        let primary = primary.filter(|_| self.is_bronze(placement.function));
        let cost = |c: &&Candidate| c.load + QUEUED_REQUEST_WEIGHT * f64::from(c.queued_requests);
        let least_loaded = || least_by_cost(open, tie_break, |c| c.worker.0, cost);
        let Some(best) = primary.or_else(least_loaded) else {
            return self.overflow_or_queue(placement);
        };
        self.send(placement.request, best.worker, best.expected_warm);
        if best.queued_requests > 0 {
            self.scale_out(placement, best.worker);
        }
    }

    /// Starts a load on another worker or queues the request, because all loaded instances are at
    /// capacity.
    ///
    /// The load may take less time than the wait for a loaded instance.
    fn overflow_or_queue(&mut self, placement: &Placement) {
        let others = placement.candidates.iter().filter(|c| !c.is_presumed_warm);
        let primary = less_loaded_primary(others.filter(|c| c.has_capacity && c.may_start_load));
        let primary = primary.filter(|_| self.may_overflow(&self.cluster.requests[&placement.request]));
        if let Some(primary) = primary {
            return self.send(placement.request, primary, false);
        }
        self.queue_or_shed(placement.request);
        if let Some(first) = placement.candidates.iter().find(|c| c.is_presumed_warm) {
            self.scale_out(placement, first.worker);
        }
    }

    /// Returns whether a request has waited long enough to start a load elsewhere.
    ///
    /// Only one such load at a time is allowed for each function.
    fn may_overflow(&self, request: &Request) -> bool {
        let waited = self.now - request.received_at;
        self.settings.loading.on_miss == OnMiss::Load
            && self.fraction_at_capacity <= OVERFLOW_MAX_AT_CAPACITY
            && waited >= request.latency_objective.mul_f64(OVERFLOW_DELAY_FRACTION)
            && !self.cluster.is_load_awaited(request.function, self.now)
    }

    /// Orders the load of an instance on another worker if the demand requires it and that worker is clearly
    /// less loaded than `best`.
    fn scale_out(&mut self, placement: &Placement, best: WorkerId) {
        let warm_workers = placement.candidates.iter().filter(|c| c.is_presumed_warm);
        let warm_workers = warm_workers.count();
        let next = placement.candidates.iter().find(|c| !c.is_presumed_warm);
        let best_load = self.weighted_load(&self.cluster.workers[&best]);
        if let Some(next) = next.filter(|next| next.load + SCALE_OUT_MARGIN < best_load)
            && warm_workers < placement.wanted_instances
            && self.pending_loads(placement.function) == 0
        {
            self.order_load(next.worker, placement.function);
        }
    }

    /// Sends a request to a primary worker, where the request itself starts the load.
    fn place_cold(&mut self, placement: &Placement) {
        let unqueued = placement.candidates.iter().filter(|c| c.queued_requests == 0);
        let loadable = unqueued.clone().filter(|c| c.may_start_load);
        let primaries = loadable.chain(unqueued).take(PRIMARY_WORKERS);
        match less_loaded_primary(primaries.filter(|c| c.has_capacity)) {
            Some(primary) => self.send(placement.request, primary, false),
            None => self.queue_or_shed(placement.request),
        }
    }

    /// Tries the primary workers, which may have the function loaded; if none has, the request waits for a
    /// load order.
    fn place_after_load(&mut self, placement: &Placement) {
        let id = placement.request;
        let function = placement.function;
        if self.pending_loads(function) == 0 {
            let mut primaries = placement.candidates.iter().take(PRIMARY_WORKERS);
            if let Some(primary) = primaries.find(|c| c.has_no_recent_failure && c.has_capacity) {
                return self.send(id, primary.worker, false);
            }
            let Some(worker) = self.load_order_target(placement) else {
                return self.schedule(RETRY_DELAY, Timer::Placement(id));
            };
            self.order_load(worker, function);
        }
        let request = self.cluster.requests.entry(id);
        request.and_modify(|request| request.awaits_load = true);
        self.schedule(LOAD_ORDER_MAX_WAIT, Timer::Placement(id));
    }

    /// Returns the worker that is ordered to load a function which is loaded nowhere.
    fn load_order_target(&self, placement: &Placement) -> Option<WorkerId> {
        // The search is limited, so that a load that fails for lack of memory is not tried on all workers.
        let workers = placement.wanted_instances + PRIMARY_WORKERS;
        let first = placement.candidates.iter().take(workers);
        let may_load = |c: &&Candidate| {
            let worker = &self.cluster.workers[&c.worker];
            self.may_load(worker, placement.function)
        };
        less_loaded_primary(first.filter(may_load))
    }

    fn send(&mut self, id: RequestId, worker: WorkerId, expected_warm: bool) {
        let timeout = self.cluster.begin_attempt(id, worker, expected_warm, self.now);
        self.actions.push(Action::Send { id, worker, timeout });
    }
}

/// Returns the worker for a load: the first primary worker, unless it is clearly more loaded than the
/// second.
fn less_loaded_primary<'a>(workers: impl Iterator<Item = &'a Candidate>) -> Option<WorkerId> {
    let primaries: Vec<&Candidate> = workers.take(PRIMARY_WORKERS).collect();
    let first = primaries.first()?;
    let is_better = |second: &&&Candidate| second.load + SECOND_PRIMARY_MARGIN < first.load;
    Some(primaries.get(1).filter(is_better).unwrap_or(first).worker)
}
