//! Health of workers and zones: health checks of silent workers, and ejection with backoff.

use super::{BACKOFF, Policy};
use crate::cluster::Worker;
use crate::model::{Action, HealthCheckStatus, Span, Time, WorkerId, ZoneId};
use std::collections::BTreeSet;

/// Time without a response after which a worker with requests in flight is sent a health check.
const HEALTH_CHECK_AFTER: Span = Span::from_millis(800);
/// Number of consecutive unanswered health checks after which a worker is ejected.
const MAX_UNANSWERED_CHECKS: u32 = 2;
/// Time without a response to an attempt after which the zone of its worker is suspected to be unreachable,
/// as a fraction (0 to 1) of the latency objective of the attempt.
const ZONE_SILENCE_FRACTION: f64 = 0.5;
/// Number of silent workers at which a zone is ejected.
const ZONE_SILENT_WORKERS: usize = 3;
/// Number of silent workers at which a zone is ejected again if none of its workers has recovered since the
/// last ejection.
const EJECTED_ZONE_SILENT_WORKERS: usize = 1;

impl Worker {
    /// Ejects an unreachable worker and marks its instances as no longer expected to be loaded.
    pub(super) fn eject(&mut self, now: Time) {
        self.health.ejection.begin(now, BACKOFF);
        self.acceptance.record_unreachable(now);
        self.expire_instances();
    }
}

impl Policy {
    /// Starts health checks of silent workers with requests in flight.
    ///
    /// A worker that becomes unreachable does not necessarily break its connections.
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

    /// Handles the end of a health check and ejects a worker after several consecutive unanswered ones.
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

    /// Ejects the workers of unreachable zones.
    pub(super) fn eject_silent_zones(&mut self) {
        for (zone, workers) in self.cluster.workers_by_zone() {
            let is_zone_unreachable = self.is_zone_unreachable(zone);
            for id in workers.into_iter().filter(|_| is_zone_unreachable) {
                self.cluster.workers.entry(id).and_modify(|w| w.eject(self.now));
                self.cancel_attempts(id);
            }
        }
    }

    /// Returns whether a zone is unreachable.
    ///
    /// A zone is unreachable if several of its workers have not responded to attempts for a fraction of the
    /// latency objective, and another zone has responded since those attempts were sent, but no worker of
    /// this zone has. Once all workers of the zone have been ejected, one such worker is enough.
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
