//! The endpoint list: which workers there are and where they listen.
//!
//! The list is fed by watch events and by the workers of the operator's file, which the watch knows nothing
//! of. Each input gives an [`EndpointChange`]: what the scheduler is given and which addresses the connection
//! pool has to take up or drop.

use super::event::{EndpointRecord, WatchEvent};
use crate::model::{Endpoint, EndpointState, EndpointUpdateKind, Time, WorkerId};
use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

/// What one input to the list changes.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EndpointChange {
    /// Whether `endpoints` is the complete list or only what has changed.
    pub(crate) kind: EndpointUpdateKind,
    /// The list's entries, in the order in which the scheduler is given them.
    pub(crate) endpoints: Vec<Endpoint>,
    /// Changes of addresses, in the order in which they are applied; all of them before `endpoints`.
    pub(crate) address_changes: Vec<AddressChange>,
}

impl EndpointChange {
    fn new(kind: EndpointUpdateKind) -> EndpointChange {
        EndpointChange {
            kind,
            endpoints: Vec::new(),
            address_changes: Vec::new(),
        }
    }
}

/// What becomes of a worker's address.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum AddressChange {
    /// The worker listens at this TCP address.
    Assigned {
        /// Which worker.
        worker: WorkerId,
        /// Where it listens.
        address: SocketAddr,
        /// When its process started, if that is known; another start means another process.
        started_at: Option<Time>,
    },
    /// The worker is gone, with its address.
    Removed(WorkerId),
}

/// The process that a worker's id stands for.
#[derive(Clone, Copy, Debug)]
struct Process {
    worker: WorkerId,
    address: SocketAddr,
    started_at: Option<Time>,
}

/// The endpoint list.
#[derive(Debug, Default)]
pub(crate) struct EndpointList {
    /// Workers that watch events have named and that are not gone.
    watched: BTreeMap<WorkerId, Process>,
    /// The same workers by their addresses. Only a draining worker shares its address with another.
    watched_by_address: HashMap<SocketAddr, BTreeSet<WorkerId>>,
    /// Workers of the operator's file. A complete list of the watch leaves them in place.
    configured: Vec<Endpoint>,
}

impl EndpointList {
    /// A list of the statically configured workers alone.
    pub(crate) fn new(configured: Vec<Endpoint>) -> EndpointList {
        EndpointList {
            watched: BTreeMap::new(),
            watched_by_address: HashMap::new(),
            configured,
        }
    }

    /// The change that makes the statically configured workers known at the start, if there are any.
    pub(crate) fn initial_change(&self) -> Option<EndpointChange> {
        if self.configured.is_empty() {
            return None;
        }
        let mut change = EndpointChange::new(EndpointUpdateKind::Snapshot);
        change.endpoints.extend(&self.configured);
        Some(change)
    }

    /// Replaces the statically configured workers; `None` where there were and are none.
    pub(crate) fn set_configured(&mut self, configured: Vec<Endpoint>) -> Option<EndpointChange> {
        let previous = std::mem::replace(&mut self.configured, configured);
        let configured: BTreeSet<WorkerId> = self.configured_workers().collect();
        for worker in &configured {
            self.forget(*worker);
        }
        let mut change = EndpointChange::new(EndpointUpdateKind::Delta);
        for endpoint in previous {
            if !configured.contains(&endpoint.worker) {
                self.remove(endpoint.worker, &mut change);
                change.endpoints.push(Endpoint {
                    state: EndpointState::Gone,
                    ..endpoint
                });
            }
        }
        change.endpoints.extend(&self.configured);
        (!change.endpoints.is_empty()).then_some(change)
    }

    /// Applies a watch event. A complete list ends every worker that it leaves out, save the statically
    /// configured ones; a delta changes the workers that it names.
    pub(crate) fn apply_watch_event(&mut self, event: WatchEvent) -> EndpointChange {
        let mut change = EndpointChange::new(event.kind);
        if event.kind == EndpointUpdateKind::Snapshot {
            self.remove_unlisted(&event.endpoints, &mut change);
        }
        for record in event.endpoints {
            self.apply_record(record, &mut change);
        }
        if event.kind == EndpointUpdateKind::Snapshot {
            change.endpoints.extend(&self.configured);
        }
        change
    }

    /// Drops the workers that a complete list leaves out. The scheduler finds them missing from the list
    /// itself.
    fn remove_unlisted(&mut self, records: &[EndpointRecord], change: &mut EndpointChange) {
        let listed = records.iter().map(|record| record.endpoint.worker);
        let remaining: BTreeSet<WorkerId> = listed.chain(self.configured_workers()).collect();
        let unlisted: Vec<WorkerId> = self
            .watched
            .keys()
            .copied()
            .filter(|worker| !remaining.contains(worker))
            .collect();
        for worker in unlisted {
            self.remove(worker, change);
        }
    }

    /// Applies one record, and settles whose address it is.
    ///
    /// An address belongs to one process at a time. Where a ready worker is listed at the address of another
    /// one, the process that started later has it, and the other worker is gone, published or not: requests
    /// sent under its id would reach the later process unnoticed.
    fn apply_record(&mut self, record: EndpointRecord, change: &mut EndpointChange) {
        let EndpointRecord {
            mut endpoint,
            address,
        } = record;
        if endpoint.state == EndpointState::Ready
            && let Some(other) = self.other_process_at(address, endpoint.worker)
        {
            if other.started_at > endpoint.started_at {
                endpoint.state = EndpointState::Gone;
            } else {
                self.remove(other.worker, change);
                change.endpoints.push(Endpoint {
                    worker: other.worker,
                    state: EndpointState::Gone,
                    ..Endpoint::default()
                });
            }
        }
        match endpoint.state {
            EndpointState::Gone => self.remove(endpoint.worker, change),
            EndpointState::Ready | EndpointState::Draining => self.assign(&endpoint, address, change),
        }
        change.endpoints.push(endpoint);
    }

    /// The first process of another worker that is listed at this address.
    fn other_process_at(&self, address: SocketAddr, worker: WorkerId) -> Option<Process> {
        let workers = self.watched_by_address.get(&address)?;
        let other = workers.iter().find(|other| **other != worker)?;
        self.watched.get(other).copied()
    }

    fn assign(&mut self, endpoint: &Endpoint, address: SocketAddr, change: &mut EndpointChange) {
        let Endpoint {
            worker, started_at, ..
        } = *endpoint;
        let process = Process {
            worker,
            address,
            started_at,
        };
        self.forget(worker);
        self.watched.insert(worker, process);
        self.watched_by_address.entry(address).or_default().insert(worker);
        change.address_changes.push(AddressChange::Assigned {
            worker,
            address,
            started_at,
        });
    }

    fn remove(&mut self, worker: WorkerId, change: &mut EndpointChange) {
        self.forget(worker);
        change.address_changes.push(AddressChange::Removed(worker));
    }

    /// Forgets what was listed of a worker, if anything was.
    fn forget(&mut self, worker: WorkerId) {
        let Some(process) = self.watched.remove(&worker) else {
            return;
        };
        if let Entry::Occupied(mut workers) = self.watched_by_address.entry(process.address) {
            workers.get_mut().remove(&worker);
            if workers.get().is_empty() {
                workers.remove();
            }
        }
    }

    fn configured_workers(&self) -> impl Iterator<Item = WorkerId> {
        self.configured.iter().map(|endpoint| endpoint.worker)
    }
}
