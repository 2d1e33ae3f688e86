//! The service recovers after the last fault.

use super::{Invariant, Violation};
use crate::recorder::{Event, Record};
use crate::request::ResponseStatus;
use std::collections::HashSet;
use std::time::Duration;

/// The length of the evaluated period, which ends when the clients stop.
const RECOVERY_WINDOW: Duration = Duration::from_millis(2_000);
/// The minimum fraction of the requests sent in that period that must be served, from 0 to 1.
const MIN_SERVED_FRACTION: f64 = 0.5;
/// The minimum number of requests that must be sent in that period. With fewer requests, the fraction is not
/// meaningful.
const MIN_REQUESTS: usize = 20;

/// Checks that enough of the last requests before `clients_stopped_at` were served.
pub(crate) fn check(records: &[Record], clients_stopped_at: Duration) -> Option<Violation> {
    let window_start = clients_stopped_at.saturating_sub(RECOVERY_WINDOW);
    let mut sent = HashSet::new();
    let mut served = 0usize;
    for record in records {
        match &record.event {
            Event::RequestSent { request, .. } if record.at >= window_start => {
                sent.insert(*request);
            }
            Event::ResponseReceived {
                request,
                status: ResponseStatus::Served,
                ..
            } if sent.contains(request) => served += 1,
            _ => {}
        }
    }
    let served_fraction = served as f64 / sent.len().max(1) as f64;
    let has_recovered = served_fraction >= MIN_SERVED_FRACTION && sent.len() >= MIN_REQUESTS;
    (!has_recovered).then(|| {
        let details = format!("{served_fraction:.2} of {} requests served", sent.len());
        Violation::new(Invariant::Recovery, clients_stopped_at, details)
    })
}
