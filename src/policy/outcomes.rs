//! What the end of an attempt says of its worker, of the instance there and of the load on all workers.

use super::admission::{CONCURRENCY_LIMIT, WORKER_SATURATION, objective_used};
use super::{BACKOFF, Policy};
use crate::cluster::{Attempt, Worker};
use crate::model::{AttemptOutcome, AttemptStatus, InstanceState, LoadMetric, Span, Time};
use crate::stats::{RatioBounds, ThresholdBounds};

/// How long a worker that rejected a request gets no other, or no load.
///
/// Time, above 0. Source: inherited.
const REJECTION_PAUSE: Span = Span::from_millis(150);
/// Attempts that are reset within this time were lost with one connection.
///
/// Time, above 0. Source: inherited.
const RESET_BURST: Span = Span::from_millis(30);
/// Broken connections in a row for which a worker is ejected.
///
/// Connections, from 1 up. Source: inherited.
const MAX_RESETS: u32 = 3;
/// Weight of an attempt in the saturation over all workers.
///
/// Fraction, 0 to 1. Source: inherited.
const FLEET_SATURATION_WEIGHT: f64 = 0.1;
/// Weight of a latency in its class's baseline.
///
/// Fraction, 0 to 1. Source: inherited.
const BASELINE_WEIGHT: f64 = 0.02;
/// What a timeout multiplies a worker's latency ratio by.
///
/// Ratio, above 1. Source: inherited.
const TIMEOUT_FACTOR: f64 = 1.3;
/// Error rate of a worker's loaded instances: when the worker is ejected, and when its failures are
/// forgotten.
///
/// Fractions, 0 to 1, with the meanings of [`ThresholdBounds`]. Source: inherited.
const ERROR_RATE: ThresholdBounds = ThresholdBounds {
    sample_weight: 0.2,
    threshold: 0.4,
    reset_value: 0.25,
    recovery_threshold: 0.125,
};
/// A worker's latency as a ratio to its class's baseline.
///
/// Ratios, above 0, with the meanings of [`RatioBounds`]. Source: inherited.
pub(super) const LATENCY_RATIO: RatioBounds = RatioBounds {
    min: 0.5,
    max: 12.0,
    max_sample: 24.0,
    sample_weight: 0.15,
    half_life: Span::from_millis(4000),
};

impl Worker {
    /// Records whether a loaded instance served an attempt; a worker of which too many fail is ejected.
    /// Without this a worker that fails at once would look idle and draw ever more requests.
    fn record_error_rate(&mut self, status: AttemptStatus, attempt: &Attempt, now: Time) {
        // Where none was expected loaded, it may be the load that failed.
        if !attempt.expected_warm {
            return;
        }
        let error = match status {
            AttemptStatus::Ok => 0.0,
            AttemptStatus::Error => 1.0,
            _ => return,
        };
        if self.health.error_rate.record(error, &ERROR_RATE) {
            self.health.ejection.extend(now, BACKOFF);
        }
    }

    /// Records what a status says of the worker and of its instance, where the attempt did not succeed.
    fn record_failure(&mut self, status: AttemptStatus, attempt: &Attempt, is_silent: bool, now: Time) {
        let is_saturated = attempt.expected_warm && self.saturation.value() >= WORKER_SATURATION;
        match status {
            AttemptStatus::Miss => self.instance_mut(attempt.function).miss(now),
            AttemptStatus::AtCapacity if is_saturated => {
                self.health.ejection.extend_until(now + REJECTION_PAUSE);
                self.concurrency_limit.decrease(now, &CONCURRENCY_LIMIT);
            }
            // No memory for an instance, or too many loads, also where one was unloaded unnoticed.
            AttemptStatus::AtCapacity => {
                self.load_backoff_until = now + REJECTION_PAUSE;
                self.instance_mut(attempt.function).expire();
            }
            AttemptStatus::ConnectFailed => self.eject(now),
            // One connection may break by itself; a dead process shows at the next attempt, which is refused.
            AttemptStatus::Reset => {
                if self.health.resets.record(now, RESET_BURST, MAX_RESETS) {
                    self.eject(now);
                }
            }
            // A machine that is cut off breaks no connection, but stays silent for the full objective.
            AttemptStatus::Timeout | AttemptStatus::Cancelled if is_silent => self.eject(now),
            AttemptStatus::Timeout => {
                self.load.raise_latency(TIMEOUT_FACTOR, &LATENCY_RATIO);
                self.concurrency_limit.decrease(now, &CONCURRENCY_LIMIT);
            }
            AttemptStatus::Ok
            | AttemptStatus::Error
            | AttemptStatus::Cancelled
            | AttemptStatus::Expired
            | AttemptStatus::NotSent => {}
        }
    }
}

impl Policy {
    /// Records the end of an attempt at its worker and instance, and in the saturation over all workers.
    pub(super) fn record_outcome(&mut self, outcome: &AttemptOutcome, attempt: &Attempt) {
        let now = self.now;
        let objective = self.settings.classes[attempt.class].latency_objective;
        let reported_in_flight = self
            .settings
            .load_metric(LoadMetric::InFlight, &outcome.load_report);
        let worker = self.cluster.process_of(attempt);
        let Some(worker) = worker else { return };
        let was_silent = worker.end_attempt(attempt, outcome.status, reported_in_flight, now);
        let is_silent = was_silent && outcome.latency >= objective;
        if outcome.instance_state == InstanceState::LoadFailed {
            worker.instance_mut(attempt.function).fail_load(now, BACKOFF);
        }
        worker.record_error_rate(outcome.status, attempt, now);
        worker.record_failure(outcome.status, attempt, is_silent, now);
        let used = objective_used(attempt, outcome).unwrap_or(self.saturation.value());
        self.saturation.update(used, FLEET_SATURATION_WEIGHT);
        if outcome.status == AttemptStatus::Ok {
            self.record_success(outcome, attempt, used);
        }
    }

    fn record_success(&mut self, outcome: &AttemptOutcome, attempt: &Attempt, objective_used: f64) {
        let worker = self.cluster.workers.get_mut(&attempt.endpoint.worker);
        let Some(worker) = worker else { return };
        worker.health.resets.reset();
        if worker.health.error_rate.is_recovered(&ERROR_RATE) {
            worker.health.ejection.reset_failures();
        }
        let loaded_until = self.now + self.settings.loading.keep_alive;
        worker.instance_mut(attempt.function).confirm(loaded_until);
        let baseline = &mut self.cluster.baseline_latency[attempt.class];
        self.cluster.completed_work.add(baseline.value());
        if attempt.found_loaded(outcome) {
            let latency = outcome.latency.as_secs_f64();
            let ratio = latency / baseline.value();
            worker.load.record_latency(ratio, self.now, &LATENCY_RATIO);
            baseline.update(latency, BASELINE_WEIGHT);
            worker.adapt_limit(objective_used, self.now);
        }
    }
}
