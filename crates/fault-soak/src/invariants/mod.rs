//! The test oracle, which decides from the records of a run which invariants the schedulers have violated.
//!
//! The oracle defines the invariants and their tolerances, with one module for each invariant. It depends
//! only on the guarantees in the pages and on what was observed from outside, not on the schedulers' code,
//! and it keeps no state between runs.
//!
//! [`check`] groups the records by what they concern ([`history`]) and then checks each request, each worker
//! and each process. [`check_recovery`] is separate because it needs a run whose clients go on after the last
//! fault.

mod attempt_limit;
mod cancellation;
mod draining;
mod final_response;
mod history;
mod outage_requests;
mod process_exit;
mod process_health;
mod recovery;
mod response_body;
mod response_deadline;
mod retry_safety;
mod single_response;
#[cfg(test)]
mod tests;
mod time_limit;
mod violation;

pub(crate) use outage_requests::{OutageRequestCounts, count as count_outage_requests};
pub(crate) use recovery::check as check_recovery;
pub(crate) use violation::{Invariant, Violation};

use crate::recorder::Record;
use crate::timer_lag::TimerLag;
use history::{RequestHistory, RunHistory};
use std::time::Duration;

/// The tolerance for the delay of observations on sockets, which is added to time bounds (page PROTOCOL).
const SOCKET_TOLERANCE: Duration = Duration::from_millis(50);

/// The data of a run that the checks of its requests use.
struct Context<'a> {
    history: &'a RunHistory,
    timer_lag: &'a TimerLag,
    /// When the run ended.
    ended_at: Duration,
}

/// A function that checks one invariant of one request.
type RequestCheck = fn(&RequestHistory, &Context) -> Option<Violation>;

/// The checks of a request, in groups. Only the first violation of each group counts, because the later
/// checks of a group assume that the earlier invariants hold.
const REQUEST_CHECKS: [&[RequestCheck]; 4] = [
    &[
        single_response::check,
        final_response::check,
        response_deadline::check,
        response_body::check,
        retry_safety::check_rejection,
    ],
    &[attempt_limit::check, retry_safety::check_retries],
    &[cancellation::check],
    &[time_limit::check],
];

/// Returns the violations of a run that ended at `ended_at`, in chronological order.
pub(crate) fn check(records: &[Record], ended_at: Duration, timer_lag: &TimerLag) -> Vec<Violation> {
    let history = RunHistory::from_records(records);
    let context = Context {
        history: &history,
        timer_lag,
        ended_at,
    };
    let mut violations = process_exit::check(records);
    violations.extend(process_health::check(records));
    for request in history.requests() {
        let request_violations = REQUEST_CHECKS
            .iter()
            .filter_map(|group| group.iter().find_map(|check| check(request, &context)));
        violations.extend(request_violations);
    }
    violations.extend(draining::check(&history, timer_lag));
    violations.sort_by_key(|violation| violation.at);
    violations
}
