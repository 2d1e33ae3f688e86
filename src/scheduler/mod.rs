//! The state of requests round the policy, without sockets or a clock of its own.
//!
//! The scheduler guarantees exactly one final response to each submitted request, whatever the policy and the
//! workers do, unless the client cancels the request.
//!
//! Three parties call it:
//!
//! - Front ends hand in requests ([`Scheduler::submit`], [`Scheduler::cancel`]).
//! - The back end asks before it writes a command ([`Scheduler::admits_write`],
//!   [`Scheduler::admits_load_order`]) and reports what becomes of it ([`Scheduler::attempt_written`],
//!   [`Scheduler::attempt_ended`] and the like).
//! - The event loop reports changes of the endpoint list ([`Scheduler::update_endpoints`]), calls
//!   [`Scheduler::fire_timers`] when [`Scheduler::next_timer`] has come, and carries out the [`Command`]s in
//!   order.
//!
//! Each of these events goes on to the [`Policy`], and the actions that it decides on become commands. Every
//! method that depends on time takes the present time as `now`, so tests need no clock.

mod actions;
mod attempts;
mod command;
mod completion;
mod counters;
mod endpoint_states;
mod errors;
mod health_checks;
mod ids;
mod invariants;
mod load_orders;
mod load_rate_limiter;
mod log_limiter;
mod messages;
mod recent_functions;
mod request_admission;
mod request_table;
mod timers;
mod write_admission;

#[cfg(test)]
mod tests;

pub use command::Command;
pub use counters::Counters;
pub use errors::{AttemptError, FailureCause, WriteProgress};
pub use ids::{AttemptId, HealthCheckId, LoadOrderId, RequestOrigin};
pub use invariants::Violation;
pub use messages::{
    ClientRequest, LoadResult, Outcome, ReportedMetric, RequestParameters, RequestPayload, Response,
    WorkerResponse,
};

use crate::collections::TimerQueue;
use crate::model::{
    AttemptStatus, ClassId, Endpoint, EndpointUpdateKind, Event, HealthCheckStatus, IncomingRequest,
    LoadStatus, Site, Span, TenantId, Time,
};
use crate::policy::Policy;
use attempts::AttemptTable;
use endpoint_states::EndpointStates;
use health_checks::HealthCheckTable;
use load_orders::LoadOrderTable;
use load_rate_limiter::LoadRateLimiter;
use log_limiter::LogLimiter;
use request_admission::{RequestDenied, check_request};
use request_table::{PendingRequest, RequestTable};
use std::collections::VecDeque;
use timers::Timer;
use tracing::debug;

