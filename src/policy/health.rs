//! Health of workers: what outcomes tell of them, outlier detection, health checks, ejection with backoff.

use super::admission::{CONCURRENCY_LIMIT, WORKER_SATURATION, objective_used};
use super::{BACKOFF, Policy};
use crate::cluster::{Attempt, Worker};
use crate::model::{
    Action, AttemptOutcome, AttemptStatus, HealthCheckStatus, InstanceState, LoadMetric, Span, Time,
    WorkerId, ZoneId,
};
use crate::stats::{RatioBounds, ThresholdBounds};
use std::collections::BTreeSet;

/// Time for which a worker that rejected a request gets no other, or no load.
const REJECTION_PAUSE: Span = Span::from_millis(150);
/// A worker with requests in flight that was silent for this long is checked.
const CHECK_AFTER: Span = Span::from_millis(800);
/// Unanswered health checks in a row for which a worker is ejected.
const MAX_UNANSWERED_CHECKS: u32 = 2;
/// Part of its latency objective for which an attempt hears nothing before its zone is suspected.
const ZONE_SILENCE: f64 = 0.5;
/// Silent workers for which a zone is ejected.
const ZONE_SILENT_WORKERS: usize = 3;
/// Attempts that are reset within this time broke with one connection.
const RESET_BURST: Span = Span::from_millis(30);
/// Broken connections in a row for which a worker is ejected.
const MAX_RESETS: u32 = 3;
/// Error rate of a worker's loaded instances for which it is ejected, or its failures are forgotten.
const ERROR_RATE: ThresholdBounds = ThresholdBounds {
    sample_weight: 0.2,
    threshold: 0.4,
    restart: 0.25,
    recovered: 0.125,
};
/// Weight of an attempt in the saturation over all workers.
const SATURATION_WEIGHT: f64 = 0.1;
/// Weight of a latency in its class's baseline.
const BASELINE_WEIGHT: f64 = 0.02;
/// A worker's latency as a ratio to the baseline.
pub(super) const LATENCY_RATIO: RatioBounds = RatioBounds {
    min: 0.5,
    max: 12.0,
    max_sample: 24.0,
    sample_weight: 0.15,
    half_life: Span::from_millis(4000),
};
/// What a timeout multiplies a latency ratio by.
const TIMEOUT_FACTOR: f64 = 1.3;

impl Worker {
    /// Leaves a worker that cannot be reached alone; nothing is believed loaded there.
    pub(super) fn eject(&mut self, now: Time) {
        self.health.ejection.begin(now, BACKOFF);
        self.expire_instances();
    }

    fn record_status(&mut self, status: AttemptStatus, attempt: &Attempt, is_silent: bool, now: Time) {
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
    /// Learns from the end of an attempt of the worker, its instance, and how full all workers are.
    pub(super) fn learn(&mut self, outcome: &AttemptOutcome, attempt: &Attempt) {
        let now = self.now;
        let objective = self.settings.classes[attempt.class].latency_objective;
        let settings = &self.settings;
        let held = settings.load_metric(LoadMetric::InFlight, &outcome.load_report);
        let worker = self.cluster.process_of(attempt);
        let Some(worker) = worker else { return };
        let was_silent = worker.end_attempt(attempt, outcome.status, held, now);
        let is_silent = was_silent && outcome.latency >= objective;
        if outcome.instance_state == InstanceState::LoadFailed {
            worker.instance_mut(attempt.function).fail_load(now, BACKOFF);
        }
        // What fails at once looks idle and draws ever more. Where none was loaded, a load may have failed.
        let is_served =
            attempt.expected_warm && matches!(outcome.status, AttemptStatus::Ok | AttemptStatus::Error);
        let error = if outcome.status == AttemptStatus::Error {
            1.0
        } else {
            0.0
        };
        if is_served && worker.health.error_rate.record(error, &ERROR_RATE) {
            worker.health.ejection.extend(now, BACKOFF);
        }
        worker.record_status(outcome.status, attempt, is_silent, now);
        let used = objective_used(attempt, outcome).unwrap_or(self.saturation.value());
        self.saturation.update(used, SATURATION_WEIGHT);
        if outcome.status == AttemptStatus::Ok {
            self.learn_from_success(outcome, attempt, used);
        }
    }

    fn learn_from_success(&mut self, outcome: &AttemptOutcome, attempt: &Attempt, objective_used: f64) {
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

    /// Checks workers that are silent with requests in flight: one that is cut off breaks no connection.
    pub(super) fn check_silent_workers(&mut self) {
        for attempt in self.cluster.attempts_in_flight() {
            let worker = self.cluster.process_of(&attempt);
            let Some(worker) = worker else { continue };
            let silent_since = attempt.sent_at.max(worker.health.liveness.last_heard());
            let is_silent = self.now - silent_since >= CHECK_AFTER;
            if is_silent && worker.health.liveness.begin_check() {
                let worker = attempt.endpoint.worker;
                self.actions.push(Action::HealthCheck { worker });
            }
        }
    }

    /// Takes in the end of a health check; a worker that answers none is lost.
    pub(super) fn health_check_finished(&mut self, id: WorkerId, status: HealthCheckStatus) {
        let worker = self.cluster.workers.get_mut(&id);
        let Some(worker) = worker else { return };
        let unanswered = worker
            .health
            .liveness
            .end_check(status == HealthCheckStatus::Alive, self.now);
        if unanswered >= MAX_UNANSWERED_CHECKS {
            worker.health.liveness.heard(self.now);
            worker.eject(self.now);
            self.cancel_attempts(id);
        }
    }

    pub(super) fn eject_silent_zones(&mut self) {
        for (zone, workers) in self.cluster.workers_by_zone() {
            let is_cut_off = self.is_cut_off(zone);
            for id in workers.into_iter().filter(|_| is_cut_off) {
                self.cluster.workers.entry(id).and_modify(|w| w.eject(self.now));
                self.cancel_attempts(id);
            }
        }
    }

    /// Whether a zone has not responded to several attempts for a part of their objective, while another zone
    /// has responded since. Once all of it has been ejected, one attempt is enough.
    fn is_cut_off(&self, zone: ZoneId) -> bool {
        let inside = self.cluster.last_heard(|worker| worker.endpoint.zone == zone);
        let outside = self.cluster.last_heard(|worker| worker.endpoint.zone != zone);
        let attempts = self.cluster.attempts.values().filter(|attempt| {
            let is_old = self.now - attempt.sent_at > attempt.latency_objective.mul_f64(ZONE_SILENCE);
            let sent_at = Some(attempt.sent_at);
            attempt.endpoint.zone == zone && is_old && inside < sent_at && sent_at < outside
        });
        let silent: BTreeSet<WorkerId> = attempts.map(|a| a.endpoint.worker).collect();
        let mut workers = self.cluster.workers.values().filter(|w| w.endpoint.zone == zone);
        let all_ejected = workers.all(|worker| worker.health.ejection.failures() > 0);
        silent.len() >= if all_ejected { 1 } else { ZONE_SILENT_WORKERS }
    }
}
