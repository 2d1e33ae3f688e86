//! Statistics of the requests that are sent while the endpoint list is stale because of a discovery outage.
//!
//! The statistics are part of the output; no invariant depends on them.

use super::history::RunHistory;
use crate::recorder::Record;
use crate::request::ResponseStatus;
use std::time::Duration;

/// How long after the start of an outage the endpoint list becomes stale, so that the list alone no longer
/// permits new work: 4 s and the grace period (page PROTOCOL).
const LIST_STALE_AFTER: Duration = Duration::from_millis(4_500);

/// The number of requests that were sent while the endpoint list was stale, and how many of them were served.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OutageRequestCounts {
    pub(crate) sent: usize,
    pub(crate) served: usize,
}

/// Counts the requests of a run that were sent while the endpoint list was stale, and how many of them were
/// served.
pub(crate) fn count(records: &[Record]) -> OutageRequestCounts {
    let history = RunHistory::from_records(records);
    let mut counts = OutageRequestCounts::default();
    for request in history.requests() {
        let Some(sent) = request.sent else { continue };
        let mut outages = history.outages.iter();
        if !outages.any(|outage| {
            outage.includes(sent.at.saturating_sub(LIST_STALE_AFTER), Duration::ZERO)
                && outage.includes(sent.at, Duration::ZERO)
        }) {
            continue;
        }
        counts.sent += 1;
        let is_served = |status| status == ResponseStatus::Served;
        counts.served += usize::from(
            request
                .responses
                .iter()
                .any(|response| is_served(response.status)),
        );
    }
    counts
}
