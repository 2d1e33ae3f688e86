//! Requests from receipt to final response: whether they may be retried, and how they end.

use super::{Policy, RETRY_DELAY, Timer};
use crate::cluster::{Attempt, Request, Worker};
use crate::model::{
    Action, AttemptOutcome, AttemptStatus, IncomingRequest, RejectionCause, RequestId, Span, Time, WorkerId,
};

/// Time before the end of the deduplication window (page WIRE, rule 2) by which a retry with an idempotency
/// key must arrive.
const DEDUPLICATION_MARGIN: Span = Span::from_millis(100);
/// Time after which the client of a rejected request is advised to retry, limited by the maximum of the site
/// (page WIRE, `bounds.maxRetryAfterNs`).
const RETRY_AFTER: Span = Span::from_millis(250);

impl Policy {
    pub(super) fn request_received(&mut self, incoming: IncomingRequest) {
        let id = incoming.id;
        let class = usize::from(incoming.class.0);
        self.cluster.recent_requests.record(self.now, 1.0);
        let Some(rules) = self.settings.classes.get(class) else {
            return self.actions.push(Action::Fail { id });
        };
        let objective = rules.latency_objective.min(incoming.remaining);
        self.cluster.add_request(&incoming, objective, self.now);
        self.cluster
            .limit_functions(self.now, self.settings.loading.keep_alive);
        self.drop_timers_of_ended_requests();
        self.schedule_deadline(id, self.now + incoming.remaining);
        if self.should_shed(class) {
            self.reject_or_fail(id, RejectionCause::NotServed);
        } else {
            self.place(id);
        }
    }

    pub(super) fn client_disconnected(&mut self, id: RequestId) {
        if let Some(request) = self.cluster.requests.remove(&id) {
            self.cancel_in_flight(id, &request);
        }
    }

    pub(super) fn attempt_finished(&mut self, outcome: AttemptOutcome) {
        let id = outcome.id;
        let attempt = self.cluster.end_attempt(id, outcome.attempt);
        let Some(attempt) = attempt else { return };
        self.record_outcome(&outcome, &attempt);
        if outcome.request_finished {
            self.cluster.requests.remove(&id);
        }
        let request = self.cluster.requests.get_mut(&id);
        let Some(request) = request else { return };
        request.end_attempt(attempt, outcome.status);
        // After any other status, another attempt on this worker would most likely fail again immediately.
        if !matches!(
            outcome.status,
            AttemptStatus::Reset | AttemptStatus::Expired | AttemptStatus::NotSent
        ) {
            request.failed_workers.push(attempt.endpoint.worker);
        }
        let first_run = request.first_run();
        // Several attempts in a row that were not sent show that this process lacks a resource, which an
        // immediate retry would lack, too.
        let is_out_of_resources = request.consecutive_unsent() > 1;
        let is_out_of_time = outcome.status == AttemptStatus::Timeout || self.now >= request.deadline;
        if outcome.status == AttemptStatus::Miss {
            self.load_missing_instance(&attempt);
        }
        if is_out_of_time || !self.may_retry(attempt.class, first_run) {
            self.reject_or_fail(id, RejectionCause::NotServed);
        } else if is_out_of_resources {
            self.schedule(RETRY_DELAY, Timer::Placement(id));
        } else {
            self.place(id);
        }
    }

    /// Orders the load of an instance that was missed while the request tries other workers.
    ///
    /// The load is ordered only if this scheduler has too few requests of its own to show where instances are
    /// loaded. The requests of all schedulers together may need the instance nevertheless.
    fn load_missing_instance(&mut self, attempt: &Attempt) {
        let function = self.cluster.functions.get(&attempt.function);
        if function.is_some_and(|f| self.demand(f, attempt.class).is_sparsely_sampled) {
            self.order_load(attempt.endpoint.worker, attempt.function);
        }
    }

    /// Returns whether the class allows another attempt, given the first attempt that may have run.
    pub(super) fn may_retry(&self, class: usize, first_run: Option<Attempt>) -> bool {
        let idempotency = self.settings.classes[class].idempotency;
        let arrival = self.now + DEDUPLICATION_MARGIN;
        first_run.is_none_or(|first| idempotency.permits_repeat_at(arrival, first.sent_at))
    }

    /// Returns whether the class allows an attempt on a worker, given the first attempt that may have run.
    pub(super) fn may_retry_on(&self, request: &Request, worker: &Worker) -> bool {
        let idempotency = self.settings.classes[request.class].idempotency;
        let permits = |first: Attempt| idempotency.permits_repeat_on(&worker.endpoint, &first.endpoint);
        self.may_retry(request.class, request.first_run()) && request.first_run().is_none_or(permits)
    }

    /// Cancels the attempts in flight on an ejected worker, if their requests may be retried.
    pub(super) fn cancel_attempts(&mut self, worker: WorkerId) {
        for (id, attempt) in self.cluster.attempts_on(worker) {
            let request = &self.cluster.requests[&id.request];
            let first_run = request.first_run().or(Some(attempt));
            let has_attempts = request.attempts() < self.settings.permissions.max_attempts;
            if has_attempts && self.may_retry(request.class, first_run) {
                self.actions.push(id.cancel());
            }
        }
    }

    /// Cancels the attempt in flight of a request that has ended, so that it uses no capacity.
    fn cancel_in_flight(&mut self, id: RequestId, request: &Request) {
        let may_cancel = self.settings.permissions.may_cancel;
        if let Some(attempt) = request.in_flight().filter(|_| may_cancel) {
            self.actions.push(Action::Cancel { id, attempt });
        }
    }

    /// Limits the deadlines of all requests to `remaining` from now, because the process is shutting down.
    pub(super) fn limit_deadlines(&mut self, remaining: Span) {
        let limit = self.now + remaining;
        let mut limited = Vec::new();
        for (id, request) in &mut self.cluster.requests {
            if request.deadline > limit {
                request.deadline = limit;
                limited.push(*id);
            }
        }
        for id in limited {
            self.schedule_deadline(id, limit);
        }
        // Less time is left to wait for the renewal of a lease.
        self.release_held_requests(self.now);
    }

    /// Schedules the end of a request for the last tick before its deadline.
    fn schedule_deadline(&mut self, id: RequestId, deadline: Time) {
        let last_tick = deadline - self.settings.tick;
        self.timers.schedule(last_tick, Timer::Deadline(id));
    }

    /// Ends a request unserved: rejects it if a retry by the client is harmless, and fails it otherwise.
    pub(super) fn reject_or_fail(&mut self, id: RequestId, cause: RejectionCause) {
        let request = self.cluster.requests.remove(&id);
        let Some(request) = request else { return };
        self.cancel_in_flight(id, &request);
        let idempotency = self.settings.classes[request.class].idempotency;
        if request.never_ran() || idempotency.permits_client_retry() {
            // The client is advised when to retry instead of being kept waiting.
            let max_retry_after = self.settings.permissions.max_retry_after;
            let retry_after = max_retry_after.map_or(Span(0), |max| max.min(RETRY_AFTER));
            self.actions.push(Action::Reject {
                id,
                retry_after,
                cause,
            });
        } else {
            self.actions.push(Action::Fail { id });
        }
    }
}
