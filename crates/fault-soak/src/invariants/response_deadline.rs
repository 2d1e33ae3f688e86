//! A1: a final response comes in time.

use super::history::{RequestHistory, SentRequest};
use super::{Context, Invariant, SOCKET_TOLERANCE, Violation};
use std::time::Duration;

/// How long after the deadline of its request a response may arrive before it counts as lost (page STANDING).
const LATENESS_TOLERANCE: Duration = Duration::from_millis(500);

pub(super) fn check(request: &RequestHistory, context: &Context) -> Option<Violation> {
    let sent = request.sent?;
    let response = request.responses.first()?;
    if response.at <= due_at(&sent, context) || request.cancelled_at.is_some() {
        return None;
    }
    let details = format!("sent at {:?}, timeout {:?}", sent.at, sent.timeout);
    Some(Violation::of_request(
        Invariant::ResponseDeadline,
        request.id,
        response.at,
        details,
    ))
}

/// Returns the latest permitted time of the final response, as seen by the client.
pub(super) fn due_at(sent: &SentRequest, context: &Context) -> Duration {
    let due_at = sent.deadline() + LATENESS_TOLERANCE + SOCKET_TOLERANCE;
    due_at + context.timer_lag.max_near(due_at)
}
