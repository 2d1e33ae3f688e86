//! The intake of requests: a request is denied or accepted when it comes, and may be cancelled by its client.

use super::request_admission::{RequestDenied, check_request};
use super::request_table::OpenRequest;
use super::timers::Timer;
use super::{ClientRequest, RequestOrigin, RequestParameters, RequestPayload, Scheduler};
use crate::model::{ClassId, Event, IncomingRequest, RequestId, TenantId, Time};
use tracing::debug;

impl Scheduler {
    /// Takes in a complete request. From here on exactly one final response is owed to its client.
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

    /// The client no longer waits for this request: no final response is owed to it any more.
    pub fn cancel(&mut self, now: Time, origin: RequestOrigin) {
        let Some(id) = self.requests.id_at(origin) else {
            return;
        };
        self.counters.requests_cancelled += 1;
        debug!(request = id.0, "request cancelled");
        self.remove_request(id);
        self.handle_event(now, Event::ClientDisconnected(id));
    }

    /// Has every request that is still to come end by this time, and those that come later rejected.
    pub fn set_shutdown_deadline(&mut self, ends_at: Time) {
        self.shutdown_deadline = Some(ends_at);
    }

    /// A request with its deadline moved to the end of the process, if that comes before it.
    fn clamp_to_shutdown_deadline(&self, mut request: ClientRequest) -> ClientRequest {
        if let Some(shutdown_deadline) = self.shutdown_deadline {
            request.parameters.deadline = request.parameters.deadline.min(shutdown_deadline);
        }
        request
    }

    /// The class of a request that may be accepted.
    fn check_admission(&self, now: Time, request: &ClientRequest) -> Result<ClassId, RequestDenied> {
        if self.shutdown_deadline.is_some_and(|deadline| deadline <= now) {
            return Err(RequestDenied::ShuttingDown);
        }
        check_request(now, request, &self.site, &self.requests)
    }

    /// Enters an admitted request into the table, and notifies the policy of it.
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

    /// Enters a request into the table, with the timer that fails it if the policy does not end it.
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
