//! The cluster as one scheduler knows it: workers and the instances loaded there, functions, requests and
//! attempts.
//!
//! This module records what has happened and answers questions about it. It takes no decision and knows no
//! threshold of one; what to do about the cluster is up to the policy.

mod function;
mod instance;
mod request;
#[cfg(test)]
mod tests;
mod worker;

pub(crate) use function::Function;
pub(crate) use instance::Instance;
pub(crate) use request::{Attempt, AttemptId, Request};
pub(crate) use worker::Worker;

use crate::collections::{BucketClock, EventLog, weighted_rendezvous_order};
use crate::model::{
    Endpoint, EndpointState, EndpointUpdateKind, FunctionId, IncomingRequest, RequestId, Span, Time,
    WorkerId, ZoneId,
};
use crate::stats::{DecayingAverage, DecayingSum, decay_factor, half_life_factor};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Least weight of a worker in the hash order, whatever is listed.
///
/// Ratio, above 0. Source: inherited (see the constants of the policy).
const MIN_WEIGHT: f64 = 0.01;
/// Greatest weight of a worker in the hash order, whatever is listed.
///
/// Ratio, above [`MIN_WEIGHT`]. Source: inherited.
const MAX_WEIGHT: f64 = 100.0;

/// What one scheduler knows of the cluster.
#[derive(Default)]
pub(crate) struct Cluster {
    pub(crate) workers: BTreeMap<WorkerId, Worker>,
    /// Work sent to each worker, in seconds. It outlives the worker's listing: a late list may leave it out.
    pub(crate) send_history: BTreeMap<WorkerId, EventLog>,
    /// Orders of workers for functions, as computed since the endpoint list has changed: the place of each among the
    /// workers by their ids.
    hash_orders: BTreeMap<FunctionId, Rc<[usize]>>,
    /// Whether a worker's listed weight counts in the hash orders.
    pub(crate) hashes_by_weight: bool,
    pub(crate) functions: BTreeMap<FunctionId, Function>,
    pub(crate) popularity_window: BucketClock,
    /// Requests that are owed their final answer.
    pub(crate) requests: BTreeMap<RequestId, Request>,
    /// Attempts whose ends have not been heard of, also those of requests that have ended.
    pub(crate) attempts: BTreeMap<AttemptId, Attempt>,
    /// Usual latency of a loaded instance in seconds, by class.
    pub(crate) baseline_latency: Vec<DecayingAverage>,
    /// Work that all workers have done for this scheduler lately, in seconds.
    pub(crate) completed_work: DecayingSum,
    /// Load orders lately.
    pub(crate) recent_loads: EventLog,
    /// Requests that came in lately.
    pub(crate) recent_requests: EventLog,
}

impl Cluster {
    /// Takes in a change of the endpoint list. A worker that is gone, or that a complete list leaves out, is
    /// forgotten; of one that has started anew nothing is known.
    pub(crate) fn update_endpoints(&mut self, kind: EndpointUpdateKind, endpoints: Vec<Endpoint>, now: Time) {
        self.hash_orders.clear();
        if kind.is_complete() {
            let listed: BTreeSet<WorkerId> = endpoints.iter().map(|endpoint| endpoint.worker).collect();
            self.workers.retain(|id, _| listed.contains(id));
        }
        for endpoint in endpoints {
            self.update_endpoint(endpoint, now);
        }
    }

    fn update_endpoint(&mut self, endpoint: Endpoint, now: Time) {
        let known = self.workers.get_mut(&endpoint.worker);
        let same_process = known.filter(|worker| worker.endpoint.started_at == endpoint.started_at);
        if endpoint.state == EndpointState::Gone {
            self.workers.remove(&endpoint.worker);
        } else if let Some(worker) = same_process {
            worker.endpoint = endpoint;
        } else {
            self.workers.insert(endpoint.worker, Worker::new(endpoint, now));
        }
    }

    /// Workers in the order in which all schedulers try them for a function.
    pub(crate) fn hash_order(&mut self, function: FunctionId) -> Vec<WorkerId> {
        let places = self.hash_order_places(function);
        let workers: Vec<WorkerId> = self.workers.keys().copied().collect();
        places.iter().map(|place| workers[*place]).collect()
    }

