//! Candidates of a placement: the workers that a request may be sent to, and what speaks for each.

use super::Policy;
use super::outcomes::LATENCY_RATIO;
use crate::cluster::{Function, Request, Worker};
use crate::collections::retain_unless_few;
use crate::model::{FunctionId, RequestId, Span, WorkerId};

/// How long a worker's answer that a function is not loaded there is believed.
const MISS_VALIDITY: Span = Span::from_millis(1000);
/// Workers in hash order that a request looks at, beyond twice the instances wanted.
const NEARBY_WORKERS: usize = 12;
/// Requests in flight that crossing a zone weighs as, for each unit of its price.
const CROSS_ZONE_WEIGHT: f64 = 10.0;
/// Part of the workers that must not be ejected for the ejected ones to be left out.
const MIN_HEALTHY: f64 = 0.25;
/// A worker is crowded with this many times the mean requests in flight...
const CROWD_FACTOR: f64 = 2.0;
/// ...and this many more.
const CROWD_ALLOWANCE: f64 = 4.0;
/// Part of the workers that must not be crowded for the crowded ones to be left out.
const MIN_UNCROWDED: f64 = 0.5;

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
    pub(super) load: f64,
    pub(super) has_room: bool,
    /// The instance's requests beyond those that it runs at a time, with this one.
    pub(super) excess: u32,
    /// An instance is believed loaded there.
    pub(super) is_warm: bool,
    /// Neither the function nor the request has missed or failed there lately.
    pub(super) is_untried: bool,
    /// An instance is believed or assumed loaded there, and untried.
    pub(super) is_promising: bool,
    pub(super) may_start_load: bool,
}

impl Policy {
    /// What there is to choose from, the workers being given by their places in hash order.
    pub(super) fn placement(&self, id: RequestId, order: &[usize]) -> Placement {
        let request = &self.cluster.requests[&id];
        let function = &self.cluster.functions[&request.function];
        let demand = self.demand(function, request.class);
        let by_place: Vec<&Worker> = self.cluster.workers.values().collect();
        let workers = order.iter().map(|place| by_place[*place]);
        let allowed = workers.filter(|worker| {
            worker.endpoint.is_ready()
                && self.slow_start_admits(id, request.class, worker)
                && self.may_retry_on(request, worker)
        });
        let mut workers = self.preferred(allowed.collect());
        if !self.is_everywhere(function) {
            workers.truncate(demand.instances * 2 + NEARBY_WORKERS);
        }
        let assumed = if demand.undersampled { demand.instances } else { 0 };
        let workers = workers.into_iter().enumerate();
        let candidates = workers.map(|(place, w)| self.candidate(request, function, w, place < assumed));
        Placement {
            request: id,
            function: request.function,
            wanted_instances: demand.instances,
            candidates: candidates.collect(),
        }
    }

    /// Leaves out ejected workers, unless few would be left, and of the rest the crowded, unless most are.
    fn preferred<'a>(&self, workers: Vec<&'a Worker>) -> Vec<&'a Worker> {
        let is_healthy = |worker: &&Worker| !worker.health.ejection.is_active(self.now);
        let workers = retain_unless_few(workers, MIN_HEALTHY, is_healthy);
        let in_flight: f64 = workers.iter().map(|w| w.load.total_in_flight()).sum();
        let mean = in_flight / workers.len().max(1) as f64;
        let most = mean * CROWD_FACTOR + CROWD_ALLOWANCE;
        retain_unless_few(workers, MIN_UNCROWDED, |w| w.load.total_in_flight() <= most)
    }

    fn candidate(&self, request: &Request, function: &Function, worker: &Worker, assumed: bool) -> Candidate {
        let instance = worker.instance(request.function);
        let missed = instance.missed_within(self.now, MISS_VALIDITY);
        let failed = request.failed_workers.contains(&worker.endpoint.worker);
        let trusted = self.is_everywhere(function) && self.warm_up_age(worker).is_none();
        let believed = instance.is_loaded(self.now) || instance.in_flight > 0 || trusted;
        Candidate {
            worker: worker.endpoint.worker,
            load: self.load(worker),
            has_room: self.has_room(worker, request.class),
            excess: (instance.in_flight + 1).saturating_sub(function.concurrency),
            is_warm: believed && !missed,
            is_untried: !missed && !failed,
            is_promising: (believed || assumed) && !missed && !failed,
            may_start_load: !failed && worker.load_backoff_until <= self.now,
        }
    }

    /// The load before a new request on a worker: what is in flight there, weighed by its latency and zone.
    pub(super) fn load(&self, worker: &Worker) -> f64 {
        let is_local = worker.endpoint.zone == self.settings.zone;
        let price = self.settings.prices.cross_zone;
        let cross_zone = if is_local { 0.0 } else { price };
        worker.load.expected(self.now, &LATENCY_RATIO) + cross_zone * CROSS_ZONE_WEIGHT
    }
}
