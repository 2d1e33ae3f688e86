//! Workers and their health.

use super::acceptance::Acceptance;
use super::{Attempt, Instance};
use crate::collections::{AimdLimit, BackoffTimer, BurstCounter, Liveness};
use crate::model::{AttemptStatus, Endpoint, FunctionId, Time};
use crate::stats::{DecayingAverage, LoadEstimate, ThresholdDetector};
use std::collections::BTreeMap;

/// What is known of a worker process.
#[derive(Default)]
pub(crate) struct Worker {
    /// The worker as it is listed.
    pub(crate) endpoint: Endpoint,
    /// When this process was first listed.
    pub(crate) listed_at: Time,
    /// Its instances.
    pub(crate) instances: BTreeMap<FunctionId, Instance>,
    /// How loaded it is.
    pub(crate) load: LoadEstimate,
    /// No request starts a load there before this time.
    pub(crate) load_backoff_until: Time,
    /// Most requests of this scheduler in flight there.
    pub(crate) concurrency_limit: AimdLimit,
    /// Mean fraction of the latency objective, 0 to 1, that requests used there.
    pub(crate) saturation: DecayingAverage,
    /// Its health.
    pub(crate) health: Health,
    /// Whether it takes new work, by the attempts sent there.
    pub(crate) acceptance: Acceptance,
}

/// The health of a worker.
#[derive(Default)]
pub(crate) struct Health {
    /// When it last responded, and its health checks.
    pub(crate) liveness: Liveness,
    /// Until when it gets no requests, if others do.
    pub(crate) ejection: BackoffTimer,
    /// Fraction, 0 to 1, of the attempts at loaded instances that failed.
    pub(crate) error_rate: ThresholdDetector,
    /// Connections that broke in a row.
    pub(crate) resets: BurstCounter,
}

impl Worker {
    /// A process of which nothing is known yet.
    pub(crate) fn new(endpoint: Endpoint, listed_at: Time) -> Worker {
        Worker {
            endpoint,
            listed_at,
            ..Worker::default()
        }
    }

    /// When its process started, if it is listed as started lately. The listed time is one of another machine's wall
    /// clock, which may be ahead of this one's: no process has started after it was listed.
    pub(crate) fn started_at(&self) -> Option<Time> {
        self.endpoint
            .started_at
            .map(|started_at| started_at.min(self.listed_at))
    }

    /// What is known of an instance; the default where nothing is.
    pub(crate) fn instance(&self, function: FunctionId) -> Instance {
        self.instances.get(&function).copied().unwrap_or_default()
    }

    /// An instance, to be changed.
    pub(crate) fn instance_mut(&mut self, function: FunctionId) -> &mut Instance {
        self.instances.entry(function).or_default()
    }

    /// Load orders that are under way for instances not expected loaded.
    pub(crate) fn ordered_loads(&self, now: Time) -> usize {
        let ordered = self
            .instances
            .values()
            .filter(|instance| instance.ordered_at().is_some());
        ordered.filter(|instance| !instance.is_loaded(now)).count()
    }

    /// Instances whose loads requests in flight wait for.
    pub(crate) fn awaited_loads(&self, now: Time) -> usize {
        self.instances
            .values()
            .filter(|instance| instance.is_awaited(now))
            .count()
    }

    /// Nothing is expected loaded there any longer.
    pub(crate) fn expire_instances(&mut self) {
        self.instances.values_mut().for_each(Instance::expire);
    }

    /// Records the end of an attempt there, and the requests in flight that its load report gives, if any.
    /// Returns whether the worker has been silent since the attempt was sent, up to this end.
    pub(crate) fn end_attempt(
        &mut self,
        attempt: &Attempt,
        status: AttemptStatus,
        reported_in_flight: Option<f64>,
        now: Time,
    ) -> bool {
        let was_silent = self.health.liveness.last_response_at() < attempt.sent_at;
        if status.is_response() {
            self.health.liveness.record_response(now);
        }
        if let Some(reported) = reported_in_flight {
            self.load.report(reported);
        }
        self.acceptance.record(attempt, status);
        self.load.end();
        self.instance_mut(attempt.function).end_request();
        was_silent
    }
}
