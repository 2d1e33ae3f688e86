//! Admission: adaptive concurrency limits of the workers, and load shedding.

use super::placement::RETRY_DELAY;
use super::{Policy, Timer};
use crate::cluster::{Attempt, Worker};
use crate::collections::AimdBounds;
use crate::model::{AttemptOutcome, AttemptStatus, RequestId, Span, Time};
use rand_core::RngCore;

/// This scheduler's requests in flight on a worker.
pub(super) const CONCURRENCY_LIMIT: AimdBounds = AimdBounds {
    initial: 8.0,
    min: 1.0,
    max: 64.0,
    increment: 0.2,
    decrease_factor: 0.85,
    decrease_interval: Span::from_millis(150),
    headroom: 2.0,
};
/// Mean part of the objective used from which a worker is saturated: one request in 17 is then late.
pub(super) const WORKER_SATURATION: f64 = 0.35;
/// Weight of a response in its worker's saturation.
const WORKER_WEIGHT: f64 = 0.15;
/// Saturation over all workers from which requests are shed.
const SHED_SATURATION: f64 = 0.5;
/// Priority for its work, as a multiple of another class's, that gets a class as much more room.
const HIGH_PRIORITY: f64 = 1.5;
/// Part of the workers without room above which waits are cut short.
const CROWDED_WORKERS: f64 = 0.5;
/// Part of its latency objective that a request may wait for room then.
const CROWDED_WAIT: f64 = 0.2;
/// Part of the time until its deadline that a request may wait for room.
const MAX_WAIT: f64 = 0.4;
/// Least time in seconds that anything is divided by.
const MIN_SECONDS: f64 = 0.001;

/// The part of its latency objective that an attempt used, where that tells how full workers are: neither a
/// wait for a load does, nor a request's second rejection.
pub(super) fn objective_used(attempt: &Attempt, outcome: &AttemptOutcome) -> Option<f64> {
    let objective = attempt.latency_objective.as_secs_f64().max(MIN_SECONDS);
    let part = (outcome.latency.as_secs_f64() / objective).min(1.0);
    match outcome.status {
        AttemptStatus::Ok if attempt.expected_warm => Some(part),
        AttemptStatus::AtCapacity if attempt.expected_warm && outcome.attempt == 0 => Some(1.0),
        AttemptStatus::Timeout => Some(1.0),
        _ => None,
    }
}

impl Worker {
    /// Adapts the concurrency limit to the part of its objective that a request used at a loaded instance.
    pub(super) fn adapt_limit(&mut self, objective_used: f64, now: Time) {
        self.saturation.update(objective_used, WORKER_WEIGHT);
        // The mean lags behind: a quick response is no sign of overload.
        if self.saturation.value() > WORKER_SATURATION && objective_used > WORKER_SATURATION {
            self.concurrency_limit.decrease(now, &CONCURRENCY_LIMIT);
        } else {
            let in_flight = self.load.in_flight();
            self.concurrency_limit.increase(in_flight, &CONCURRENCY_LIMIT);
        }
    }
}

impl Policy {
    /// Draws whether a new request is shed, before it queues anywhere: beyond a saturation ever more are.
    pub(super) fn sheds(&mut self, class: usize) -> bool {
        let excess = (self.saturation.value() - SHED_SATURATION) / (1.0 - SHED_SATURATION);
        let is_high = self.is_high_priority(class);
        // High priority is shed only from half of the excess on.
        let probability = if is_high { excess * 2.0 - 1.0 } else { excess };
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX) < probability
    }

    fn is_high_priority(&self, class: usize) -> bool {
        let work = |class: usize| self.cluster.baseline_latency[class].value().max(MIN_SECONDS);
        let priority = |class: usize| self.settings.classes[class].priority_weight / work(class);
        let mut others = 0..self.cluster.baseline_latency.len();
        others.any(|other| priority(class) > priority(other) * HIGH_PRIORITY)
    }

    /// Whether a worker's limit allows another request. The first that waits for a load takes no core there
    /// and counts half; more of them will want their cores at once.
    pub(super) fn has_room(&self, worker: &Worker, class: usize) -> bool {
        let is_high = self.is_high_priority(class);
        let factor = if is_high { HIGH_PRIORITY } else { 1.0 };
        let limit = worker.concurrency_limit.value(&CONCURRENCY_LIMIT) * factor;
        let loading = worker.awaited_loads(self.now) as f64;
        f64::from(worker.load.in_flight()) - loading / 2.0 + 1.0 <= limit.max(1.0)
    }

    pub(super) fn measure_full_workers(&mut self) {
        let workers = self.cluster.workers.values();
        let full = workers.filter(|w| !self.has_room(w, 0)).count();
        self.full_workers = full as f64 / self.cluster.workers.len().max(1) as f64;
    }

    /// Has a request wait here, where it makes no worker's queue longer, or ends it where it would be late.
    pub(super) fn hold_back(&mut self, id: RequestId) {
        self.measure_full_workers();
        let request = &self.cluster.requests[&id];
        let has_waited = |wait: Span| self.now > request.received_at + wait;
        let is_crowded = self.full_workers > CROWDED_WORKERS;
        let is_late = is_crowded && has_waited(request.latency_objective.mul_f64(CROWDED_WAIT));
        let is_hopeless = has_waited((request.deadline - request.received_at).mul_f64(MAX_WAIT));
        if is_late || is_hopeless || !self.may_retry(request.class, request.first_run()) {
            self.give_up(id);
        } else {
            self.schedule(RETRY_DELAY, Timer::Placement(id));
        }
    }
}
