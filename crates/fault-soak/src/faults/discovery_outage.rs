//! Outages of the discovery service that outlast the time after which a change counts as notified all the
//! same.

use super::schedule::PlannedFault;
use super::{activate, worker_replacement};
use crate::environment::{Environment, ListedWorker};
use std::ops::RangeInclusive;
use std::time::Duration;
use tokio::time::sleep;

/// When the first worker begins to drain: soon after the beginning of the outage, in milliseconds.
const EARLY_DRAIN_DELAYS_MS: RangeInclusive<u64> = 20..=800;
/// When the second one does: about when the first drain counts as notified, or later, in milliseconds.
const LATE_DRAIN_DELAYS_MS: RangeInclusive<u64> = 3_500..=5_500;
/// How long the workers go on draining after the end of the outage.
const DRAIN_AFTER_OUTAGE: Duration = Duration::from_millis(500);

/// Makes discovery unreachable, closed or silent, and drains two workers meanwhile, which stay up until it is
/// back.
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

/// Drains a worker from a time in the outage on to its end.
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
