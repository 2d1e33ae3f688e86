//! B4: a request has a limited number of attempts.

use super::history::RequestHistory;
use super::{Context, Invariant, Violation};
use crate::environment::settings::MAX_ATTEMPTS;

pub(super) fn check(request: &RequestHistory, _context: &Context) -> Option<Violation> {
    let first_excess = request.attempts.get(MAX_ATTEMPTS)?;
    let details = format!("{} attempts", request.attempts.len());
    Some(Violation::of_request(
        Invariant::AttemptLimit,
        request.id,
        first_excess.at,
        details,
    ))
}
