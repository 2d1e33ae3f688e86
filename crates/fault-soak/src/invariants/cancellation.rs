//! B2: no attempt starts after the client has abandoned the request.

use super::history::RequestHistory;
use super::{Context, Invariant, SOCKET_TOLERANCE, Violation};
use std::time::Duration;

/// How long after the client has abandoned a request an attempt may still start (operators' terms of
/// 2026-12-02).
const CANCELLATION_TOLERANCE: Duration = Duration::from_millis(100);

pub(super) fn check(request: &RequestHistory, context: &Context) -> Option<Violation> {
    let cancelled_at = request.cancelled_at?;
    let late_attempt = request.attempts.iter().find(|attempt| {
        let tolerance = CANCELLATION_TOLERANCE + SOCKET_TOLERANCE + context.timer_lag.max_near(attempt.at);
        attempt.is_undelayed && attempt.at > cancelled_at + tolerance
    })?;
    let details = format!("cancelled at {cancelled_at:?}");
    Some(Violation::of_request(
        Invariant::Cancellation,
        request.id,
        late_attempt.at,
        details,
    ))
}
