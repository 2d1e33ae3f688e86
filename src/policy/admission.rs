//! Admission: adaptive concurrency limits of the workers, and load shedding.
//!
//! Two signals tell how loaded the workers are. Saturation is the mean fraction of its latency objective that
//! an attempt used, of one worker or of all. A worker is at capacity when its concurrency limit allows this
//! scheduler no further request there. [`Policy::queue_or_shed`] is for requests that find no worker below
//! its limit.

use super::placement::RETRY_DELAY;
use super::{Policy, Timer};
use crate::cluster::{Attempt, Worker};
use crate::collections::AimdBounds;
use crate::model::{AttemptOutcome, AttemptStatus, RejectionCause, RequestId, Span, Time};
use rand_core::RngCore;

/// Bounds of a worker's concurrency limit: the most requests of this scheduler in flight there.
///
/// Limits in requests, from 1 up; the figures of [`AimdBounds`]. Source: inherited.
pub(super) const CONCURRENCY_LIMIT: AimdBounds = AimdBounds {
    initial: 8.0,
    min: 1.0,
    max: 64.0,
    increment: 0.2,
    decrease_factor: 0.85,
    decrease_interval: Span::from_millis(150),
    headroom: 2.0,
};
/// Saturation above which a worker has too many requests in flight.
///
/// Fraction, 0 to 1. At a mean of 0.35 one request in 17 is late if latencies are distributed exponentially
/// (1 / exp(1 / 0.35)). Source: inherited.
pub(super) const WORKER_SATURATION: f64 = 0.35;
/// Weight of a response in its worker's saturation.
///
/// Fraction, 0 to 1. Source: inherited.
const WORKER_SATURATION_WEIGHT: f64 = 0.15;
/// Saturation over all workers from which new requests are shed.
///
/// Fraction, 0 to 1, exclusive. Source: inherited.
const SHED_SATURATION: f64 = 0.5;
/// Priority for its work, as a multiple of another class's, from which a class has high priority. Its
/// requests are shed later, and a worker's concurrency limit is this multiple for them.
///
/// Ratio, above 1. Source: inherited.
const HIGH_PRIORITY_RATIO: f64 = 1.5;
/// What the first request that waits for a load counts less in its worker's limit than one that runs.
///
/// Requests, 0 to 1. Source: measured (commit 6bfc9c2; journal 20261201T163332). The discount for every
/// request that waits for a load, not the first alone, was tried and not kept (20261201T162955).
const LOADING_DISCOUNT: f64 = 0.5;
/// Fraction of the workers at capacity above which the fleet is overloaded and waits are cut short.
///
/// Fraction, 0 to 1. Source: inherited.
const OVERLOADED_FRACTION: f64 = 0.5;
/// How long a request may wait for capacity in an overloaded fleet, as a fraction of its latency objective.
///
/// Fraction, 0 to 1. Source: inherited.
const OVERLOADED_MAX_WAIT_FRACTION: f64 = 0.2;
/// How long a request may wait for capacity at all, as a fraction of the time until its deadline.
///
/// Fraction, 0 to 0.5: PROTOCOL prices a rejection after more than half of the time. Source: inherited,
/// within the range of PROTOCOL.
pub(super) const MAX_WAIT_FRACTION: f64 = 0.4;
/// Least divisor where a time is divided by.
///
/// Seconds, above 0. Source: inherited.
const MIN_DIVISOR_SECONDS: f64 = 0.001;

/// The fraction of its latency objective that an attempt used, where that shows how loaded workers are:
/// neither a wait for a load does, nor a request's second rejection.
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
    /// Adapts the concurrency limit to the fraction of its objective that a request used at a loaded
    /// instance.
    pub(super) fn adapt_limit(&mut self, objective_used: f64, now: Time) {
        self.saturation.update(objective_used, WORKER_SATURATION_WEIGHT);
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
    /// Draws whether a new request is shed, before it queues anywhere: the further saturation is beyond
    /// [`SHED_SATURATION`], the likelier.
    pub(super) fn should_shed(&mut self, class: usize) -> bool {
        let overload = (self.saturation.value() - SHED_SATURATION) / (1.0 - SHED_SATURATION);
        let is_high = self.is_high_priority(class);
        // High priority is shed only from half of the overload on.
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

    /// Whether a worker's limit allows another request. The first that waits for a load takes no core there
    /// yet; more of them will want their cores at once.
    pub(super) fn has_capacity(&self, worker: &Worker, class: usize) -> bool {
        let is_high = self.is_high_priority(class);
        let factor = if is_high { HIGH_PRIORITY_RATIO } else { 1.0 };
        let limit = worker.concurrency_limit.value(&CONCURRENCY_LIMIT) * factor;
        let loading = worker.awaited_loads(self.now) as f64;
        f64::from(worker.load.in_flight()) - loading * LOADING_DISCOUNT + 1.0 <= limit.max(1.0)
    }

    /// Measures the fraction of the workers that are at capacity, by the first class.
    pub(super) fn measure_fraction_at_capacity(&mut self) {
        let workers = self.cluster.workers.values();
        let at_capacity = workers.filter(|w| !self.has_capacity(w, 0)).count();
        self.fraction_at_capacity = at_capacity as f64 / self.cluster.workers.len().max(1) as f64;
    }

    /// Queues a request here, where it makes no worker's queue longer, or sheds it where it would be late.
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
