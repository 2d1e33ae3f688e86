//! The lifecycle of attempts: start, write, response, cancellation and timeout.

use super::attempt_table::Attempt;
use super::timers::Timer;
use super::{AttemptId, Command, ExchangeError, ReportedMetric, RequestOrigin, Scheduler, WorkerResponse};
use crate::model::{AttemptStatus, Event, RequestId, Span, Time, WorkerId};
use tracing::debug;

impl Scheduler {
    /// Returns the number of attempts that are in flight or queued for writing.
    pub fn attempts_in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the origin of the request that an attempt is for, unless the request has ended.
    pub fn origin_of(&self, attempt: AttemptId) -> Option<RequestOrigin> {
        Some(self.requests.get(attempt.request)?.origin)
    }

    /// Returns whether an attempt is in flight or queued for writing.
    pub fn is_in_flight(&self, attempt: AttemptId) -> bool {
        self.attempts.contains(attempt)
    }

    /// Records that an attempt has been handed to the operating system completely.
    pub fn attempt_written(&mut self, now: Time, attempt: AttemptId) {
        self.check_written(now, attempt);
        if !self.attempts.contains(attempt) {
            return;
        }
        self.counters.attempts_written += 1;
        debug!(
            request = attempt.request.0,
            attempt = attempt.number,
            "attempt written"
        );
        if let Some(request) = self.requests.get_mut(attempt.request) {
            request.record_write(attempt.number, now);
        }
    }

    /// Records the load report in an attempt's response. The caller reports the response itself afterwards,
    /// with [`Scheduler::attempt_ended`].
    ///
    /// A load report that lacks a metric of the settings is ignored, since the policy identifies values by
    /// position.
    pub fn record_load_report(&mut self, attempt: AttemptId, report: &[ReportedMetric]) {
        let value_of = |name: &String| {
            let metric = report.iter().find(|metric| metric.name == *name);
            metric.map(|metric| metric.value)
        };
        let values: Option<Vec<f32>> = self.site.load_metric_names.iter().map(value_of).collect();
        if let Some(values) = values {
            self.attempts.record_load_report(attempt, values);
        }
    }

    /// Ends an attempt with the worker's response or with the failure of its exchange.
    pub fn attempt_ended(&mut self, now: Time, id: AttemptId, result: Result<WorkerResponse, ExchangeError>) {
        if !self.attempts.contains(id) {
            return;
        }
        let status = match &result {
            Ok(response) => response.attempt_status(),
            Err(error) => error.progress.attempt_status(),
        };
        if status == AttemptStatus::Error {
            self.requests.record_error(id.request);
        }
        if status.never_ran()
            && let Some(request) = self.requests.get_mut(id.request)
        {
            request.retract_write(id.number);
        }
        if let Ok(WorkerResponse::Ok(body)) = result {
            self.serve(now, id.request, body);
        }
        self.finish_attempt(now, id, status);
        self.run_policy(now);
    }

    /// Ends an attempt that was not written for a local reason: its write was denied, or no connection could
    /// be opened for it. Unlike a refused connection, this does not count against the worker.
    pub fn attempt_not_sent(&mut self, now: Time, attempt: AttemptId) {
        self.finish_attempt(now, attempt, AttemptStatus::NotSent);
        self.run_policy(now);
    }

    /// Starts the next attempt of a request. Its timeout is limited to the request's deadline.
    pub(super) fn start_attempt(&mut self, now: Time, id: RequestId, worker: WorkerId, timeout: Span) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let attempt = AttemptId {
            request: id,
            number: request.start_attempt(),
        };
        let deadline = (now + timeout).min(request.deadline);
        let payload = request.payload.clone();
        debug!(
            request = id.0,
            attempt = attempt.number,
            worker = format_args!("{:08x}", worker.0),
            "attempt begun"
        );
        self.attempts.insert(attempt, Attempt::new(worker, now, deadline));
        self.timers.schedule(deadline, Timer::Attempt(attempt));
        self.commands.push_back(Command::Send {
            attempt,
            worker,
            payload,
            deadline,
        });
    }

    /// Ends an attempt that may still be running on its worker, and has the worker cancel it.
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

    /// Removes an attempt and notifies the policy of its outcome.
    fn finish_attempt(&mut self, now: Time, id: AttemptId, status: AttemptStatus) {
        let Some(attempt) = self.attempts.remove(id) else {
            return;
        };
        self.timers.cancel(attempt.deadline, Timer::Attempt(id));
        self.counters.count_attempt_end(status);
        debug!(
            request = id.request.0,
            attempt = id.number,
            ?status,
            "attempt ended"
        );
        let request_finished = !self.requests.contains(id.request);
        let outcome = attempt.into_outcome(now, id, status, request_finished);
        self.pending_events.push_back(Event::AttemptFinished(outcome));
    }
}
