//! A1: a request gets at most one final response.

use super::history::RequestHistory;
use super::{Context, Invariant, Violation};

pub(super) fn check(request: &RequestHistory, _context: &Context) -> Option<Violation> {
    let duplicate = request.responses.get(1)?;
    let details = format!("{:?}", request.responses);
    Some(Violation::of_request(
        Invariant::SingleResponse,
        request.id,
        duplicate.at,
        details,
    ))
}
