//! Acceptance, denial and cancellation of requests.

use super::request_admission::{RequestDenied, check_request};
use super::request_table::OpenRequest;
use super::timers::Timer;
use super::{ClientRequest, RequestOrigin, RequestParameters, RequestPayload, Scheduler};
use crate::model::{ClassId, ConnectionId, Event, IncomingRequest, RequestId, TenantId, Time};
use tracing::debug;

impl Scheduler {
    /// Submits a complete request. Unless the client cancels it, exactly one final response follows.
    pub fn submit(&mut self, now: Time, request: ClientRequest) {
        self.counters.requests_received += 1;
        self.load_rate_limiter.record_request(now);
        let request = self.clamp_to_shutdown_deadline(request);
        match self.check_admission(now, &request) {
            Ok(class) => self.accept(now, request, class),
            Err(denied) => {
                debug!(
                    correlation_id = request.correlation_id,
                    cause = denied.to_string(),
                    "request denied"
                );
                self.respond(request.origin, denied.response(self.default_retry_after()));
            }
        }
    }

    /// Cancels a request whose client no longer waits for it. No final response follows.
    pub fn cancel(&mut self, now: Time, origin: RequestOrigin) {
        let Some(id) = self.requests.id_at(origin) else {
            return;
        };
        self.counters.requests_cancelled += 1;
        debug!(request = id.0, "request cancelled");
        self.remove_request(id);
        self.handle_event(now, Event::ClientDisconnected(id));
    }

    /// Forgets a client connection that has closed, after its requests have ended.
    pub fn client_closed(&mut self, connection: ConnectionId) {
        self.requests.forget_connection(connection);
    }

    /// Limits the deadlines of all requests to `ends_at`, those that are open and those that are submitted
    /// later, because the process exits then.
    pub fn begin_shutdown(&mut self, now: Time, ends_at: Time) {
        self.limit_new_requests(ends_at);
        for limited in self.requests.limit_deadlines(ends_at) {
            let timer = Timer::Request(limited.id);
            self.timers
                .reschedule(timer, Some(limited.former_overdue_at), Some(limited.overdue_at));
        }
        self.handle_event(now, Event::DeadlinesLimited(ends_at - now));
    }

    /// Limits the deadlines of requests submitted from now on to `ends_at`. Requests submitted from `ends_at`
    /// on are rejected.
    pub fn limit_new_requests(&mut self, ends_at: Time) {
        self.shutdown_deadline = Some(ends_at);
    }

    /// Limits the request's deadline to the shutdown deadline, if there is one.
    fn clamp_to_shutdown_deadline(&self, mut request: ClientRequest) -> ClientRequest {
        if let Some(shutdown_deadline) = self.shutdown_deadline {
            request.parameters.deadline = request.parameters.deadline.min(shutdown_deadline);
        }
        request
    }

    /// Returns the class of a request that may be accepted, or why it is denied.
    fn check_admission(&self, now: Time, request: &ClientRequest) -> Result<ClassId, RequestDenied> {
        if self.shutdown_deadline.is_some_and(|deadline| deadline <= now) {
            return Err(RequestDenied::ShuttingDown);
        }
        check_request(now, request, &self.site, &self.requests)
    }

    /// Adds an admitted request to the table and notifies the policy of it.
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
        let id = self.insert_request(now, OpenRequest::new(origin, payload, idempotency, deadline));
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

    /// Adds a request to the table and sets the timer that fails it if the policy does not end it.
    fn insert_request(&mut self, now: Time, request: OpenRequest) -> RequestId {
        let OpenRequest { origin, deadline, .. } = request;
        let overdue_at = request.overdue_at();
        let id = self.requests.insert(request);
        debug!(
            request = id.0,
            connection = origin.connection.0,
            stream = origin.stream.0,
            remaining_ms = (deadline - now).as_millis_rounded_up(),
            "request accepted"
        );
        self.timers.schedule(overdue_at, Timer::Request(id));
        id
    }
}
