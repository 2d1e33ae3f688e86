//! Updates of the endpoint list, and the state of each worker on it.

use super::Scheduler;
use crate::model::{Endpoint, EndpointState, EndpointUpdateKind, Event, Time, WorkerId};
use std::collections::{BTreeMap, BTreeSet};

/// What the endpoint list last said of each worker. A worker that is not on the list has no entry.
#[derive(Debug, Default)]
pub(super) struct EndpointStates {
    states: BTreeMap<WorkerId, EndpointState>,
}

impl Scheduler {
    /// Applies an update of the endpoint list.
    pub fn update_endpoints(&mut self, now: Time, kind: EndpointUpdateKind, endpoints: Vec<Endpoint>) {
        self.counters.endpoint_updates += 1;
        self.endpoint_states.apply(kind, &endpoints);
        self.handle_event(now, Event::EndpointsUpdated { kind, endpoints });
    }
}

impl EndpointStates {
    /// Applies an update of the endpoint list.
    pub(super) fn apply(&mut self, kind: EndpointUpdateKind, endpoints: &[Endpoint]) {
        if kind.is_complete() {
            let listed: BTreeSet<WorkerId> = endpoints.iter().map(|endpoint| endpoint.worker).collect();
            self.states.retain(|worker, _| listed.contains(worker));
        }
        for endpoint in endpoints {
            self.apply_endpoint(endpoint);
        }
    }

    fn apply_endpoint(&mut self, endpoint: &Endpoint) {
        match endpoint.state {
            EndpointState::Gone => {
                self.states.remove(&endpoint.worker);
            }
            EndpointState::Ready | EndpointState::Draining => {
                self.states.insert(endpoint.worker, endpoint.state);
            }
        }
    }

    /// Whether a worker is listed as ready for new work.
    pub(super) fn is_ready(&self, worker: WorkerId) -> bool {
        self.states.get(&worker) == Some(&EndpointState::Ready)
    }
}
