//! Slow start: how much work a worker that is still warming up may be sent.

use super::{Policy, WORK_TIME_CONSTANT};
use crate::cluster::Worker;
use crate::collections::mix64;
use crate::model::{RequestId, Span};

/// Fraction of its budget that a worker is sent.
///
/// Fraction, 0 to 1. The budget itself is WIRE, rule 4. Source: inherited.
const BUDGET_FRACTION: f64 = 0.7;
/// Probability of a draw to admit a request beyond the budget, for each multiple of a warm worker's usual
/// traffic that the worker can take.
///
/// Probability, 0 to 1. Source: measured (commit da25fbd; journal 20261201T161821), where the inherited 0.12
/// left new workers idle. At 0.4 the six days scored 0.768, at 0.25 0.772 (20261201T161907, 20261201T161823).
const ADMISSION_PROBABILITY: f64 = 0.25;

impl Policy {
    /// How long ago a worker that is still warming up has started.
    pub(super) fn warm_up_age(&self, worker: &Worker) -> Option<Span> {
        let age = self.now - worker.started_at()?;
        Some(age).filter(|age| *age < self.settings.safety_limits.warm_up_duration)
    }

    /// Whether a request is within this scheduler's fraction of what a worker can take.
    pub(super) fn slow_start_admits(&self, id: RequestId, class: usize, worker: &Worker) -> bool {
        let Some(age) = self.warm_up_age(worker) else {
            return true;
        };
        let limits = &self.settings.safety_limits;
        let tolerated_multiple = limits.overload_multiple * limits.capacity_at(age);
        let work_rate = self.cluster.completed_work.value() / WORK_TIME_CONSTANT.as_secs_f64();
        let worker_rate = work_rate / self.cluster.workers.len().max(1) as f64;
        let budget =
            tolerated_multiple * worker_rate * limits.overload_window.as_secs_f64() * BUDGET_FRACTION;
        let history = self.cluster.send_history.get(&worker.endpoint.worker);
        let spent = history.map_or(0.0, |h| h.weight_since(self.now - limits.overload_window));
        let work = self.cluster.baseline_latency[class].value();
        // One request may be more than the budget of one scheduler of many: each draws once for a worker, and
        // the fraction admitted follows its capacity; less under saturation, when more than the usual traffic
        // comes.
        let request = u64::from(id.0) << 32 | u64::from(self.settings.index);
        let drawn = mix64(worker.endpoint.worker.0 ^ mix64(request)) as f64 / (u64::MAX as f64);
        let is_drawn = drawn < tolerated_multiple * ADMISSION_PROBABILITY * (1.0 - self.saturation.value());
        spent + work <= budget || budget < work && spent == 0.0 && is_drawn
    }
}