    /// The same order, by the places of the workers among [`Cluster::workers`]. Fleets are large, and each request goes
    /// by its function's order: it is shared, and needs no look-up by id.
    pub(crate) fn hash_order_places(&mut self, function: FunctionId) -> Rc<[usize]> {
        let nodes = self.workers.iter().enumerate().map(|(place, (id, worker))| {
            let weight = worker.endpoint.weight.clamp(MIN_WEIGHT, MAX_WEIGHT);
            (place, id.0, if self.hashes_by_weight { weight } else { 1.0 })
        });
        let order = self.hash_orders.entry(function);
        let order = order.or_insert_with(|| weighted_rendezvous_order(function.0, nodes).into());
        Rc::clone(order)
    }

    /// Functions of the gold tier.
    pub(crate) fn gold_functions(&self) -> Vec<FunctionId> {
        let gold = self
            .functions
            .iter()
            .filter(|(_, function)| function.gold.is_on());
        gold.map(|(id, _)| *id).collect()
    }

    /// Takes in a request, and counts it for its function.
    pub(crate) fn add_request(&mut self, incoming: &IncomingRequest, latency_objective: Span, now: Time) {
        self.functions
            .entry(incoming.function)
            .or_default()
            .count_request(incoming);
        self.requests
            .insert(incoming.id, Request::new(incoming, latency_objective, now));
    }

    /// Functions with so many requests or more in the popularity window, the most requested first.
    pub(crate) fn most_requested(&self, min_requests: u32) -> Vec<FunctionId> {
        let requests = |id: &FunctionId| self.functions[id].requests.total();
        let mut ranked: Vec<FunctionId> = self.functions.keys().copied().collect();
        ranked.retain(|id| requests(id) >= min_requests);
        ranked.sort_by_key(|id| (Reverse(requests(id)), *id));
        ranked
    }

    /// A request without an attempt in flight.
    pub(crate) fn idle_request(&mut self, id: RequestId) -> Option<&mut Request> {
        self.requests
            .get_mut(&id)
            .filter(|request| request.in_flight().is_none())
    }

    /// Requests of a function that wait for a load order to end.
    pub(crate) fn requests_awaiting(&self, function: FunctionId) -> Vec<RequestId> {
        let requests = self.requests.iter();
        let awaiting = requests.filter(|(_, request)| request.awaits_load && request.function == function);
        awaiting.map(|(id, _)| *id).collect()
    }

    /// Records that a load is ordered.
    pub(crate) fn begin_load(&mut self, worker: WorkerId, function: FunctionId, now: Time) {
        if let Some(worker) = self.workers.get_mut(&worker) {
            worker.instance_mut(function).begin_load(now);
        }
        self.recent_loads.record(now, 1.0);
    }

    /// Records that an attempt of a request is sent to a worker; returns the time left for it.
    ///
    /// # Panics
    ///
    /// If the request or the worker is not known.
    pub(crate) fn begin_attempt(
        &mut self,
        id: RequestId,
        worker: WorkerId,
        expected_warm: bool,
        now: Time,
    ) -> Span {
        let request = self.requests.get_mut(&id).expect("a request that is placed");
        let worker = self.workers.get_mut(&worker).expect("a listed worker");
        let number = request.begin_attempt();
        let attempt = Attempt {
            sent_at: now,
            endpoint: worker.endpoint,
            function: request.function,
            class: request.class,
            latency_objective: request.latency_objective,
            expected_warm,
        };
        self.attempts.insert(AttemptId { request: id, number }, attempt);
        worker.load.begin();
        worker.instance_mut(request.function).in_flight += 1;
        let work = self.baseline_latency[request.class].value();
        self.send_history
            .entry(worker.endpoint.worker)
            .or_default()
            .record(now, work);
        request.deadline - now
    }

    /// Takes out an attempt that has ended.
    pub(crate) fn end_attempt(&mut self, request: RequestId, number: u16) -> Option<Attempt> {
        self.attempts.remove(&AttemptId { request, number })
    }

