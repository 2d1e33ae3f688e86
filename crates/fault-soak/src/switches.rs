//! What the running faults switch on in the stand-ins, shared by their tasks.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

/// A fault that can run several times at once: it is on while any of its runs is.
#[derive(Debug, Default)]
pub(crate) struct Switch {
    runs: AtomicU64,
    last_on_ms: AtomicU64,
}

impl Switch {
    /// One more run begins.
    pub(crate) fn begin(&self, now: Duration) {
        self.runs.fetch_add(1, Ordering::Relaxed);
        self.last_on_ms.store(now.as_millis() as u64, Ordering::Relaxed);
    }

    /// A run ends.
    pub(crate) fn end(&self, now: Duration) {
        self.runs.fetch_sub(1, Ordering::Relaxed);
        self.last_on_ms.store(now.as_millis() as u64, Ordering::Relaxed);
    }

    /// Whether any run is under way.
    pub(crate) fn is_on(&self) -> bool {
        self.runs.load(Ordering::Relaxed) > 0
    }

    /// Whether any run is under way, or was within the last `span`.
    pub(crate) fn was_on(&self, now: Duration, span: Duration) -> bool {
        let last = self.last_on_ms.load(Ordering::Relaxed);
        self.is_on() || last > 0 && now.as_millis() as u64 <= last + span.as_millis() as u64
    }
}

/// Faults of one worker and of the network to it.
#[derive(Debug, Default)]
pub(crate) struct WorkerSwitches {
    pub(crate) stalls: Switch,
    pub(crate) answers_errors: Switch,
    pub(crate) spoils: Switch,
    pub(crate) repeats: Switch,
    pub(crate) delays: Switch,
    pub(crate) splits: Switch,
    pub(crate) resets: Switch,
    pub(crate) silent: Switch,
    /// Its process is gone and no other has taken its address yet.
    pub(crate) is_gone: AtomicBool,
}

/// Faults of the discovery service.
#[derive(Debug, Default)]
pub(crate) struct DiscoverySwitches {
    pub(crate) down: Switch,
    pub(crate) silent: Switch,
}

/// Faults of the clients of all schedulers.
#[derive(Debug, Default)]
pub(crate) struct ClientSwitches {
    pub(crate) leave: Switch,
    pub(crate) malformed: Switch,
    pub(crate) stubborn: Switch,
    /// No further request is sent.
    pub(crate) is_over: AtomicBool,
}
