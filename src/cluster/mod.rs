//! The cluster as one scheduler knows it: workers and the instances loaded there, functions, requests and
//! attempts.
//!
//! This module records events and answers queries. It makes no decisions and holds no decision thresholds;
//! both belong to the policy. The methods of [`Cluster`] for functions and their loads are in this file,
//! those for the limit on their memory in `function_memory`, those for workers in `endpoints`, those for requests and attempts in `traffic`, and those for expiry and
//! decay in `expiry`.

mod acceptance;
mod endpoints;
mod expiry;
mod function;
mod function_memory;
mod instance;
mod request;
#[cfg(test)]
mod tests;
mod traffic;
mod worker;

pub(crate) use function::Function;
pub(crate) use function_memory::FunctionMemory;
pub(crate) use instance::Instance;
pub(crate) use request::{Attempt, AttemptId, Request};
pub(crate) use worker::Worker;

use crate::collections::{BucketClock, EventLog};
use crate::model::{FunctionId, RequestId, Span, Time, WorkerId};
use crate::stats::{DecayingAverage, DecayingSum};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Everything that one scheduler knows about the cluster.
#[derive(Default)]
pub(crate) struct Cluster {
    pub(crate) workers: BTreeMap<WorkerId, Worker>,
    /// Work sent to each worker, in seconds.
    ///
    /// Entries outlive the listing of their worker, because an outdated snapshot may omit it.
    pub(crate) send_history: BTreeMap<WorkerId, EventLog>,
    /// Hash order of each function, cached since the last change of the endpoint list, as indices into the
    /// workers in the order of their ids.
    hash_orders: BTreeMap<FunctionId, Rc<[u32]>>,
    /// The limit on the memory for functions and their hash orders.
    pub(crate) function_memory: FunctionMemory,
    /// Whether the listed weight of a worker affects the hash orders.
    pub(crate) hashes_by_weight: bool,
    pub(crate) functions: BTreeMap<FunctionId, Function>,
    pub(crate) popularity_window: BucketClock,
    /// Requests that still need their final response.
    pub(crate) requests: BTreeMap<RequestId, Request>,
    /// Attempts that have not ended, including those of requests that have.
    pub(crate) attempts: BTreeMap<AttemptId, Attempt>,
    /// Baseline latency by class: the usual latency of a loaded instance, in seconds.
    pub(crate) baseline_latency: Vec<DecayingAverage>,
    /// Recent work done by all workers for this scheduler, in seconds.
    pub(crate) completed_work: DecayingSum,
    /// Recent load orders.
    pub(crate) recent_loads: EventLog,
    /// Recently received requests.
    pub(crate) recent_requests: EventLog,
}

impl Cluster {
    /// Returns the functions in the gold tier.
    pub(crate) fn gold_functions(&self) -> Vec<FunctionId> {
        let gold = self
            .functions
            .iter()
            .filter(|(_, function)| function.gold.is_on());
        gold.map(|(id, _)| *id).collect()
    }

    /// Returns the functions with at least `min_requests` requests in the popularity window, most requested
    /// first.
    pub(crate) fn most_requested(&self, min_requests: u32) -> Vec<FunctionId> {
        let requests = |id: &FunctionId| self.functions[id].requests.total();
        let mut ranked: Vec<FunctionId> = self.functions.keys().copied().collect();
        ranked.retain(|id| requests(id) >= min_requests);
        ranked.sort_by_key(|id| (Reverse(requests(id)), *id));
        ranked
    }

    /// Records that a load order was sent.
    pub(crate) fn begin_load(&mut self, worker: WorkerId, function: FunctionId, now: Time) {
        if let Some(worker) = self.workers.get_mut(&worker) {
            worker.instance_mut(function).begin_load(now);
        }
        self.recent_loads.record(now, 1.0);
    }

    /// Returns the number of load orders for a function that are in progress and were sent within the last
    /// `span`.
    pub(crate) fn pending_loads(&self, function: FunctionId, now: Time, span: Span) -> usize {
        let orders = self
            .workers
            .values()
            .filter_map(|worker| worker.instance(function).ordered_at());
        orders.filter(|at| now - *at < span).count()
    }

    /// Returns whether a request in flight to any worker waits for the function to be loaded.
    pub(crate) fn is_load_awaited(&self, function: FunctionId, now: Time) -> bool {
        self.workers
            .values()
            .any(|worker| worker.instance(function).is_awaited(now))
    }
}
