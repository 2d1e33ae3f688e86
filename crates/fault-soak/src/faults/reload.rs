//! Reload faults: the discovery service moves to its other address, and the schedulers are sent SIGHUP.

use super::schedule::PlannedFault;
use crate::environment::{Environment, Scheduler};
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// The range of the length of a truncated configuration file, in bytes.
const TRUNCATED_BYTES: Range<usize> = 500..1_500;
/// The longest time for which a configuration file stays truncated.
const MAX_TRUNCATED_TIME: Duration = Duration::from_millis(400);

/// Moves the discovery service and makes every scheduler reload, the scheduler `target` first.
pub(super) fn reload(environment: &Environment, target: &Arc<Scheduler>) {
    environment.discovery.switch_address();
    let others = environment
        .schedulers
        .iter()
        .filter(|other| !Arc::ptr_eq(other, target));
    for scheduler in std::iter::once(target).chain(others) {
        let _ = environment.write_config(scheduler);
        scheduler.request_reload();
    }
}

/// Moves the discovery service and makes every scheduler reload, the scheduler `target` while its
/// configuration file is truncated.
///
/// The file is completed without another SIGHUP, so that the scheduler has to detect the change by itself.
pub(super) async fn reload_truncated(
    environment: &Environment,
    target: &Arc<Scheduler>,
    fault: &PlannedFault,
) {
    environment.discovery.switch_address();
    let length = TRUNCATED_BYTES.start + fault.variant as usize % TRUNCATED_BYTES.len();
    let _ = environment.write_truncated_config(target, length);
    target.request_reload();
    sleep(fault.duration.min(MAX_TRUNCATED_TIME)).await;
    for scheduler in &environment.schedulers {
        let _ = environment.write_config(scheduler);
        if !Arc::ptr_eq(scheduler, target) {
            scheduler.request_reload();
        }
    }
}