/// The scheduler's state and its way from events to commands; see the [module's page](self).
///
/// ```
/// use function_scheduler::scheduler::{
///     ClientRequest, Command, Outcome, RequestOrigin, RequestParameters, Scheduler, WorkerResponse,
/// };
/// use function_scheduler::{
///     ConnectionId, Endpoint, EndpointUpdateKind, FunctionId, StreamId, Time, WorkerId,
/// };
///
/// let site = function_scheduler::config::parse_site(br#"{"fleetSize": 1, "index": 0,
///   "classes": [{"name": "check", "deadlineNs": 3000000000, "effect": "retryable",
///                "objectiveNs": 1000000000}],
///   "bounds": {"mostTries": 3},
///   "contract": {"coldFrom": 0.2, "coldNs": 9000000000, "fallMultiple": 3, "fallNs": 2000000000},
///   "familyInfo": {"keepNs": 9000000000, "notLoaded": "load", "loadSpanNs": 0}}"#).unwrap();
/// let mut scheduler = Scheduler::new(site, 7);
/// let worker = Endpoint { worker: WorkerId(1), ..Endpoint::default() };
/// scheduler.update_endpoints(Time(0), EndpointUpdateKind::Snapshot, vec![worker]);
///
/// let origin = RequestOrigin { connection: ConnectionId(1), stream: StreamId(1) };
/// scheduler.submit(Time(0), ClientRequest {
///     origin,
///     correlation_id: "9b1f03aa5c7e2d41".into(),
///     parameters: RequestParameters {
///         memory_mb: 400.0,
///         concurrency: 2.0,
///         ..RequestParameters::new("check", FunctionId(9), Time(3_000_000_000), vec![])
///     },
/// });
///
/// let Some(Command::Send { attempt, .. }) = scheduler.next_command() else { panic!("not sent") };
/// scheduler.attempt_written(Time(1), attempt);
/// scheduler.attempt_ended(Time(2), attempt, Ok(WorkerResponse::Ok(b"4 of 5".to_vec())));
///
/// let Some(Command::Respond { response, .. }) = scheduler.next_command() else { panic!("no response") };
/// assert_eq!(response.outcome, Outcome::Served(b"4 of 5".to_vec()));
/// ```
pub struct Scheduler {
    site: Site,
    policy: Policy,
    /// When the last request has to have ended, once the process shuts down.
    ends_at: Option<Time>,
    requests: RequestTable,
    attempts: AttemptTable,
    load_orders: LoadOrderTable,
    health_checks: HealthCheckTable,
    /// Load orders and health checks share one sequence: their numbers become tags on the same connections.
    next_tag: u64,
    endpoint_states: EndpointStates,
    load_rate_limiter: LoadRateLimiter,
    log_limiter: LogLimiter,
    timers: TimerQueue<Timer>,
    /// Events that the policy has not been told of yet.
    pending_events: VecDeque<Event>,
    commands: VecDeque<Command>,
    counters: Counters,
}

impl Scheduler {
    /// A scheduler without requests and workers. The seed decides all ties.
    pub fn new(site: Site, seed: u64) -> Scheduler {
        Scheduler {
            policy: Policy::new(site.settings.clone(), seed),
            site,
            ends_at: None,
            requests: RequestTable::new(),
            attempts: AttemptTable::default(),
            load_orders: LoadOrderTable::default(),
            health_checks: HealthCheckTable::default(),
            next_tag: 0,
            endpoint_states: EndpointStates::default(),
            load_rate_limiter: LoadRateLimiter::default(),
            log_limiter: LogLimiter::default(),
            timers: TimerQueue::default(),
            pending_events: VecDeque::new(),
            commands: VecDeque::new(),
            counters: Counters::default(),
        }
    }

    /// The site's settings.
    pub fn site(&self) -> &Site {
        &self.site
    }

    /// Replaces the site's settings. Open requests go on under the new ones.
    pub fn reconfigure(&mut self, now: Time, site: Site) {
        self.site = self.site.replaced_by(site);
        self.policy.configure(self.site.settings.clone());
        self.run_policy(now);
    }

    /// Sets the memory that the process may take, in bytes; bodies of open requests get a sixth of it.
    pub fn set_memory_limit(&mut self, bytes: usize) {
        self.requests.set_memory_limit(bytes);
    }

    /// Whether a log line that a client has caused may be written. Lines are limited to ten a second; those
    /// beyond are only counted.
    pub fn may_log(&mut self, now: Time) -> bool {
        let allowed = self.log_limiter.try_acquire(now);
        if !allowed {
            self.counters.log_lines_suppressed += 1;
        }
        allowed
    }

    /// The running totals, to be read or added to.
    pub fn counters(&mut self) -> &mut Counters {
        &mut self.counters
    }

    /// Counts a request that its front end has answered by itself because it could not be submitted.
    pub fn count_local_rejection(&mut self, outcome: &Outcome) {
        self.counters.count_frontend_response(outcome);
    }

    /// How many requests are owed a final response.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// How many written load orders the rate limit remembers.
    pub fn load_orders_remembered(&self) -> usize {
        self.load_rate_limiter.load_orders_remembered()
    }

    /// How many attempts are in flight or wait to be written.
    pub fn attempts_in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Whether an attempt is in flight or waits to be written.
    pub fn is_in_flight(&self, attempt: AttemptId) -> bool {
        self.attempts.contains(attempt)
    }

