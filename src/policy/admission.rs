//! Admission: adaptive concurrency limits of the workers, and load shedding.
//!
//! Two signals show how loaded the workers are. Saturation is the mean fraction of the latency objective
//! that attempts used, for one worker or for all. A worker is at capacity when its concurrency limit allows
//! this scheduler no further request there. [`Policy::queue_or_shed`] handles requests for which no worker
//! is below its limit.

use super::{Policy, RETRY_DELAY, Timer};
use crate::cluster::{Attempt, Worker};
use crate::collections::AimdBounds;
use crate::model::{AttemptOutcome, AttemptStatus, RejectionCause, RequestId, Span, Time};
use rand_core::RngCore;

/// Bounds of the concurrency limit of a worker, in requests of this scheduler that are in flight there.
pub(super) const CONCURRENCY_LIMIT: AimdBounds = AimdBounds {
    initial: 8.0,
    min: 1.0,
    max: 64.0,
    increment: 0.2,
    decrease_factor: 0.85,
    decrease_interval: Span::from_millis(150),
    headroom: 2.0,
};
/// Saturation, 0 to 1, above which a worker has too many requests in flight.
///
/// At a mean of 0.35, one request in 17 is late if latencies are distributed exponentially:
/// `1 / exp(1 / 0.35)`.
pub(super) const WORKER_SATURATION: f64 = 0.35;
/// Weight, 0 to 1, of a response in the saturation of its worker.
const WORKER_SATURATION_WEIGHT: f64 = 0.15;
/// Saturation over all workers, 0 to 1 (exclusive), above which new requests are shed.
const SHED_SATURATION: f64 = 0.5;
/// Ratio, above 1, between the priorities of two classes from which the one with the higher priority is a
/// high-priority class.
///
/// The priority of a class is its weight relative to its work. Requests of a high-priority class are shed
/// only at a higher saturation, and the concurrency limit of a worker is multiplied by this ratio for them.
const HIGH_PRIORITY_RATIO: f64 = 1.5;
/// Number of requests, 0 to 1, that is deducted from those in flight on a worker for each loading instance
/// that requests wait for, before they are compared with the concurrency limit.
const LOADING_DISCOUNT: f64 = 0.5;
/// Fraction, 0 to 1, of workers at capacity above which the workers as a whole count as overloaded and
/// requests wait for a shorter time.
const OVERLOADED_FRACTION: f64 = 0.5;
/// Longest wait for capacity while the workers as a whole are overloaded, as a fraction (0 to 1) of the
/// latency objective of a request.
const OVERLOADED_MAX_WAIT_FRACTION: f64 = 0.2;
/// Longest wait for capacity, as a fraction (0 to 0.5) of the time from receipt to the deadline.
///
/// The page PROTOCOL penalizes a rejection after more than half of that time.
pub(super) const MAX_WAIT_FRACTION: f64 = 0.4;
/// Lower bound, in seconds, of a time that is used as a divisor.
const MIN_DIVISOR_SECONDS: f64 = 0.001;

/// Returns the fraction of the latency objective that an attempt used, if it shows how loaded the workers
/// are.
///
/// A response of an instance that was not expected to be loaded does not show that, because its latency may
/// include the loading of the instance. The rejection of a retry does not show it either.
pub(super) fn objective_used(attempt: &Attempt, outcome: &AttemptOutcome) -> Option<f64> {
    let objective = attempt.latency_objective.as_secs_f64().max(MIN_DIVISOR_SECONDS);
    let fraction = (outcome.latency.as_secs_f64() / objective).min(1.0);
    match outcome.status {
        AttemptStatus::Ok if attempt.expected_warm => Some(fraction),
        AttemptStatus::AtCapacity if attempt.expected_warm && outcome.attempt == 0 => Some(1.0),
        AttemptStatus::Timeout => Some(1.0),
        _ => None,
    }
}

