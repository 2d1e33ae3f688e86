//! The replacement of a worker's process by another process at the same address.

use crate::environment::{Environment, ListedWorker, WorkerState};
use crate::recorder::Event;
use std::ops::RangeInclusive;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::sleep;

/// The range of the time for which a worker drains before its process exits while there is no outage, in
/// milliseconds.
const DRAIN_TIMES_MS: RangeInclusive<u64> = 1_500..=6_000;
/// The time between the exit of the old process and the start of the new one, in which connections to the
/// address are closed at once.
const DOWNTIME: Duration = Duration::from_millis(300);

/// Returns a random time for which a worker drains if it is replaced while there is no outage.
pub(super) fn random_drain_time() -> Duration {
    Duration::from_millis(fastrand::u64(DRAIN_TIMES_MS))
}

/// Drains a worker, removes it, and starts another process at its address.
///
/// Does nothing if the worker is already being replaced.
pub(super) async fn replace(environment: &Environment, listed: &ListedWorker, drain_time: Duration) {
    let Ok(_replacement) = listed.replacement.try_lock() else {
        return;
    };
    let (discovery, recorder) = (&environment.discovery, &environment.recorder);
    let worker = listed.stand_in.index;
    let switches = &listed.stand_in.switches;

    let id = listed.id.load(Ordering::Relaxed);
    recorder.record(Event::WorkerDraining { worker });
    discovery.publish(id, listed.address, WorkerState::Draining);
    switches.process_is_draining.store(true, Ordering::Relaxed);
    sleep(drain_time).await;

    discovery.publish(id, listed.address, WorkerState::Deleted);
    switches.process_is_down.store(true, Ordering::Relaxed);
    sleep(DOWNTIME).await;

    let id = environment.next_worker_id();
    listed.id.store(id, Ordering::Relaxed);
    switches.process_is_draining.store(false, Ordering::Relaxed);
    switches.process_is_down.store(false, Ordering::Relaxed);
    recorder.record(Event::WorkerReady { worker });
    discovery.publish_started(id, listed.address);
}
