//! Endpoints: the entries of the list of workers.

use super::{CellId, KindId, Time, WorkerId, ZoneId};

/// The listed state of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// The worker may be sent requests.
    #[default]
    Ready,
    /// The worker completes its current work and must not be sent new work.
    Draining,
    /// The worker has been removed.
    Gone,
}

/// The source of an endpoint list entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointSource {
    /// The discovery service, which publishes changes of the entry.
    #[default]
    Discovery,
    /// The configuration, which alone can change the entry.
    Configuration,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// Worker that the entry describes.
    pub worker: WorkerId,
    /// Zone of the worker.
    pub zone: ZoneId,
    /// Cell of the worker. The workers of a cell drop repeats of each other's requests with an idempotency
    /// key.
    pub cell: CellId,
    /// State of the worker.
    pub state: EndpointState,
    /// Source of the entry.
    pub source: EndpointSource,
    /// Size of the worker relative to other workers, without a unit. See
    /// [`Settings::weights_are_capacities`].
    ///
    /// [`Settings::weights_are_capacities`]: super::Settings::weights_are_capacities
    pub weight: f64,
    /// When the worker's process last started; `None` if that was long ago.
    pub started_at: Option<Time>,
    /// Machine kind of the worker.
    pub kind: KindId,
}

impl Endpoint {
    /// Returns whether the worker may be sent requests.
    pub fn is_ready(&self) -> bool {
        self.state == EndpointState::Ready
    }
}

/// How an update relates to the scheduler's current endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdateKind {
    /// Only the changed entries.
    Delta,
    /// The complete and current list.
    Snapshot,
    /// The complete list from the cache of the discovery service, which may be outdated.
    CachedSnapshot,
    /// Discovery failed; the current list stays valid.
    Failed,
}

impl EndpointUpdateKind {
    /// Returns whether the update contains the complete list, so that a worker that it omits is gone.
    pub fn is_complete(self) -> bool {
        matches!(
            self,
            EndpointUpdateKind::Snapshot | EndpointUpdateKind::CachedSnapshot
        )
    }
}

/// The state of the watch on the endpoint list, from which the age of the list follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchStatus {
    /// There is no discovery service to watch.
    Disabled,
    /// The changes since the current list have been requested from the discovery service, or are about to be
    /// requested.
    Requested,
    /// A change has arrived; others may follow.
    EventReceived,
    /// All changes published so far have arrived.
    Confirmed,
    /// The connection has ended.
    Disconnected,
}