    /// How long a client should wait before a retry where the policy has not said; zero for no advice.
    pub fn default_retry_after(&self) -> Span {
        self.site.settings.permissions.max_retry_after.unwrap_or_default()
    }

    /// The next command to carry out.
    pub fn next_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// When [`Scheduler::fire_timers`] is to be called next.
    pub fn next_timer(&self) -> Option<Time> {
        self.timers.next_expiry()
    }

    /// Applies an update of the endpoint list.
    pub fn update_endpoints(&mut self, now: Time, kind: EndpointUpdateKind, endpoints: Vec<Endpoint>) {
        self.counters.endpoint_updates += 1;
        self.endpoint_states.apply(kind, &endpoints);
        self.handle_event(now, Event::EndpointsUpdated { kind, endpoints });
    }

    /// Takes in a complete request. From here on exactly one final response is owed to its client.
    pub fn submit(&mut self, now: Time, request: ClientRequest) {
        self.counters.requests_received += 1;
        self.load_rate_limiter.record_request(now);
        let request = self.within_shutdown(request);
        match self.check_admission(now, &request) {
            Ok(class) => self.accept(now, request, class),
            Err(denied) => {
                debug!("request denied ref={:?} why=\"{denied}\"", request.correlation_id);
                self.respond(request.origin, denied.response(self.default_retry_after()));
            }
        }
    }

    /// The class of a request that may be accepted.
    fn check_admission(&self, now: Time, request: &ClientRequest) -> Result<ClassId, RequestDenied> {
        if self.ends_at.is_some_and(|ends_at| ends_at <= now) {
            return Err(RequestDenied::ShuttingDown);
        }
        check_request(now, request, &self.site, &self.requests)
    }

    /// Has every request that is still to come end by this time, and those that come later rejected.
    pub fn end_requests_by(&mut self, ends_at: Time) {
        self.ends_at = Some(ends_at);
    }

    /// A request with its deadline moved to the end of the process, if that comes before it.
    fn within_shutdown(&self, mut request: ClientRequest) -> ClientRequest {
        if let Some(ends_at) = self.ends_at {
            request.parameters.deadline = request.parameters.deadline.min(ends_at);
        }
        request
    }

    fn accept(&mut self, now: Time, request: ClientRequest, class: ClassId) {
        let ClientRequest {
            origin,
            correlation_id,
            parameters,
        } = request;
        let RequestParameters {
            function, deadline, ..
        } = parameters;
        let payload = RequestPayload {
            correlation_id,
            class: parameters.class,
            function,
            key: parameters.key,
            body: parameters.body,
        };
        let idempotency = self.site.settings.classes[usize::from(class.0)].idempotency;
        let pending = PendingRequest::new(origin, payload, idempotency, deadline);
        let overdue_at = pending.overdue_at();
        let id = self.requests.insert(pending);
        debug!(
            "request accepted request={} connection={} stream={} remaining_ms={}",
            id.0,
            origin.connection,
            origin.stream,
            (deadline - now).as_millis_rounded_up()
        );
        self.timers.schedule(overdue_at, Timer::Request(id));
        self.load_orders.record_request(now, function);
        let incoming = IncomingRequest {
            id,
            function,
            class,
            tenant: TenantId::default(),
            remaining: deadline - now,
            memory_mb: parameters.memory_mb,
            concurrency: parameters.concurrency,
            load_time: parameters.load_time,
        };
        self.handle_event(now, Event::RequestReceived(incoming));
    }

    /// The client no longer waits for this request: no final response is owed to it any more.
    pub fn cancel(&mut self, now: Time, origin: RequestOrigin) {
        let Some(id) = self.requests.id_at(origin) else {
            return;
        };
        self.counters.requests_cancelled += 1;
        debug!("request cancelled request={}", id.0);
        self.remove_request(id);
        self.handle_event(now, Event::ClientDisconnected(id));
    }

