//! Load orders: loading instances ahead of requests, and the limits that apply to all load orders.

use super::placement::LOAD_ORDER_MAX_WAIT;
use super::{BACKOFF, Policy};
use crate::cluster::Worker;
use crate::collections::mix64;
use crate::model::{Action, FunctionId, LoadOutcome, LoadStatus, Span, Time, WorkerId};

/// Time before the end of the keep-alive time at which an instance is renewed, as a fraction (0 to 1) of the
/// keep-alive time.
///
/// It leaves time to repeat an order that fails. DESIGN asks for renewal before the keep-alive time ends,
/// but states no margin.
const RENEWAL_MARGIN: f64 = 0.3;
/// Number of load orders that may be in progress on a worker.
///
/// DESIGN limits "loading holds" to one for each worker and scheduler; [`Policy::needs_prewarm`] applies
/// that to the first load of a gold function.
const MAX_LOADS: usize = 3;
/// Number of load orders that may be in progress on a worker when a bronze function is to be loaded.
const MAX_BRONZE_LOADS: usize = 1;

impl Policy {
    /// Loads gold functions on all workers, and renews them there.
    pub(super) fn prewarm_gold(&mut self) {
        for function in self.cluster.gold_functions() {
            for worker in self.cluster.hash_order(function) {
                if self.needs_prewarm(worker, function) {
                    self.order_load(worker, function);
                }
            }
        }
    }

    /// Returns whether an instance is to be loaded or renewed by this scheduler.
    ///
    /// One scheduler of the fleet is responsible for each pair of worker and function.
    fn needs_prewarm(&self, worker: WorkerId, function: FunctionId) -> bool {
        let schedulers = u64::from(self.settings.scheduler_count.max(1));
        let owner = mix64(function.0.rotate_left(32) ^ worker.0) % schedulers;
        if owner != u64::from(self.settings.index) {
            return false;
        }
        let worker = &self.cluster.workers[&worker];
        let instance = worker.instance(function);
        let margin = self.settings.loading.keep_alive.mul_f64(RENEWAL_MARGIN);
        // An order for an instance that is not loaded starts a load. To avoid overload, it is given only if
        // neither the worker nor the function has a load in progress.
        let is_only_load = || worker.ordered_loads(self.now) == 0 && self.pending_loads(function) == 0;
        !instance.is_loaded(self.now + margin)
            && !worker.health.ejection.is_active(self.now)
            && (instance.is_loaded(self.now) || is_only_load())
    }

    /// Returns the number of load orders in progress that are recent enough for a request to wait for them.
    pub(super) fn pending_loads(&self, function: FunctionId) -> usize {
        self.cluster
            .pending_loads(function, self.now, LOAD_ORDER_MAX_WAIT)
    }

    /// Returns whether a load may be ordered.
    ///
    /// The site must permit load orders, the worker must be available and have few enough loads in progress,
    /// the instance must have no order in progress and no active backoff, and the rate limit must allow it.
    pub(super) fn may_load(&self, worker: &Worker, function: FunctionId) -> bool {
        let instance = worker.instance(function);
        let is_bronze = self.is_bronze(function);
        let max_loads = if is_bronze { MAX_BRONZE_LOADS } else { MAX_LOADS };
        self.settings.permissions.may_order
            && self.is_available(worker)
            && (instance.is_loaded(self.now) || worker.ordered_loads(self.now) < max_loads)
            && instance.can_order_load(self.now)
            && self.load_rate_allows()
    }

    fn load_rate_allows(&self) -> bool {
        self.settings.safety_limits.load_rate_limit.is_none_or(|limit| {
            let since = self.now - limit.window;
            let loads = self.cluster.recent_loads.count_since(since);
            let requests = self.cluster.recent_requests.count_after(since);
            limit.allows(loads, requests)
        })
    }

    /// Orders a load, if that is allowed.
    pub(super) fn order_load(&mut self, worker: WorkerId, function: FunctionId) {
        let listed = self.cluster.workers.get(&worker);
        if listed.is_some_and(|listed| self.may_load(listed, function)) {
            self.cluster.begin_load(worker, function, self.now);
            self.actions.push(Action::load_one(worker, function));
        }
    }

    /// Handles the end of a load order, and places the requests that wait for the function.
    pub(super) fn load_finished(&mut self, load: LoadOutcome) {
        if let Some(worker) = self.cluster.workers.get_mut(&load.worker) {
            worker.load_finished(&load, self.now, self.settings.loading.keep_alive);
        }
        for id in self.cluster.requests_awaiting(load.function) {
            if load.status == LoadStatus::Ok {
                let request = self.cluster.requests.entry(id);
                request.and_modify(|r| r.failed_workers.retain(|w| *w != load.worker));
            }
            self.place(id);
        }
    }
}

impl Worker {
    fn load_finished(&mut self, load: &LoadOutcome, now: Time, keep_alive: Span) {
        if load.status.is_response() {
            self.health.liveness.record_response(now);
        }
        let instance = self.instance_mut(load.function);
        if !instance.end_load() {
            return;
        }
        match load.status {
            LoadStatus::Ok => instance.confirm(now + keep_alive),
            LoadStatus::ConnectFailed => self.eject(now),
            // The connection broke or the order was not sent, which says nothing about the instance.
            LoadStatus::Reset | LoadStatus::NotSent => {}
            _ => {
                instance.fail_load(now, BACKOFF);
                if load.instances == 0 {
                    instance.miss(now);
                }
            }
        }
    }
}
