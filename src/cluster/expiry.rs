//! Expiry of old records and decay of sums.

use super::Cluster;
use crate::model::{FunctionId, Span, Time};
use crate::stats::{decay_factor, half_life_factor};
use std::collections::BTreeSet;

impl Cluster {
    /// Drops functions that are neither gold nor recently requested, and instances whose state no longer
    /// matters.
    ///
    /// An idle instance stays loaded on its worker for `keep_alive`.
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

    /// Drops the records of requests and load orders that are older than `before`.
    pub(crate) fn drop_traffic_before(&mut self, before: Time) {
        self.recent_loads.drop_before(before);
        self.recent_requests.drop_before(before);
    }

    /// Drops the records of sent work that are older than `before`.
    ///
    /// The history of a worker that is not listed is kept unchanged until its last entry is older than
    /// `before`.
    pub(crate) fn drop_sends_before(&mut self, before: Time) {
        self.send_history.retain(|worker, sends| {
            if self.workers.contains_key(worker) {
                sends.drop_before(before);
            }
            sends.last().is_some_and(|last| last >= before)
        });
    }

    /// Decays the in-flight requests of other schedulers, known from load reports, by half for each
    /// `half_life` in `elapsed`.
    pub(crate) fn decay_reports(&mut self, elapsed: Span, half_life: Span) {
        let factor = half_life_factor(elapsed, half_life);
        self.workers
            .values_mut()
            .for_each(|worker| worker.load.decay(factor));
    }

    /// Decays the completed work to 1/e of its value for each `time_constant` in `elapsed`.
    pub(crate) fn decay_completed_work(&mut self, elapsed: Span, time_constant: Span) {
        self.completed_work.scale(decay_factor(elapsed, time_constant));
    }
}