    /// All attempts whose ends have not been heard of.
    pub(crate) fn attempts_in_flight(&self) -> Vec<Attempt> {
        self.attempts.values().copied().collect()
    }

    /// The attempts on a worker that requests wait for.
    pub(crate) fn attempts_on(&self, worker: WorkerId) -> Vec<(AttemptId, Attempt)> {
        let there = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.endpoint.worker == worker);
        let is_awaited = |id: &AttemptId| {
            let request = self.requests.get(&id.request);
            request.is_some_and(|request| request.in_flight() == Some(id.number))
        };
        there
            .filter(|(id, _)| is_awaited(id))
            .map(|(id, attempt)| (*id, *attempt))
            .collect()
    }

    /// The worker process that an attempt was sent to, while it is listed.
    pub(crate) fn process_of(&mut self, attempt: &Attempt) -> Option<&mut Worker> {
        let worker = self.workers.get_mut(&attempt.endpoint.worker)?;
        Some(worker).filter(|worker| attempt.sent_at >= worker.listed_at)
    }

    /// Load orders of a function that are under way and were given within the last `span`.
    pub(crate) fn pending_loads(&self, function: FunctionId, now: Time, span: Span) -> usize {
        let orders = self
            .workers
            .values()
            .filter_map(|worker| worker.instance(function).ordered_at());
        orders.filter(|at| now - *at < span).count()
    }

    /// Whether a request in flight waits for a load of a function anywhere.
    pub(crate) fn is_load_awaited(&self, function: FunctionId, now: Time) -> bool {
        self.workers
            .values()
            .any(|worker| worker.instance(function).is_awaited(now))
    }

    /// The workers of each zone.
    pub(crate) fn workers_by_zone(&self) -> BTreeMap<ZoneId, Vec<WorkerId>> {
        let mut zones = BTreeMap::<ZoneId, Vec<WorkerId>>::new();
        for (id, worker) in &self.workers {
            zones.entry(worker.endpoint.zone).or_default().push(*id);
        }
        zones
    }

    /// When any of some workers was last heard.
    pub(crate) fn last_heard(&self, counts: impl Fn(&Worker) -> bool) -> Option<Time> {
        let workers = self.workers.values().filter(|worker| counts(worker));
        workers.map(|worker| worker.health.liveness.last_heard()).max()
    }

    /// Forgets functions that are neither gold nor requested, and instances of which nothing is known any
    /// more, where an idle instance stays loaded for `keep_alive`.
    pub(crate) fn prune(&mut self, now: Time, keep_alive: Span) {
        let requested: BTreeSet<FunctionId> =
            self.requests.values().map(|request| request.function).collect();
        self.functions.retain(|id, function| {
            function.gold.is_on() || function.requests.total() > 0 || requested.contains(id)
        });
        self.hash_orders.retain(|id, _| self.functions.contains_key(id));
        for worker in self.workers.values_mut() {
            worker
                .instances
                .retain(|_, instance| instance.is_relevant(now, keep_alive));
        }
    }

    /// Forgets the requests and load orders before a time.
    pub(crate) fn forget_traffic(&mut self, before: Time) {
        self.recent_loads.forget_before(before);
        self.recent_requests.forget_before(before);
    }

    /// Lets the reported load of others fade for a time, in which it halves every `half_life`.
    pub(crate) fn fade_reports(&mut self, elapsed: Span, half_life: Span) {
        let factor = half_life_factor(elapsed, half_life);
        self.workers
            .values_mut()
            .for_each(|worker| worker.load.fade(factor));
    }

    /// Lets the completed work fade for a time, in which it falls to 1/e every `time_constant`.
    pub(crate) fn fade_work(&mut self, elapsed: Span, time_constant: Span) {
        self.completed_work.scale(decay_factor(elapsed, time_constant));
    }

    /// Forgets what was sent to workers before a time. The history of a worker that is not listed is kept
    /// unchanged until its last entry is older.
    pub(crate) fn forget_sends(&mut self, before: Time) {
        self.send_history.retain(|worker, sends| {
            if self.workers.contains_key(worker) {
                sends.forget_before(before);
            }
            sends.last().is_some_and(|last| last >= before)
        });
    }
}
