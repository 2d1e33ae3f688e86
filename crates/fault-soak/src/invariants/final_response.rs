//! A1: every request gets a final response.

use super::history::{RequestHistory, SentRequest};
use super::{Context, Invariant, Violation, response_deadline};
use std::time::Duration;

/// A request that is sent less than this before the end of its connection may not have been received (page
/// PROTOCOL).
const CLOSE_RACE_WINDOW: Duration = Duration::from_millis(50);

/// No response is due to a request that its client has abandoned, whose scheduler was killed before the
/// deadline, that crossed the end of its connection, or whose deadline is after the end of the run.
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
