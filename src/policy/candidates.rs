//! Candidates of a placement: the workers that a request may be sent to, and what speaks for each.

use super::Policy;
use super::outcomes::LATENCY_RATIO;
use crate::cluster::{Function, Request, Worker};
use crate::collections::retain_unless_few;
use crate::model::{FunctionId, RequestId, Span, WorkerId};

/// How long a miss says that an instance is not loaded.
///
/// Time, above 0. Source: inherited.
const MISS_VALIDITY: Span = Span::from_millis(1000);
/// Workers in hash order that a request looks at for each instance wanted...
///
/// Workers for each instance, from 1 up. Source: inherited.
const CANDIDATES_PER_INSTANCE: usize = 2;
/// ...and this many more.
///
/// Workers, from 0 up. Source: inherited.
const EXTRA_CANDIDATES: usize = 12;
/// Requests in flight that crossing a zone weighs as, for each unit of its price.
///
/// Requests for each unit of the price, from 0 up. Source: inherited.
const CROSS_ZONE_WEIGHT: f64 = 10.0;
/// Fraction of the workers that must not be ejected for the ejected ones to be left out.
///
/// Fraction, 0 to 1. Source: measured (commit 81edb9a; journal 20261201T162230). With the half that was
/// inherited a zone that was cut off was sent requests again.
const MIN_HEALTHY_FRACTION: f64 = 0.25;
/// A worker is a hotspot with more than this many times the mean requests in flight...
///
/// Ratio, above 1. Source: measured (commit e761fed; journal 20261201T155907). With 1.5 the scores were lower
/// (20261201T161800).
const HOTSPOT_FACTOR: f64 = 2.0;
/// ...and this many more.
///
/// Requests, from 0 up. Source: judgement (commit e761fed); only measured together with the factor.
const HOTSPOT_ALLOWANCE: f64 = 4.0;
/// Fraction of the workers that must be no hotspots for the hotspots to be left out.
///
/// Fraction, 0 to 1. Source: inherited, where it held for ejected workers.
const MIN_NON_HOTSPOT_FRACTION: f64 = 0.5;

/// What the worker for a request is chosen from.
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
    /// What is in flight there, weighed by latency and zone.
    pub(super) load: f64,
    /// Its concurrency limit allows the request.
    pub(super) has_capacity: bool,
    /// Requests that would queue at the instance, this one included: those beyond what it runs at a time.
    pub(super) queued_requests: u32,
    /// An instance is expected loaded there, by what this scheduler knows of the worker.
    pub(super) expected_warm: bool,
    /// Neither has the function been missed there nor the request failed there lately.
    pub(super) has_no_recent_failure: bool,
    /// An instance is expected there, or presumed by the hash order alone, and nothing has failed there
    /// lately.
    pub(super) is_presumed_warm: bool,
    /// A request may start a load there.
    pub(super) may_start_load: bool,
}

impl Policy {
    /// What there is to choose from, the workers being given by their places in hash order.
    pub(super) fn placement(&self, id: RequestId, order: &[usize]) -> Placement {
        let request = &self.cluster.requests[&id];
        let function = &self.cluster.functions[&request.function];
        let demand = self.demand(function, request.class);
        let by_index: Vec<&Worker> = self.cluster.workers.values().collect();
        let workers = order.iter().map(|index| by_index[*index]);
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
        // Other schedulers' requests have had the instances loaded where the common hash order says.
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

    /// Leaves out ejected workers, unless few would be left, and of the rest the hotspots, unless most are.
    fn without_outliers<'a>(&self, workers: Vec<&'a Worker>) -> Vec<&'a Worker> {
        let is_healthy = |worker: &&Worker| !worker.health.ejection.is_active(self.now);
        let workers = retain_unless_few(workers, MIN_HEALTHY_FRACTION, is_healthy);
        let in_flight: f64 = workers.iter().map(|w| w.load.total_in_flight()).sum();
        let mean = in_flight / workers.len().max(1) as f64;
        let most = mean * HOTSPOT_FACTOR + HOTSPOT_ALLOWANCE;
        retain_unless_few(workers, MIN_NON_HOTSPOT_FRACTION, |w| {
            w.load.total_in_flight() <= most
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
            load: self.load(worker),
            has_capacity: self.has_capacity(worker, request.class),
            queued_requests: (instance.in_flight + 1).saturating_sub(function.concurrency),
            expected_warm: expected_warm && !missed,
            has_no_recent_failure: !missed && !failed,
            is_presumed_warm: (expected_warm || presumed_warm) && !missed && !failed,
            may_start_load: !failed && worker.load_backoff_until <= self.now,
        }
    }

    /// The load on a worker with a new request: what is in flight there, weighed by its latency and zone.
    pub(super) fn load(&self, worker: &Worker) -> f64 {
        let is_local = worker.endpoint.zone == self.settings.zone;
        let price = self.settings.prices.cross_zone;
        let cross_zone = if is_local { 0.0 } else { price };
        worker.load.expected(self.now, &LATENCY_RATIO) + cross_zone * CROSS_ZONE_WEIGHT
    }
}
