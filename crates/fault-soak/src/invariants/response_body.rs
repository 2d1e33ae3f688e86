//! A5: a served response carries the body of a worker that executed the request.

use super::history::RequestHistory;
use super::{Context, Invariant, Violation};
use crate::request::ResponseStatus;

pub(super) fn check(request: &RequestHistory, _context: &Context) -> Option<Violation> {
    let response = request.responses.first()?;
    let was_executed = request.attempts.iter().any(|attempt| attempt.is_executed);
    let body_matches = response.body_matches;
    if response.status != ResponseStatus::Served || body_matches && was_executed {
        return None;
    }
    let details = format!("body matches: {body_matches}, executed: {was_executed}");
    Some(Violation::of_request(
        Invariant::ResponseBody,
        request.id,
        response.at,
        details,
    ))
}