impl Worker {
    /// Adapts the concurrency limit after a loaded instance has served a request, which used this fraction
    /// of its latency objective.
    pub(super) fn adapt_limit(&mut self, objective_used: f64, now: Time) {
        self.saturation.update(objective_used, WORKER_SATURATION_WEIGHT);
        // The mean lags behind, so a quick response does not decrease the limit.
        if self.saturation.value() > WORKER_SATURATION && objective_used > WORKER_SATURATION {
            self.concurrency_limit.decrease(now, &CONCURRENCY_LIMIT);
        } else {
            let in_flight = self.load.in_flight();
            self.concurrency_limit.increase(in_flight, &CONCURRENCY_LIMIT);
        }
    }
}

impl Policy {
    /// Returns whether a new request is shed, by a random draw.
    ///
    /// The probability grows with the excess of the saturation over [`SHED_SATURATION`].
    pub(super) fn should_shed(&mut self, class: usize) -> bool {
        let overload = (self.saturation.value() - SHED_SATURATION) / (1.0 - SHED_SATURATION);
        let is_high = self.is_high_priority(class);
        // Requests of high priority are shed only in the upper half of the overload range.
        let probability = if is_high { overload * 2.0 - 1.0 } else { overload };
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX) < probability
    }

    fn is_high_priority(&self, class: usize) -> bool {
        let work = |class: usize| {
            self.cluster.baseline_latency[class]
                .value()
                .max(MIN_DIVISOR_SECONDS)
        };
        let priority = |class: usize| self.settings.classes[class].priority_weight / work(class);
        let mut others = 0..self.cluster.baseline_latency.len();
        others.any(|other| priority(class) > priority(other) * HIGH_PRIORITY_RATIO)
    }

    /// Returns whether the concurrency limit of a worker allows another request.
    ///
    /// The first request that waits for a loading instance counts less, because it uses no core yet. Further
    /// requests for that instance count in full: they need their cores at the same time, once it is loaded.
    pub(super) fn has_capacity(&self, worker: &Worker, class: usize) -> bool {
        let is_high = self.is_high_priority(class);
        let factor = if is_high { HIGH_PRIORITY_RATIO } else { 1.0 };
        let limit = worker.concurrency_limit.value(&CONCURRENCY_LIMIT) * factor;
        let loading = worker.awaited_loads(self.now) as f64;
        f64::from(worker.load.in_flight()) - loading * LOADING_DISCOUNT + 1.0 <= limit.max(1.0)
    }

    /// Measures the fraction of the workers that are at capacity for the first class.
    pub(super) fn measure_fraction_at_capacity(&mut self) {
        let workers = self.cluster.workers.values();
        let at_capacity = workers.filter(|w| !self.has_capacity(w, 0)).count();
        self.fraction_at_capacity = at_capacity as f64 / self.cluster.workers.len().max(1) as f64;
    }

    /// Queues a request in the scheduler rather than at a worker, or ends it if it has waited too long or
    /// may not be retried.
    pub(super) fn queue_or_shed(&mut self, id: RequestId) {
        self.measure_fraction_at_capacity();
        let request = &self.cluster.requests[&id];
        let has_waited = |wait: Span| self.now > request.received_at + wait;
        let is_overloaded = self.fraction_at_capacity > OVERLOADED_FRACTION;
        let exceeds_overloaded_wait =
            is_overloaded && has_waited(request.latency_objective.mul_f64(OVERLOADED_MAX_WAIT_FRACTION));
        let exceeds_max_wait =
            has_waited((request.deadline - request.received_at).mul_f64(MAX_WAIT_FRACTION));
        if exceeds_overloaded_wait || exceeds_max_wait || !self.may_retry(request.class, request.first_run())
        {
            self.reject_or_fail(id, RejectionCause::NotServed);
        } else {
            self.schedule(RETRY_DELAY, Timer::Placement(id));
        }
    }
}
