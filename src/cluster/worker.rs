//! Workers and their health.

use super::acceptance::Acceptance;
use super::{Attempt, Instance};
use crate::collections::{AimdLimit, BackoffTimer, BurstCounter, Liveness};
use crate::model::{AttemptStatus, Endpoint, FunctionId, Time};
use crate::stats::{DecayingAverage, LoadEstimate, ThresholdDetector};
use std::collections::BTreeMap;

/// State of a worker process, as far as it is known.
#[derive(Default)]
pub(crate) struct Worker {
    /// Endpoint list entry of the worker.
    pub(crate) endpoint: Endpoint,
    /// When this process was first listed.
    pub(crate) listed_at: Time,
    /// Instances on the worker, by function.
    pub(crate) instances: BTreeMap<FunctionId, Instance>,
    /// Estimated load of the worker.
    pub(crate) load: LoadEstimate,
    /// Time before which no request starts a load on the worker.
    pub(crate) load_backoff_until: Time,
    /// Limit on this scheduler's requests in flight to the worker.
    pub(crate) concurrency_limit: AimdLimit,
    /// Average fraction of the latency objective, 0 to 1, that requests to the worker used.
    pub(crate) saturation: DecayingAverage,
    /// Health of the worker.
    pub(crate) health: Health,
    /// Whether the worker accepts new work, judged by the attempts sent to it.
    pub(crate) acceptance: Acceptance,
}

/// Health of a worker.
#[derive(Default)]
pub(crate) struct Health {
    /// Time of the latest response, and the health checks.
    pub(crate) liveness: Liveness,
    /// Backoff during which the worker is sent no requests if enough other workers can take them.
    pub(crate) ejection: BackoffTimer,
    /// Fraction of attempts at loaded instances that failed, 0 to 1.
    pub(crate) error_rate: ThresholdDetector,
    /// Consecutive broken connections.
    pub(crate) resets: BurstCounter,
}

impl Worker {
    /// Creates the record of a process about which nothing is known yet.
    pub(crate) fn new(endpoint: Endpoint, listed_at: Time) -> Worker {
        Worker {
            endpoint,
            listed_at,
            ..Worker::default()
        }
    }

    /// Returns when the process started, or `None` if it is not listed as recently started.
    ///
    /// The listed time comes from the wall clock of another machine, which may be ahead of the local one.
    /// It is capped at the time of listing, because no process starts after it is listed.
    pub(crate) fn started_at(&self) -> Option<Time> {
        self.endpoint
            .started_at
            .map(|started_at| started_at.min(self.listed_at))
    }

    /// Returns a copy of what is known about an instance, or the default if nothing is.
    pub(crate) fn instance(&self, function: FunctionId) -> Instance {
        self.instances.get(&function).copied().unwrap_or_default()
    }

    /// Returns the record of an instance, creating it if there is none.
    pub(crate) fn instance_mut(&mut self, function: FunctionId) -> &mut Instance {
        self.instances.entry(function).or_default()
    }

    /// Returns the number of load orders in progress for instances that are not expected to be loaded.
    pub(crate) fn ordered_loads(&self, now: Time) -> usize {
        let ordered = self
            .instances
            .values()
            .filter(|instance| instance.ordered_at().is_some());
        ordered.filter(|instance| !instance.is_loaded(now)).count()
    }

    /// Returns the number of instances that requests in flight wait for until they are loaded.
    pub(crate) fn awaited_loads(&self, now: Time) -> usize {
        self.instances
            .values()
            .filter(|instance| instance.is_awaited(now))
            .count()
    }

    /// Marks all instances as no longer expected to be loaded.
    pub(crate) fn expire_instances(&mut self) {
        self.instances.values_mut().for_each(Instance::expire);
    }

    /// Records the end of an attempt and, if the load report contains it, the number of requests in flight
    /// on the worker.
    ///
    /// Returns whether the worker had not responded between the sending of the attempt and its end.
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
        self.load.end_request();
        self.instance_mut(attempt.function).end_request();
        was_silent
    }
}
