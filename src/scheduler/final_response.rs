//! Final responses: the end of a request, and the guarantee that it has exactly one response.
//!
//! A final response is given only by whoever removes the request from the table, so none is given twice. A request
//! that the policy never ends is failed by its timer, so none is missing.

use super::request_table::OpenRequest;
use super::timers::Timer;
use super::{Command, Outcome, RequestOrigin, Response, Scheduler};
use crate::model::{Event, RequestId, Time};
use tracing::debug;

impl Scheduler {
    /// How many requests are owed a final response.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Counts a request that its frontend has answered by itself because it could not be submitted.
    pub fn count_frontend_response(&mut self, outcome: &Outcome) {
        self.counters.count_frontend_response(outcome);
    }

    /// Ends a request with a worker's response body.
    pub(super) fn serve(&mut self, now: Time, id: RequestId, body: Vec<u8>) {
        let Some(request) = self.remove_request(id) else {
            return;
        };
        self.check_response_time(now, id, request.deadline);
        let response = Response {
            outcome: Outcome::Served(body),
            expired: false,
        };
        self.respond(request.origin, response);
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

    /// Removes a request with its timer. The caller gives the final response, if one is still owed.
    pub(super) fn remove_request(&mut self, id: RequestId) -> Option<OpenRequest> {
        let request = self.requests.remove(id)?;
        self.timers.cancel(request.overdue_at(), Timer::Request(id));
        Some(request)
    }

    /// Gives a client the final response to its request.
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
