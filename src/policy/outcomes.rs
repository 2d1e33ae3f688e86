//! Evaluation of finished attempts: what the outcome shows about the worker, its instance and the load on
//! all workers.

use super::admission::{CONCURRENCY_LIMIT, WORKER_SATURATION, objective_used};
use super::{BACKOFF, LATENCY_RATIO, Policy};
use crate::cluster::{Attempt, Worker};
use crate::model::{AttemptOutcome, AttemptStatus, InstanceState, LoadMetric, Span, Time};
use crate::stats::ThresholdBounds;

/// Time for which a worker that rejected a request is sent no further request if it was saturated, and
/// otherwise no request that starts a load.
const REJECTION_PAUSE: Span = Span::from_millis(150);
/// Time within which reset attempts are attributed to one broken connection.
const RESET_BURST: Span = Span::from_millis(30);
/// Number of consecutive broken connections after which a worker is ejected.
const MAX_RESETS: u32 = 3;
/// Weight, 0 to 1, of an attempt in the saturation over all workers.
const OVERALL_SATURATION_WEIGHT: f64 = 0.1;
/// Weight, 0 to 1, of a latency in the baseline of its class.
const BASELINE_WEIGHT: f64 = 0.02;
/// Factor, above 1, by which a timeout raises the latency ratio of a worker.
const TIMEOUT_FACTOR: f64 = 1.3;
/// Bounds of the error rate, 0 to 1, of the loaded instances of a worker: when the worker is ejected, and
/// when its failures are forgotten.
const ERROR_RATE: ThresholdBounds = ThresholdBounds {
    sample_weight: 0.2,
    threshold: 0.4,
    reset_value: 0.25,
    recovery_threshold: 0.125,
};

impl Worker {
    /// Records whether a loaded instance served an attempt, and ejects a worker on which too many attempts
    /// fail.
    ///
    /// Without this, a worker that fails requests immediately would appear idle and attract more and more
    /// requests.
    fn record_error_rate(&mut self, status: AttemptStatus, attempt: &Attempt, now: Time) {
        // If no loaded instance was expected, the load may have failed rather than the instance.
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

    /// Records what the status of an unsuccessful attempt shows about the worker and its instance.
    fn record_failure(&mut self, status: AttemptStatus, attempt: &Attempt, is_silent: bool, now: Time) {
        let is_saturated = attempt.expected_warm && self.saturation.value() >= WORKER_SATURATION;
        match status {
            AttemptStatus::Miss => self.instance_mut(attempt.function).miss(now),
            AttemptStatus::AtCapacity if is_saturated => {
                self.health.ejection.extend_until(now + REJECTION_PAUSE);
                self.concurrency_limit.decrease(now, &CONCURRENCY_LIMIT);
            }
            // The worker lacks memory for an instance or has too many loads; the instance may have been
            // unloaded unnoticed.
            AttemptStatus::AtCapacity => {
                self.load_backoff_until = now + REJECTION_PAUSE;
                self.instance_mut(attempt.function).expire();
            }
            AttemptStatus::ConnectFailed => self.eject(now),
            // A single broken connection is no evidence of a dead process; if the process is dead, the next
            // connection attempt is refused.
            AttemptStatus::Reset => {
                if self.health.resets.record(now, RESET_BURST, MAX_RESETS) {
                    self.eject(now);
                }
            }
            // An unreachable machine does not close its connections, but sends nothing for the full latency
            // objective.
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
    /// Records the outcome of an attempt for its worker and instance and in the saturation over all workers.
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
        self.saturation.update(used, OVERALL_SATURATION_WEIGHT);
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
