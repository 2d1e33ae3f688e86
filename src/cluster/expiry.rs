//! Expiry: which records are dropped, and how sums decay.

use super::Cluster;
use crate::model::{FunctionId, Span, Time};
use crate::stats::{decay_factor, half_life_factor};
use std::collections::BTreeSet;

impl Cluster {
    /// Drops functions that are neither gold nor requested, and instances whose state no longer matters, where an idle
    /// instance stays loaded for `keep_alive`.
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

    /// Drops the records of requests and load orders before a time.
    pub(crate) fn drop_traffic_before(&mut self, before: Time) {
        self.recent_loads.drop_before(before);
        self.recent_requests.drop_before(before);
    }

    /// Drops the records of what was sent to workers before a time. The history of a worker that is not listed is kept
    /// unchanged until its last entry is older.
    pub(crate) fn drop_sends_before(&mut self, before: Time) {
        self.send_history.retain(|worker, sends| {
            if self.workers.contains_key(worker) {
                sends.drop_before(before);
            }
            sends.last().is_some_and(|last| last >= before)
        });
    }

    /// Decays the reported load of other schedulers over `elapsed`: it halves in each `half_life`.
    pub(crate) fn decay_reports(&mut self, elapsed: Span, half_life: Span) {
        let factor = half_life_factor(elapsed, half_life);
        self.workers
            .values_mut()
            .for_each(|worker| worker.load.decay(factor));
    }

    /// Decays the completed work over `elapsed`: it falls to 1/e in each `time_constant`.
    pub(crate) fn decay_completed_work(&mut self, elapsed: Span, time_constant: Span) {
        self.completed_work.scale(decay_factor(elapsed, time_constant));
    }
}
