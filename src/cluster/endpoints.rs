//! The endpoint list: the workers that are listed, their hash orders, and their zones.

use super::{Attempt, Cluster, Worker};
use crate::collections::{RendezvousNode, weighted_rendezvous_order};
use crate::model::{Endpoint, EndpointState, EndpointUpdateKind, FunctionId, Time, WorkerId, ZoneId};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Least weight of a worker in the hash order, whatever is listed.
///
/// Ratio, above 0. Source: inherited (see the constants of the policy).
const MIN_WEIGHT: f64 = 0.01;
/// Greatest weight of a worker in the hash order, whatever is listed.
///
/// Ratio, above [`MIN_WEIGHT`]. Source: inherited.
const MAX_WEIGHT: f64 = 100.0;

impl Cluster {
    /// Takes in a change of the endpoint list. A worker that is gone, or that a snapshot leaves out, is
    /// dropped; of one that has restarted nothing is known.
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

    /// Workers in the order in which all schedulers try them for a function.
    pub(crate) fn hash_order(&mut self, function: FunctionId) -> Vec<WorkerId> {
        let indices = self.hash_order_indices(function);
        let workers: Vec<WorkerId> = self.workers.keys().copied().collect();
        indices.iter().map(|index| workers[*index]).collect()
    }

    /// The same order, by the indices of the workers among [`Cluster::workers`]. Fleets are large, and each request goes
    /// by its function's order: it is shared, and needs no look-up by id.
    pub(crate) fn hash_order_indices(&mut self, function: FunctionId) -> Rc<[usize]> {
        let nodes = self.workers.iter().enumerate().map(|(index, (id, worker))| {
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

    /// The workers of each zone.
    pub(crate) fn workers_by_zone(&self) -> BTreeMap<ZoneId, Vec<WorkerId>> {
        let mut zones = BTreeMap::<ZoneId, Vec<WorkerId>>::new();
        for (id, worker) in &self.workers {
            zones.entry(worker.endpoint.zone).or_default().push(*id);
        }
        zones
    }

    /// When any of the workers that `counts` selects last responded.
    pub(crate) fn last_response_at(&self, counts: impl Fn(&Worker) -> bool) -> Option<Time> {
        let workers = self.workers.values().filter(|worker| counts(worker));
        workers
            .map(|worker| worker.health.liveness.last_response_at())
            .max()
    }

    /// The worker process that an attempt was sent to, while it is listed.
    pub(crate) fn process_of(&mut self, attempt: &Attempt) -> Option<&mut Worker> {
        let worker = self.workers.get_mut(&attempt.endpoint.worker)?;
        Some(worker).filter(|worker| attempt.sent_at >= worker.listed_at)
    }
}
