//! Invariants that are checked while the scheduler runs. A violation is counted and logged with its ids, and changes
//! nothing else: it occurs only where a guard has failed.
//!
//! The guards are [`request_admission`](super::request_admission) for what is started, and
//! [`write_admission`](super::write_admission) for what is sent and repeated. What is closed is guarded by the reactor,
//! which asks a client's connection to answer its open requests before it closes it.

use super::{AttemptId, RequestOrigin, Scheduler};
use crate::model::{RequestId, Span, Time};
use thiserror::Error;
use tracing::error;

/// A final response that is later than this after its request's deadline is lost: half a second (page STANDING), and the
/// 50 ms by which every time limit is longer on sockets (page PROTOCOL).
const RESPONSE_SLACK: Span = Span::from_millis(550);
/// The time limit that a command gives to its worker may exceed what the client has left by so much (terms of
/// 2026-12-02).
const TIME_LIMIT_SLACK: Span = Span::from_millis(150);

/// An invariant that does not hold, and for what.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Violation {
    /// A connection was closed by this process with a request open on it.
    #[error("closed with a request open")]
    ClosedWithOpenRequest(RequestOrigin),
    /// A final response was given too late.
    #[error("final response too late")]
    LateResponse(RequestId),
    /// The last byte of an attempt was written after the attempt had ended: its client may have left.
    #[error("written after its end")]
    WrittenAfterEnd(AttemptId),
    /// The last byte of a repeat was written at a time when the request must not run again.
    #[error("repeat not permitted")]
    RepeatNotPermitted(AttemptId),
    /// A command gave its worker a time limit that the client no longer has.
    #[error("time limit too long")]
    TimeLimitTooLong(AttemptId),
}

impl Violation {
    /// Logs the violation under its kind, with the ids of what it concerns.
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
    /// Counts and logs a violation, with the ids of what it concerns.
    pub fn record_violation(&mut self, now: Time, violation: Violation) {
        self.counters.violations += 1;
        if self.admits_log_line(now) {
            violation.log();
        }
    }

    /// Checks a final response at the moment at which it is given.
    pub(super) fn check_response_time(&mut self, now: Time, id: RequestId, deadline: Time) {
        if now > deadline + RESPONSE_SLACK {
            self.record_violation(now, Violation::LateResponse(id));
        }
    }

    /// Checks an attempt at the moment at which its last byte has been handed to the operating system.
    pub(super) fn check_written(&mut self, now: Time, id: AttemptId) {
        if let Some(violation) = self.find_write_violation(now, id) {
            self.record_violation(now, violation);
        }
    }

    /// What is wrong with an attempt whose last byte has been written, if anything is.
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
