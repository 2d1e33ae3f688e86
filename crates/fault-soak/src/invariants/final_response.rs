//! A1: every request gets a final response.

use super::history::{RequestHistory, SentRequest};
use super::{Context, Invariant, Violation, response_deadline};
use std::time::Duration;

/// How long before the close of a connection a request may be sent without the scheduler receiving it (page
/// PROTOCOL).
const CLOSE_RACE_WINDOW: Duration = Duration::from_millis(50);

/// Checks that a request has a response if a response is due.
///
/// No response is due if the client abandoned the request, if the scheduler was killed before the response
/// was due, if the request was sent within [`CLOSE_RACE_WINDOW`] before the close of its connection, or if
/// the response would be due after the end of the run.
pub(super) fn check(request: &RequestHistory, context: &Context) -> Option<Violation> {
    let sent = request.sent?;
    if !request.responses.is_empty() || request.cancelled_at.is_some() {
        return None;
    }
    let due_at = response_deadline::due_at(&sent, context);
    let closed_at = context.history.closed_connections.get(&sent.connection).copied();
    if was_killed_before(due_at, &sent, context)
        || closed_at.is_some_and(|at| at.saturating_sub(sent.at) < CLOSE_RACE_WINDOW)
        || due_at > context.ended_at
    {
        return None;
    }
    let details = format!("{sent:?}, connection closed at {closed_at:?}");
    Some(Violation::of_request(
        Invariant::FinalResponse,
        request.id,
        closed_at.unwrap_or(due_at),
        details,
    ))
}

fn was_killed_before(due_at: Duration, sent: &SentRequest, context: &Context) -> bool {
    let killed_at = context.history.killed.get(&sent.incarnation);
    killed_at.is_some_and(|at| *at < due_at)
}
