//! Switches that turn faults of the stand-ins on and off.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::sleep;

/// How often a waiting task polls a switch.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A switch that several faults can activate at the same time, and that is on while any of them is active.
#[derive(Debug, Default)]
pub(crate) struct FaultSwitch {
    active_faults: AtomicU64,
    last_change_ms: AtomicU64,
}

impl FaultSwitch {
    /// Registers the start of a fault at the time `now`.
    pub(crate) fn activate(&self, now: Duration) {
        self.active_faults.fetch_add(1, Ordering::Relaxed);
        self.last_change_ms
            .store(now.as_millis() as u64, Ordering::Relaxed);
    }

    /// Registers the end of a fault at the time `now`.
    pub(crate) fn deactivate(&self, now: Duration) {
        self.active_faults.fetch_sub(1, Ordering::Relaxed);
        self.last_change_ms
            .store(now.as_millis() as u64, Ordering::Relaxed);
    }

    /// Returns whether any fault is active.
    pub(crate) fn is_on(&self) -> bool {
        self.active_faults.load(Ordering::Relaxed) > 0
    }

    /// Returns whether any fault is active at the time `now` or was active within the `span` before it.
    pub(crate) fn was_on(&self, now: Duration, span: Duration) -> bool {
        let last_change = self.last_change_ms.load(Ordering::Relaxed);
        self.is_on() || last_change > 0 && now.as_millis() as u64 <= last_change + span.as_millis() as u64
    }

    /// Waits until no fault is active.
    pub(crate) async fn wait_until_off(&self) {
        while self.is_on() {
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// The switches for faults of one worker and of the network between it and the schedulers.
#[derive(Debug, Default)]
pub(crate) struct WorkerSwitches {
    pub(crate) stall: FaultSwitch,
    pub(crate) error_responses: FaultSwitch,
    pub(crate) corrupt_responses: FaultSwitch,
    pub(crate) duplicate_responses: FaultSwitch,
    pub(crate) delay: FaultSwitch,
    pub(crate) fragmentation: FaultSwitch,
    pub(crate) resets: FaultSwitch,
    pub(crate) black_hole: FaultSwitch,
    /// Whether the worker's process rejects new work, while it completes the work that it already has.
    pub(crate) process_is_draining: AtomicBool,
    /// Whether the worker's process has exited and no new process has taken over its address yet.
    pub(crate) process_is_down: AtomicBool,
}

impl WorkerSwitches {
    /// Waits until the worker's process has exited.
    pub(crate) async fn wait_until_down(&self) {
        while !self.process_is_down.load(Ordering::Relaxed) {
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// The switches for faults of the discovery service.
#[derive(Debug, Default)]
pub(crate) struct DiscoverySwitches {
    pub(crate) down: FaultSwitch,
    pub(crate) black_hole: FaultSwitch,
}

/// The switches for faults of the clients, each of which affects all clients of a run.
#[derive(Debug, Default)]
pub(crate) struct ClientSwitches {
    pub(crate) abandon_requests: FaultSwitch,
    pub(crate) malformed_frames: FaultSwitch,
    pub(crate) ignore_go_away: FaultSwitch,
}
