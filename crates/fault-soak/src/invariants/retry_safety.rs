//! B1: a request that may have been executed is neither retried nor rejected, unless its class permits it.

use super::history::RequestHistory;
use super::{Context, Invariant, SOCKET_TOLERANCE, Violation};
use crate::environment::settings::DEDUPLICATION_WINDOW;
use crate::request::{RequestClass, ResponseStatus};

/// Checks that a request of the class `NonIdempotent` that was rejected had not been executed.
pub(super) fn check_rejection(request: &RequestHistory, _context: &Context) -> Option<Violation> {
    let response = request.responses.first()?;
    let was_executed_before = request
        .attempts
        .iter()
        .any(|attempt| attempt.is_executed && attempt.at < response.at);
    let is_violated = response.status == ResponseStatus::Rejected
        && request.class() == Some(RequestClass::NonIdempotent)
        && was_executed_before;
    is_violated.then(|| {
        let details = "rejected although it was executed".to_owned();
        Violation::of_request(Invariant::RetrySafety, request.id, response.at, details)
    })
}

/// Checks that no attempt that the request's class forbids follows the execution of the request.
///
/// The class of a request that was not sent completely is unknown. Any retry of such a request is permitted.
pub(super) fn check_retries(request: &RequestHistory, _context: &Context) -> Option<Violation> {
    let class = request.class()?;
    let executed = request.attempts.iter().position(|attempt| attempt.is_executed)?;
    let retry = request.attempts.get(executed + 1)?;
    let time_since_execution = retry.at.saturating_sub(request.attempts[executed].at);
    let is_permitted = match class {
        RequestClass::Idempotent => true,
        RequestClass::IdempotencyKey => {
            !retry.is_undelayed || time_since_execution <= DEDUPLICATION_WINDOW + SOCKET_TOLERANCE
        }
        RequestClass::NonIdempotent => false,
    };
    (!is_permitted).then(|| {
        let details = format!("{class:?}: {:?}", request.attempts);
        Violation::of_request(Invariant::RetrySafety, request.id, retry.at, details)
    })
}
