//! Health of workers and zones: health checks of silent ones, and ejection with backoff.

use super::{BACKOFF, Policy};
use crate::cluster::Worker;
use crate::model::{Action, HealthCheckStatus, Span, Time, WorkerId, ZoneId};
use std::collections::BTreeSet;

/// A worker with requests in flight is sent a health check once it has been silent for this long.
///
/// Time, above 0. Source: inherited.
const HEALTH_CHECK_AFTER: Span = Span::from_millis(800);
/// Unanswered health checks in a row for which a worker is ejected.
///
/// Health checks, from 1 up. Source: inherited.
const MAX_UNANSWERED_CHECKS: u32 = 2;
/// Silence after an attempt, as a fraction of its latency objective, from which its zone is suspected.
///
/// Fraction, 0 to 1. Source: measured (commit 37883db; journal 20261201T160542). With a third the three
/// recordings scored lower (20261201T160647 and after).
const ZONE_SILENCE_FRACTION: f64 = 0.5;
/// Silent workers for which a zone is ejected.
///
/// Workers, from 1 up. Source: judgement (commit 37883db).
const ZONE_SILENT_WORKERS: usize = 3;
/// The same while all of the zone's workers have been ejected and not responded since.
///
/// Workers, from 1 up. Source: measured (commit 37883db; journal 20261201T160626).
const EJECTED_ZONE_SILENT_WORKERS: usize = 1;

impl Worker {
    /// Ejects a worker that cannot be reached; nothing is expected loaded there.
    pub(super) fn eject(&mut self, now: Time) {
        self.health.ejection.begin(now, BACKOFF);
        self.acceptance.record_unreachable(now);
        self.expire_instances();
    }
}

impl Policy {
    /// Checks workers that are silent with requests in flight: one that is cut off breaks no connection.
    pub(super) fn check_silent_workers(&mut self) {
        for attempt in self.cluster.attempts_in_flight() {
            let worker = self.cluster.process_of(&attempt);
            let Some(worker) = worker else { continue };
            let silent_since = attempt.sent_at.max(worker.health.liveness.last_response_at());
            let is_silent = self.now - silent_since >= HEALTH_CHECK_AFTER;
            if is_silent && worker.health.liveness.begin_check() {
                let worker = attempt.endpoint.worker;
                self.actions.push(Action::HealthCheck { worker });
            }
        }
    }

    /// Takes in the end of a health check; a worker that leaves several in a row unanswered is ejected.
    pub(super) fn health_check_finished(&mut self, id: WorkerId, status: HealthCheckStatus) {
        let worker = self.cluster.workers.get_mut(&id);
        let Some(worker) = worker else { return };
        let is_alive = status == HealthCheckStatus::Alive;
        let unanswered = worker.health.liveness.end_check(is_alive, self.now);
        if unanswered >= MAX_UNANSWERED_CHECKS {
            worker.health.liveness.record_response(self.now);
            worker.eject(self.now);
            self.cancel_attempts(id);
        }
    }

    /// Ejects the workers of zones that are cut off.
    pub(super) fn eject_silent_zones(&mut self) {
        for (zone, workers) in self.cluster.workers_by_zone() {
            let is_zone_unreachable = self.is_zone_unreachable(zone);
            for id in workers.into_iter().filter(|_| is_zone_unreachable) {
                self.cluster.workers.entry(id).and_modify(|w| w.eject(self.now));
                self.cancel_attempts(id);
            }
        }
    }

    /// Whether a zone has not responded to several attempts for a fraction of their objective, while another
    /// zone has responded since. Once all of it has been ejected, one attempt is enough.
    fn is_zone_unreachable(&self, zone: ZoneId) -> bool {
        let inside = self
            .cluster
            .last_response_at(|worker| worker.endpoint.zone == zone);
        let outside = self
            .cluster
            .last_response_at(|worker| worker.endpoint.zone != zone);
        let attempts = self.cluster.attempts.values().filter(|attempt| {
            let is_old =
                self.now - attempt.sent_at > attempt.latency_objective.mul_f64(ZONE_SILENCE_FRACTION);
            let sent_at = Some(attempt.sent_at);
            attempt.endpoint.zone == zone && is_old && inside < sent_at && sent_at < outside
        });
        let silent: BTreeSet<WorkerId> = attempts.map(|a| a.endpoint.worker).collect();
        let mut workers = self.cluster.workers.values().filter(|w| w.endpoint.zone == zone);
        let all_ejected = workers.all(|worker| worker.health.ejection.failures() > 0);
        let needed = if all_ejected {
            EJECTED_ZONE_SILENT_WORKERS
        } else {
            ZONE_SILENT_WORKERS
        };
        silent.len() >= needed
    }
}
