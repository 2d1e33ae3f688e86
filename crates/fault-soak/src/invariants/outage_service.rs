//! Service while the discovery service is out of reach: no invariant, but worth a look in the report.

use super::history::RunHistory;
use crate::recorder::Record;
use crate::request::ResponseStatus;
use std::time::Duration;

/// From this time in an outage on, the endpoint list alone does not admit new work: 4 s and the grace period
/// (page PROTOCOL).
const LIST_STALE_AFTER: Duration = Duration::from_millis(4_500);

/// Requests sent late in outages.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OutageService {
    pub(crate) sent: usize,
    pub(crate) served: usize,
}

/// Counts the requests of a run that were sent while the endpoint list was too old to go by.
pub(crate) fn count(records: &[Record]) -> OutageService {
    let history = RunHistory::from_records(records);
    let mut service = OutageService::default();
    for request in history.requests() {
        let Some(sent) = request.sent else { continue };
        let mut outages = history.outages.iter();
        if !outages.any(|outage| {
            outage.includes(sent.at.saturating_sub(LIST_STALE_AFTER), Duration::ZERO)
                && outage.includes(sent.at, Duration::ZERO)
        }) {
            continue;
        }
        service.sent += 1;
        let is_served = |status| status == ResponseStatus::Served;
        service.served += usize::from(
            request
                .responses
                .iter()
                .any(|response| is_served(response.status)),
        );
    }
    service
}
