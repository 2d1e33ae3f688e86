//! Invariants that are checked at run time. A violation is counted and logged with its ids, without further
//! effect.
//!
//! A violation means that an earlier check has admitted what it must deny. The earlier checks are
//! [`request_admission`](super::request_admission) for accepted requests and
//! [`write_admission`](super::write_admission) for written and repeated attempts. For closed connections, the
//! reactor has a client connection answer its open requests before it closes the connection.

use super::{AttemptId, RequestOrigin, Scheduler};
use crate::model::{RequestId, Span, Time};
use thiserror::Error;
use tracing::error;

/// Time after a request's deadline from which its final response counts as lost: half a second (page
/// STANDING), plus the 50 ms by which every time limit is longer on sockets (page PROTOCOL).
const RESPONSE_SLACK: Span = Span::from_millis(550);
/// Maximum time by which the time limit given to a worker may exceed the client's remaining time
/// (operators' terms of 2026-12-02).
const TIME_LIMIT_SLACK: Span = Span::from_millis(150);

/// A violated invariant, with the id of the request, attempt or origin concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Violation {
    /// This process closed a client connection that had an open request.
    #[error("closed with a request open")]
    ClosedWithOpenRequest(RequestOrigin),
    /// A final response was sent too late.
    #[error("final response too late")]
    LateResponse(RequestId),
    /// The last byte of an attempt was written after the attempt had ended, possibly because its client had
    /// left.
    #[error("written after its end")]
    WrittenAfterEnd(AttemptId),
    /// The last byte of a repeated attempt was written when the request must not run again.
    #[error("repeat not permitted")]
    RepeatNotPermitted(AttemptId),
    /// A worker was given a time limit that exceeds the client's remaining time.
    #[error("time limit too long")]
    TimeLimitTooLong(AttemptId),
}

impl Violation {
    /// Logs the violation with its kind and ids.
    fn log(self) {
        let kind = self.to_string();
        match self {
            Violation::ClosedWithOpenRequest(origin) => {
                let RequestOrigin { connection, stream } = origin;
                error!(kind, connection = connection.0, stream = stream.0, "violation");
            }
            Violation::LateResponse(request) => {
                error!(kind, request = request.0, "violation");
            }
            Violation::WrittenAfterEnd(attempt)
            | Violation::RepeatNotPermitted(attempt)
            | Violation::TimeLimitTooLong(attempt) => {
                let AttemptId { request, number } = attempt;
                error!(kind, request = request.0, attempt = number, "violation");
            }
        }
    }
}

impl Scheduler {
    /// Counts and logs a violation.
    pub fn record_violation(&mut self, now: Time, violation: Violation) {
        self.counters.violations += 1;
        if self.admits_log_line(now) {
            violation.log();
        }
    }

    /// Checks the time of a final response when it is sent.
    pub(super) fn check_response_time(&mut self, now: Time, id: RequestId, deadline: Time) {
        if now > deadline + RESPONSE_SLACK {
            self.record_violation(now, Violation::LateResponse(id));
        }
    }

    /// Checks an attempt when its last byte has been handed to the operating system.
    pub(super) fn check_written(&mut self, now: Time, id: AttemptId) {
        if let Some(violation) = self.find_write_violation(now, id) {
            self.record_violation(now, violation);
        }
    }

    /// Returns the invariant, if any, that an attempt violates when its last byte has been written.
    fn find_write_violation(&self, now: Time, id: AttemptId) -> Option<Violation> {
        let Some(attempt) = self.attempts.get(id) else {
            return Some(Violation::WrittenAfterEnd(id));
        };
        let began_at = attempt.write_began_at.unwrap_or(now);
        if now - began_at > TIME_LIMIT_SLACK {
            return Some(Violation::TimeLimitTooLong(id));
        }
        let request = self.requests.get(id.request)?;
        let first_written_at = request.first_written_at()?;
        let is_permitted = request.idempotency.permits_repeat_at(now, first_written_at);
        (!is_permitted).then_some(Violation::RepeatNotPermitted(id))
    }
}
