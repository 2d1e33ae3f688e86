//! Ends requests, attempts, load orders and health checks: their state and timers are removed, the end is
//! counted, and the client or the policy gets to know of it.

use super::request_table::PendingRequest;
use super::timers::Timer;
use super::{
    AttemptId, Command, HealthCheckId, LoadOrderId, LoadResult, Outcome, RequestOrigin, Response, Scheduler,
};
use crate::model::{AttemptStatus, Event, HealthCheckStatus, RequestId, Time};
use tracing::debug;

impl Scheduler {
    /// Ends a request with a worker's response body.
    pub(super) fn serve(&mut self, now: Time, id: RequestId, body: Vec<u8>) {
        let Some(request) = self.remove_request(id) else {
            return;
        };
        self.check_response_time(now, id, request.deadline);
        self.respond(
            request.origin,
            Response {
                outcome: Outcome::Served(body),
                expired: false,
            },
        );
    }

    /// Ends a request without a worker's response.
    pub(super) fn finish_request(&mut self, now: Time, id: RequestId, outcome: Outcome) {
        let Some(request) = self.remove_request(id) else {
            return;
        };
        self.check_response_time(now, id, request.deadline);
        let expired = now + self.site.settings.tick >= request.deadline;
        self.respond(request.origin, Response { outcome, expired });
    }

    /// Fails a request that the policy should have ended by now, after a last chance for the policy to do so.
    pub(super) fn fail_overdue_request(&mut self, now: Time, id: RequestId) {
        self.run_policy(now);
        if !self.requests.contains(id) {
            return;
        }
        self.counters.requests_overdue += 1;
        self.finish_request(now, id, Outcome::Failed);
        self.pending_events.push_back(Event::ClientDisconnected(id));
    }

    /// Removes a request with its timer; whoever removes it sees to the final response.
    pub(super) fn remove_request(&mut self, id: RequestId) -> Option<PendingRequest> {
        let request = self.requests.remove(id)?;
        self.timers.cancel(request.overdue_at(), Timer::Request(id));
        Some(request)
    }

    /// Gives a client the final response to its request.
    pub(super) fn respond(&mut self, origin: RequestOrigin, response: Response) {
        self.counters.count_response(&response.outcome);
        debug!(
            "request answered connection={} stream={} outcome={} expired={}",
            origin.connection,
            origin.stream,
            response.outcome.name(),
            response.expired
        );
        self.commands.push_back(Command::Respond { origin, response });
    }

    /// Ends an attempt that has not ended at its worker.
    pub(super) fn cancel_attempt(&mut self, now: Time, id: AttemptId, status: AttemptStatus) {
        let Some(attempt) = self.attempts.get(id) else {
            return;
        };
        self.commands.push_back(Command::Cancel {
            attempt: id,
            worker: attempt.worker,
        });
        self.finish_attempt(now, id, status);
    }

    /// Ends an attempt that is over at its worker, or never came there.
    pub(super) fn finish_attempt(&mut self, now: Time, id: AttemptId, status: AttemptStatus) {
        let Some(attempt) = self.attempts.remove(id) else {
            return;
        };
        self.timers.cancel(attempt.deadline, Timer::Attempt(id));
        self.counters.count_attempt_end(status);
        debug!(
            "attempt ended request={} attempt={} status={status:?}",
            id.request.0, id.number
        );
        let request_finished = !self.requests.contains(id.request);
        let outcome = attempt.into_outcome(now, id, status, request_finished);
        self.pending_events.push_back(Event::AttemptFinished(outcome));
    }

    /// Ends a load order.
    pub(super) fn finish_load_order(&mut self, now: Time, id: LoadOrderId, result: LoadResult) {
        let Some(order) = self.load_orders.remove(id) else {
            return;
        };
        self.timers.cancel(order.deadline, Timer::LoadOrder(id));
        self.pending_events
            .push_back(Event::LoadFinished(order.outcome(now, result)));
    }

    /// Ends a health check.
    pub(super) fn finish_health_check(&mut self, id: HealthCheckId, status: HealthCheckStatus) {
        let Some(check) = self.health_checks.remove(id) else {
            return;
        };
        self.timers.cancel(check.deadline, Timer::HealthCheck(id));
        if status != HealthCheckStatus::Alive {
            self.counters.health_checks_failed += 1;
        }
        self.pending_events.push_back(Event::HealthCheckFinished {
            worker: check.worker,
            status,
        });
    }
}
