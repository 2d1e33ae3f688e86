//! Slow start: how much work a worker may be sent while it warms up.

use super::{Policy, WORK_TIME_CONSTANT};
use crate::cluster::Worker;
use crate::collections::mix64;
use crate::model::{RequestId, Span};

/// Fraction, 0 to 1, of its budget (page WIRE, rule 4) that a worker is sent.
const BUDGET_FRACTION: f64 = 0.7;
/// Probability, 0 to 1, that a request beyond the budget is admitted, per multiple of the usual traffic of a
/// warm worker that the worker tolerates.
///
/// At 0.12, new workers stay idle.
const ADMISSION_PROBABILITY: f64 = 0.25;

impl Policy {
    /// Returns how long ago a worker started, or `None` if it is not warming up any more.
    pub(super) fn warm_up_age(&self, worker: &Worker) -> Option<Span> {
        let age = self.now - worker.started_at()?;
        Some(age).filter(|age| *age < self.settings.safety_limits.warm_up_duration)
    }

    /// Returns whether slow start permits sending a request to a worker.
    ///
    /// A worker that is warming up has a budget, which grows with its age; any other worker is not limited.
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
        // One request may exceed the budget of a scheduler in a large fleet. Each scheduler therefore draws
        // once for each request and worker, so that the admitted fraction follows the capacity of the
        // worker. Saturation reduces the fraction, because more than the usual traffic arrives then.
        let request = u64::from(id.0) << 32 | u64::from(self.settings.index);
        let drawn = mix64(worker.endpoint.worker.0 ^ mix64(request)) as f64 / (u64::MAX as f64);
        let is_drawn = drawn < tolerated_multiple * ADMISSION_PROBABILITY * (1.0 - self.saturation.value());
        spent + work <= budget || budget < work && spent == 0.0 && is_drawn
    }
}
