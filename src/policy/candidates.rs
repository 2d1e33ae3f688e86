//! Candidates of a placement: the workers that a request may be sent to, and the properties they are
//! compared by.

use super::{LATENCY_RATIO, Policy};
use crate::cluster::{Function, Request, Worker};
use crate::collections::retain_unless_few;
use crate::model::{FunctionId, RequestId, Span, WorkerId};

/// Time for which a miss is evidence that the instance is not loaded.
const MISS_VALIDITY: Span = Span::from_millis(1000);
/// Number of workers, per wanted instance, that are considered for a request, in hash order.
const CANDIDATES_PER_INSTANCE: usize = 2;
/// Number of workers that are considered in addition to [`CANDIDATES_PER_INSTANCE`], in hash order.
const EXTRA_CANDIDATES: usize = 12;
/// Load, in requests in flight per unit of the cross-zone price, that is added to that of a worker in
/// another zone.
const CROSS_ZONE_WEIGHT: f64 = 10.0;
/// Minimum fraction of workers, 0 to 1, that are not ejected, at which the ejected workers are left out.
///
/// At one half, requests are sent to an unreachable zone again.
const MIN_HEALTHY_FRACTION: f64 = 0.25;
/// Ratio, above 1, of the requests in flight on a worker to the mean, above which the worker may be a
/// hotspot.
const HOTSPOT_FACTOR: f64 = 2.0;
/// Requests in flight, in addition to [`HOTSPOT_FACTOR`] times the mean, that a worker may have before it
/// counts as a hotspot.
const HOTSPOT_ALLOWANCE: f64 = 4.0;
/// Minimum fraction of workers, 0 to 1, that are not hotspots, at which the hotspots are left out.
const MIN_NON_HOTSPOT_FRACTION: f64 = 0.5;

/// The data from which the worker for a request is chosen.
pub(super) struct Placement {
    pub(super) request: RequestId,
    pub(super) function: FunctionId,
    pub(super) wanted_instances: usize,
    /// Workers that may be sent the request, in hash order.
    pub(super) candidates: Vec<Candidate>,
}

/// A worker that may be sent a request.
pub(super) struct Candidate {
    pub(super) worker: WorkerId,
    /// Requests in flight there, weighted by latency and zone.
    pub(super) load: f64,
    /// Whether the concurrency limit allows the request.
    pub(super) has_capacity: bool,
    /// Requests that would be queued at the instance, including this one: those beyond its concurrency.
    pub(super) queued_requests: u32,
    /// Whether an instance is expected to be loaded there, from what this scheduler knows of the worker.
    pub(super) expected_warm: bool,
    /// Whether no recent request for the function missed there and this request has not failed there.
    pub(super) has_no_recent_failure: bool,
    /// Whether an instance is expected to be loaded there, or presumed to be from the hash order alone, and
    /// [`Candidate::has_no_recent_failure`] holds.
    pub(super) is_presumed_warm: bool,
    /// Whether a request may start a load there.
    pub(super) may_start_load: bool,
}

impl Policy {
    /// Collects the data for a placement. `order` lists the workers by index, in hash order.
    pub(super) fn placement(&self, id: RequestId, order: &[u32]) -> Placement {
        let request = &self.cluster.requests[&id];
        let function = &self.cluster.functions[&request.function];
        let demand = self.demand(function, request.class);
        let by_index: Vec<&Worker> = self.cluster.workers.values().collect();
        let workers = order.iter().map(|index| by_index[*index as usize]);
        let needs_lease = self.is_list_stale(self.now);
        let allowed = workers.filter(|worker| {
            worker.endpoint.is_ready()
                && (!needs_lease || self.has_lease(worker, self.now))
                && self.slow_start_admits(id, request.class, worker)
                && self.may_retry_on(request, worker)
        });
        let mut workers = self.without_outliers(allowed.collect());
        if !self.is_replicated_to_all(function) {
            workers.truncate(demand.instances * CANDIDATES_PER_INSTANCE + EXTRA_CANDIDATES);
        }
        // If this scheduler has too few requests of its own to show where instances are loaded, it presumes
        // that requests of other schedulers have loaded them on the first workers of the hash order, which
        // all schedulers share.
        let presumed_instances = if demand.is_sparsely_sampled {
            demand.instances
        } else {
            0
        };
        let workers = workers.into_iter().enumerate();
        let candidates =
            workers.map(|(rank, w)| self.candidate(request, function, w, rank < presumed_instances));
        Placement {
            request: id,
            function: request.function,
            wanted_instances: demand.instances,
            candidates: candidates.collect(),
        }
    }

    /// Returns the workers without ejected ones, unless too few would remain, and then without hotspots,
    /// unless most of the remaining workers are hotspots.
    fn without_outliers<'a>(&self, workers: Vec<&'a Worker>) -> Vec<&'a Worker> {
        let is_healthy = |worker: &&Worker| !worker.health.ejection.is_active(self.now);
        let workers = retain_unless_few(workers, MIN_HEALTHY_FRACTION, is_healthy);
        let in_flight: f64 = workers.iter().map(|w| w.load.total_in_flight()).sum();
        let mean = in_flight / workers.len().max(1) as f64;
        let max_in_flight = mean * HOTSPOT_FACTOR + HOTSPOT_ALLOWANCE;
        retain_unless_few(workers, MIN_NON_HOTSPOT_FRACTION, |w| {
            w.load.total_in_flight() <= max_in_flight
        })
    }

    fn candidate(
        &self,
        request: &Request,
        function: &Function,
        worker: &Worker,
        presumed_warm: bool,
    ) -> Candidate {
        let instance = worker.instance(request.function);
        let missed = instance.missed_within(self.now, MISS_VALIDITY);
        let failed = request.failed_workers.contains(&worker.endpoint.worker);
        let is_replica = self.is_replicated_to_all(function) && self.warm_up_age(worker).is_none();
        let expected_warm = instance.is_loaded(self.now) || instance.in_flight > 0 || is_replica;
        Candidate {
            worker: worker.endpoint.worker,
            load: self.weighted_load(worker),
            has_capacity: self.has_capacity(worker, request.class),
            queued_requests: (instance.in_flight + 1).saturating_sub(function.concurrency),
            expected_warm: expected_warm && !missed,
            has_no_recent_failure: !missed && !failed,
            is_presumed_warm: (expected_warm || presumed_warm) && !missed && !failed,
            may_start_load: !failed && worker.load_backoff_until <= self.now,
        }
    }

    /// Returns the load of a worker for a new request: the requests in flight there, weighted by latency and
    /// zone.
    pub(super) fn weighted_load(&self, worker: &Worker) -> f64 {
        let is_local = worker.endpoint.zone == self.settings.zone;
        let price = self.settings.prices.cross_zone;
        let cross_zone = if is_local { 0.0 } else { price };
        worker.load.expected(self.now, &LATENCY_RATIO) + cross_zone * CROSS_ZONE_WEIGHT
    }
}
