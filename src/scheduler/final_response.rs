//! Final responses, and the guarantee that each request gets exactly one.
//!
//! Only the code that removes a request from the table sends its final response, so none is sent twice. A
//! timer fails each request that the policy does not end, so none is missing.

use super::request_table::OpenRequest;
use super::timers::Timer;
use super::{Command, Outcome, RequestOrigin, Response, Scheduler};
use crate::model::{Event, RequestId, Time};
use tracing::debug;

impl Scheduler {
    /// Returns the number of requests that still await their final response.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Counts a request that its frontend answered without submitting it.
    pub fn count_frontend_response(&mut self, outcome: &Outcome) {
        self.counters.count_frontend_response(outcome);
    }

    /// Ends a request successfully with a worker's response body.
    pub(super) fn serve(&mut self, now: Time, id: RequestId, body: Vec<u8>) {
        let Some(request) = self.remove_request(id) else {
            return;
        };
        self.check_response_time(now, id, request.deadline);
        self.requests.record_served(request.origin.connection);
        let response = Response {
            outcome: Outcome::Served(body),
            expired: false,
        };
        self.respond(request.origin, response);
    }

    /// Ends a request with an outcome other than a worker's response.
    pub(super) fn finish_request(&mut self, now: Time, id: RequestId, outcome: Outcome) {
        let Some(request) = self.remove_request(id) else {
            return;
        };
        self.check_response_time(now, id, request.deadline);
        let expired = now + self.site.settings.tick >= request.deadline;
        self.respond(request.origin, Response { outcome, expired });
    }

    /// Fails a request that the policy has not ended in time. Pending events are handled first, since the
    /// policy may still end the request on one of them.
    pub(super) fn fail_overdue_request(&mut self, now: Time, id: RequestId) {
        self.run_policy(now);
        if !self.requests.contains(id) {
            return;
        }
        self.counters.requests_overdue += 1;
        self.finish_request(now, id, Outcome::Failed);
        self.pending_events.push_back(Event::ClientDisconnected(id));
    }

    /// Removes a request and its timer. The caller sends the final response unless the client has cancelled.
    pub(super) fn remove_request(&mut self, id: RequestId) -> Option<OpenRequest> {
        let request = self.requests.remove(id)?;
        self.timers.cancel(request.overdue_at(), Timer::Request(id));
        Some(request)
    }

    /// Sends the final response to a client.
    pub(super) fn respond(&mut self, origin: RequestOrigin, response: Response) {
        self.counters.count_response(&response.outcome);
        debug!(
            connection = origin.connection.0,
            stream = origin.stream.0,
            outcome = %response.outcome.name(),
            expired = response.expired,
            "request answered"
        );
        self.commands.push_back(Command::Respond { origin, response });
    }
}
