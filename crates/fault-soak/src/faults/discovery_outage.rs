//! Outages of the discovery service that outlast the maximum notification delay.
//!
//! After that delay a scheduler counts as notified of a change, even if it has not received the change.

use super::schedule::PlannedFault;
use super::{activate, worker_replacement};
use crate::environment::{Environment, ListedWorker};
use std::ops::RangeInclusive;
use std::time::Duration;
use tokio::time::sleep;

/// The range of the time between the start of the outage and the first drain, in milliseconds. The first
/// drain starts early in the outage.
const EARLY_DRAIN_DELAYS_MS: RangeInclusive<u64> = 20..=800;
/// The range of the time between the start of the outage and the second drain, in milliseconds. The second
/// drain starts about when the schedulers count as notified of the first one, or later.
const LATE_DRAIN_DELAYS_MS: RangeInclusive<u64> = 3_500..=5_500;
/// How long a worker goes on draining after the end of the outage.
const DRAIN_AFTER_OUTAGE: Duration = Duration::from_millis(500);

/// Makes the discovery service unreachable and begins to drain two workers during the outage.
///
/// The service either closes its connections or leaves them open without sending anything. The workers'
/// processes run until the outage has ended.
pub(super) async fn disconnect_and_drain(environment: &Environment, fault: &PlannedFault) {
    let switches = &environment.discovery.switches;
    let switch = if fault.variant.is_multiple_of(2) {
        &switches.down
    } else {
        &switches.black_hole
    };
    tokio::join!(
        activate(environment, switch, fault),
        drain(
            environment,
            environment.worker(fault.target),
            fault,
            EARLY_DRAIN_DELAYS_MS
        ),
        drain(
            environment,
            environment.worker(fault.target + 1),
            fault,
            LATE_DRAIN_DELAYS_MS
        ),
    );
}

/// Drains a worker from a random time during the outage until shortly after its end.
async fn drain(
    environment: &Environment,
    worker: &ListedWorker,
    fault: &PlannedFault,
    delays_ms: RangeInclusive<u64>,
) {
    let delay = Duration::from_millis(fastrand::u64(delays_ms));
    sleep(delay).await;
    let drain_time = fault.duration.saturating_sub(delay) + DRAIN_AFTER_OUTAGE;
    worker_replacement::replace(environment, worker, drain_time).await;
}
