//! B3: the time limit that a worker is given does not exceed the client's remaining time.

use super::history::RequestHistory;
use super::{Context, Invariant, Violation};
use std::time::Duration;

/// The time by which a worker's time limit may exceed the client's remaining time (operators' terms of
/// 2026-12-02).
const TIME_LIMIT_TOLERANCE: Duration = Duration::from_millis(150);

pub(super) fn check(request: &RequestHistory, context: &Context) -> Option<Violation> {
    let sent = request.sent?;
    let too_long = request.attempts.iter().find(|attempt| {
        let time_left = sent.deadline().saturating_sub(attempt.at);
        let tolerance = TIME_LIMIT_TOLERANCE + context.timer_lag.max_near(attempt.at);
        attempt.is_undelayed && attempt.time_limit > time_left + tolerance
    })?;
    let details = format!("{too_long:?}, sent at {:?}, timeout {:?}", sent.at, sent.timeout);
    Some(Violation::of_request(
        Invariant::TimeLimit,
        request.id,
        too_long.at,
        details,
    ))
}