    /// An attempt has been handed to the operating system completely.
    pub fn attempt_written(&mut self, now: Time, attempt: AttemptId) {
        self.check_written(now, attempt);
        if !self.attempts.contains(attempt) {
            return;
        }
        self.counters.attempts_written += 1;
        debug!(
            "attempt written request={} attempt={}",
            attempt.request.0, attempt.number
        );
        if let Some(request) = self.requests.get_mut(attempt.request) {
            request.record_write(attempt.number, now);
        }
    }

    /// Takes the load report that came with an attempt's response; the response itself is to be reported
    /// next. A load report that lacks a metric of the settings is ignored, since the policy knows the values
    /// by position.
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

    /// An attempt has ended with a worker's response, or failed on the way.
    pub fn attempt_ended(&mut self, now: Time, id: AttemptId, result: Result<WorkerResponse, AttemptError>) {
        if !self.attempts.contains(id) {
            return;
        }
        let status = match &result {
            Ok(response) => response.attempt_status(),
            Err(error) => error.progress.attempt_status(),
        };
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

    /// An attempt was not written for a local reason: it was no longer admitted, or no connection could be
    /// opened for it. Unlike a refused connection, this says nothing of the worker.
    pub fn attempt_not_sent(&mut self, now: Time, attempt: AttemptId) {
        self.finish_attempt(now, attempt, AttemptStatus::NotSent);
        self.run_policy(now);
    }

    /// A load order has ended with a worker's response, or failed on the way.
    pub fn load_order_ended(
        &mut self,
        now: Time,
        order: LoadOrderId,
        result: Result<LoadResult, AttemptError>,
    ) {
        let result =
            result.unwrap_or_else(|error| LoadResult::without_instances(error.progress.load_status()));
        self.finish_load_order(now, order, result);
        self.run_policy(now);
    }

    /// A load order was not written for a local reason; see [`Scheduler::attempt_not_sent`].
    pub fn load_order_not_sent(&mut self, now: Time, order: LoadOrderId) {
        self.finish_load_order(now, order, LoadResult::without_instances(LoadStatus::NotSent));
        self.run_policy(now);
    }

    /// A health check has been answered, or failed on the way.
    pub fn health_check_ended(&mut self, now: Time, check: HealthCheckId, result: Result<(), AttemptError>) {
        let status = match result {
            Ok(()) => HealthCheckStatus::Alive,
            Err(_) => HealthCheckStatus::Failed,
        };
        self.finish_health_check(check, status);
        self.run_policy(now);
    }

    /// Fires all timers that have expired.
    pub fn fire_timers(&mut self, now: Time) {
        while let Some(timer) = self.timers.pop_expired(now) {
            self.fire_timer(now, timer);
        }
        self.run_policy(now);
    }

    fn fire_timer(&mut self, now: Time, timer: Timer) {
        match timer {
            Timer::Policy => self.pending_events.push_back(Event::TimerFired),
            Timer::Request(id) => self.fail_overdue_request(now, id),
            Timer::Attempt(id) => self.cancel_attempt(now, id, AttemptStatus::Timeout),
            Timer::LoadOrder(id) => {
                self.finish_load_order(now, id, LoadResult::without_instances(LoadStatus::Timeout));
            }
            Timer::HealthCheck(id) => self.finish_health_check(id, HealthCheckStatus::Timeout),
        }
    }

    fn handle_event(&mut self, now: Time, event: Event) {
        self.pending_events.push_back(event);
        self.run_policy(now);
    }

    /// Tells the policy of all pending events and carries out what it decides, until no event is left.
    fn run_policy(&mut self, now: Time) {
        let mut actions = Vec::new();
        while let Some(event) = self.pending_events.pop_front() {
            self.policy.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(now, action);
            }
        }
        let limit = self.site.settings.safety_limits.load_rate_limit;
        self.load_rate_limiter.forget_old_requests(now, limit);
    }
}
