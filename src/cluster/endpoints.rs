//! The endpoint list: the listed workers, their hash orders and their zones.

use super::{Attempt, Cluster, Worker};
use crate::collections::{RendezvousNode, weighted_rendezvous_order};
use crate::model::{Endpoint, EndpointState, EndpointUpdateKind, FunctionId, Time, WorkerId, ZoneId};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Minimum weight of a worker in the hash order; lower listed weights are clamped to it.
///
/// The rendezvous order divides by the weight, so the minimum must be above 0.
const MIN_WEIGHT: f64 = 0.01;
/// Maximum weight of a worker in the hash order; higher listed weights are clamped to it.
const MAX_WEIGHT: f64 = 100.0;

impl Cluster {
    /// Applies an update of the endpoint list.
    ///
    /// Removes a worker that is listed as gone or that a complete list omits, and discards the recorded
    /// state of a worker whose process has restarted.
    pub(crate) fn update_endpoints(&mut self, kind: EndpointUpdateKind, endpoints: Vec<Endpoint>, now: Time) {
        self.hash_orders.clear();
        if kind.is_complete() {
            let listed: BTreeSet<WorkerId> = endpoints.iter().map(|endpoint| endpoint.worker).collect();
            self.workers.retain(|id, _| listed.contains(id));
        }
        for endpoint in endpoints {
            self.update_endpoint(endpoint, now);
        }
    }

    fn update_endpoint(&mut self, endpoint: Endpoint, now: Time) {
        let known = self.workers.get_mut(&endpoint.worker);
        let same_process = known.filter(|worker| worker.endpoint.started_at == endpoint.started_at);
        if endpoint.state == EndpointState::Gone {
            self.workers.remove(&endpoint.worker);
        } else if let Some(worker) = same_process {
            worker.endpoint = endpoint;
        } else {
            self.workers.insert(endpoint.worker, Worker::new(endpoint, now));
        }
    }

    /// Returns the workers in the order in which every scheduler tries them for a function.
    pub(crate) fn hash_order(&mut self, function: FunctionId) -> Vec<WorkerId> {
        let indices = self.hash_order_indices(function);
        let workers: Vec<WorkerId> = self.workers.keys().copied().collect();
        indices.iter().map(|index| workers[*index as usize]).collect()
    }

    /// Returns the hash order of a function as indices into the workers in the order of their ids.
    ///
    /// Every request uses the order of its function, and there may be many workers. The order is therefore
    /// cached and shared, and needs no lookup by id.
    pub(crate) fn hash_order_indices(&mut self, function: FunctionId) -> Rc<[u32]> {
        let limit = self.function_memory.max_hash_orders(self.workers.len());
        if self.hash_orders.len() >= limit && !self.hash_orders.contains_key(&function) {
            self.hash_orders.clear();
        }
        let nodes = (0..).zip(&self.workers).map(|(index, (id, worker))| {
            let weight = worker.endpoint.weight.clamp(MIN_WEIGHT, MAX_WEIGHT);
            RendezvousNode {
                node: index,
                hash_input: id.0,
                weight: if self.hashes_by_weight { weight } else { 1.0 },
            }
        });
        let order = self.hash_orders.entry(function);
        let order = order.or_insert_with(|| weighted_rendezvous_order(function.0, nodes).into());
        Rc::clone(order)
    }

    /// Returns the workers of each zone.
    pub(crate) fn workers_by_zone(&self) -> BTreeMap<ZoneId, Vec<WorkerId>> {
        let mut zones = BTreeMap::<ZoneId, Vec<WorkerId>>::new();
        for (id, worker) in &self.workers {
            zones.entry(worker.endpoint.zone).or_default().push(*id);
        }
        zones
    }

    /// Returns the time of the latest response of any worker that `is_included` selects, or `None` if it
    /// selects none.
    pub(crate) fn last_response_at(&self, is_included: impl Fn(&Worker) -> bool) -> Option<Time> {
        let workers = self.workers.values().filter(|worker| is_included(worker));
        workers
            .map(|worker| worker.health.liveness.last_response_at())
            .max()
    }

    /// Returns the worker process that an attempt was sent to, or `None` if it is no longer listed.
    pub(crate) fn process_of(&mut self, attempt: &Attempt) -> Option<&mut Worker> {
        let worker = self.workers.get_mut(&attempt.endpoint.worker)?;
        Some(worker).filter(|worker| attempt.sent_at >= worker.listed_at)
    }
}
