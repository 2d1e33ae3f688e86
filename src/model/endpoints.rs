//! Endpoints: the entries of the list of workers.

use super::{CellId, KindId, Time, WorkerId, ZoneId};

/// The state in which a worker is listed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// It may be sent requests.
    #[default]
    Ready,
    /// It completes what it has; nothing new may be sent to it.
    Draining,
    /// It has been removed.
    Gone,
}

/// Who has listed a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointSource {
    /// The discovery service, which publishes its changes.
    #[default]
    Discovery,
    /// The configuration, which alone changes the entry.
    Configuration,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// The worker.
    pub worker: WorkerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell, whose workers drop repeats of each other's requests with an idempotency key.
    pub cell: CellId,
    /// Its state.
    pub state: EndpointState,
    /// Who has listed it.
    pub source: EndpointSource,
    /// Its size in relation to other workers, without a unit. See [`Settings::weights_are_capacities`].
    ///
    /// [`Settings::weights_are_capacities`]: super::Settings::weights_are_capacities
    pub weight: f64,
    /// When its process last started; absent where that is long ago.
    pub started_at: Option<Time>,
    /// Its machine kind.
    pub kind: KindId,
}

impl Endpoint {
    /// Whether it may be sent requests.
    pub fn is_ready(&self) -> bool {
        self.state == EndpointState::Ready
    }
}

/// How an update relates to the endpoint list that the scheduler has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdateKind {
    /// Only the entries that have changed.
    Delta,
    /// The complete list.
    Snapshot,
    /// The complete list as discovery last held it, which may be out of date.
    CachedSnapshot,
    /// Discovery has failed; the list that is held stays valid.
    Failed,
}

impl EndpointUpdateKind {
    /// Whether the update has the complete list, so that a worker that it leaves out is gone.
    pub fn is_complete(self) -> bool {
        matches!(
            self,
            EndpointUpdateKind::Snapshot | EndpointUpdateKind::CachedSnapshot
        )
    }
}

/// What becomes of the watch of the endpoint list, as far as it says how old the list is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchStatus {
    /// There is no discovery service to watch.
    Disabled,
    /// The discovery service has been asked, or is about to be asked, for what was published since the list.
    Requested,
    /// A change has arrived; others may follow it.
    EventReceived,
    /// All that was published before has arrived.
    Confirmed,
    /// The connection has ended.
    Disconnected,
}
