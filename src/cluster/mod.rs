//! The cluster as one scheduler knows it: workers and the instances loaded there, functions, requests and
//! attempts.
//!
//! This module records what has happened and answers questions about it. It takes no decision and knows no
//! threshold of one; what to do about the cluster is up to the policy. [`Cluster`] has the records; its methods are
//! here for functions and their loads, in `endpoints` for workers, in `traffic` for requests and attempts, and in
//! `expiry` for what is dropped or decays.

mod acceptance;
mod endpoints;
mod expiry;
mod function;
mod instance;
mod request;
#[cfg(test)]
mod tests;
mod traffic;
mod worker;

pub(crate) use function::Function;
pub(crate) use instance::Instance;
pub(crate) use request::{Attempt, AttemptId, Request};
pub(crate) use worker::Worker;

use crate::collections::{BucketClock, EventLog};
use crate::model::{FunctionId, RequestId, Span, Time, WorkerId};
use crate::stats::{DecayingAverage, DecayingSum};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::rc::Rc;

/// What one scheduler knows of the cluster.
#[derive(Default)]
pub(crate) struct Cluster {
    pub(crate) workers: BTreeMap<WorkerId, Worker>,
    /// Work sent to each worker, in seconds. It outlives the worker's listing: a late snapshot may leave it out.
    pub(crate) send_history: BTreeMap<WorkerId, EventLog>,
    /// Orders of workers for functions, as computed since the endpoint list has changed: the place of each among the
    /// workers by their ids.
    hash_orders: BTreeMap<FunctionId, Rc<[usize]>>,
    /// Whether a worker's listed weight counts in the hash orders.
    pub(crate) hashes_by_weight: bool,
    pub(crate) functions: BTreeMap<FunctionId, Function>,
    pub(crate) popularity_window: BucketClock,
    /// Requests that are owed their final response.
    pub(crate) requests: BTreeMap<RequestId, Request>,
    /// Attempts that have not ended, also those of requests that have.
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
    /// Functions of the gold tier.
    pub(crate) fn gold_functions(&self) -> Vec<FunctionId> {
        let gold = self
            .functions
            .iter()
            .filter(|(_, function)| function.gold.is_on());
        gold.map(|(id, _)| *id).collect()
    }

    /// Functions with so many requests or more in the popularity window, the most requested first.
    pub(crate) fn most_requested(&self, min_requests: u32) -> Vec<FunctionId> {
        let requests = |id: &FunctionId| self.functions[id].requests.total();
        let mut ranked: Vec<FunctionId> = self.functions.keys().copied().collect();
        ranked.retain(|id| requests(id) >= min_requests);
        ranked.sort_by_key(|id| (Reverse(requests(id)), *id));
        ranked
    }

    /// Records that a load is ordered.
    pub(crate) fn begin_load(&mut self, worker: WorkerId, function: FunctionId, now: Time) {
        if let Some(worker) = self.workers.get_mut(&worker) {
            worker.instance_mut(function).begin_load(now);
        }
        self.recent_loads.record(now, 1.0);
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
}
