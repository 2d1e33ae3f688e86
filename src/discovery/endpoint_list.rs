//! The endpoint list: the known workers and their addresses.
//!
//! The list is updated by watch events and by the workers of the operator's file, which are not part of the
//! watch. Each update results in an [`EndpointChange`]: the entries to pass to the scheduler, and the
//! addresses that the connection pool has to add or remove.

use super::event::{EndpointRecord, WatchEvent};
use crate::model::{Endpoint, EndpointState, EndpointUpdateKind, Time, WorkerId};
use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

/// The result of one update of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EndpointChange {
    /// Whether `endpoints` is the complete list or only contains changes.
    pub(crate) kind: EndpointUpdateKind,
    /// Entries of the list, in the order in which they are passed to the scheduler.
    pub(crate) endpoints: Vec<Endpoint>,
    /// Changes of addresses, in the order in which they are applied; all are applied before `endpoints`.
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

/// A change of a worker's address.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum AddressChange {
    /// The worker listens at this TCP address.
    Assigned {
        /// Id of the worker.
        worker: WorkerId,
        /// Address on which the worker listens.
        address: SocketAddr,
        /// Start time of the worker's process, if known; a different start time means a different process.
        started_at: Option<Time>,
    },
    /// The worker is gone, and its address is no longer used.
    Removed(WorkerId),
}

/// The process that a worker id refers to.
#[derive(Clone, Copy, Debug)]
struct Process {
    worker: WorkerId,
    address: SocketAddr,
    started_at: Option<Time>,
}

/// The endpoint list, with the addresses of the workers that watch events list.
#[derive(Debug, Default)]
pub(crate) struct EndpointList {
    /// Processes of the workers that watch events list and that are not gone, by worker id.
    watched: BTreeMap<WorkerId, Process>,
    /// The same workers by address. Only a draining worker shares its address with another worker.
    watched_by_address: HashMap<SocketAddr, BTreeSet<WorkerId>>,
    /// Workers of the operator's file. A snapshot from the watch does not remove them.
    configured: Vec<Endpoint>,
}

impl EndpointList {
    /// Creates a list that contains only the statically configured workers.
    pub(crate) fn new(configured: Vec<Endpoint>) -> EndpointList {
        EndpointList {
            watched: BTreeMap::new(),
            watched_by_address: HashMap::new(),
            configured,
        }
    }

    /// Returns the change that adds the statically configured workers at startup, if there are any.
    pub(crate) fn initial_change(&self) -> Option<EndpointChange> {
        if self.configured.is_empty() {
            return None;
        }
        let mut change = EndpointChange::new(EndpointUpdateKind::Snapshot);
        change.endpoints.extend(&self.configured);
        Some(change)
    }

    /// Replaces the statically configured workers; returns `None` if there were none before and are none now.
    pub(crate) fn set_configured_workers(&mut self, configured: Vec<Endpoint>) -> Option<EndpointChange> {
        let previous = std::mem::replace(&mut self.configured, configured);
        let configured: BTreeSet<WorkerId> = self.configured_workers().collect();
        for worker in &configured {
            self.remove_process(*worker);
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

    /// Applies a watch event.
    ///
    /// A snapshot removes all workers that it omits, except the statically configured ones. A delta only
    /// changes the workers that it lists.
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

    /// Removes the workers that a snapshot omits.
    ///
    /// `change.endpoints` gets no entries for them: the scheduler finds them missing from the snapshot.
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

    /// Applies one record and resolves conflicts over its address.
    ///
    /// An address belongs to one process at a time. If a ready worker is listed at the address of another
    /// worker, the process that started later owns the address, and the other worker is treated as gone even
    /// if the discovery service has not published that: requests sent under its id would reach the later
    /// process unnoticed.
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

    /// Returns the first process of another worker that is listed at `address`.
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
        self.remove_process(worker);
        self.watched.insert(worker, process);
        self.watched_by_address.entry(address).or_default().insert(worker);
        change.address_changes.push(AddressChange::Assigned {
            worker,
            address,
            started_at,
        });
    }

    fn remove(&mut self, worker: WorkerId, change: &mut EndpointChange) {
        self.remove_process(worker);
        change.address_changes.push(AddressChange::Removed(worker));
    }

    /// Removes the process of a worker and its address, if watch events have listed the worker.
    fn remove_process(&mut self, worker: WorkerId) {
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
