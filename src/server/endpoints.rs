//! Applies endpoint updates: addresses go to the connection pool, endpoints to the scheduler.

use super::{DISCOVERY_BUDGET, Server};
use crate::backend::{Pool, WorkerAddress};
use crate::config::{JsonRpcWorkerEndpoint, OperatorConfig};
use crate::discovery::{AddressChange, EndpointChange, WatchEvent};
use crate::model::{Endpoint, Site, Time};
use tracing::debug;

impl Server {
    /// Applies the updates that discovery has received, as long as the turn has time for it, and lets discovery
    /// reconnect its watch when that is due.
    pub(super) fn poll_discovery(&mut self, now: Time) {
        let budget = self.reactor.time_budget(DISCOVERY_BUDGET);
        while let Some(change) = self.discovery.next_change() {
            self.apply_endpoint_change(now, change);
            if budget.is_spent() {
                break;
            }
        }
        self.discovery.poll_watch(now, &mut self.reactor);
        if self.discovery.has_changes() {
            return;
        }
        while let Some(change) = self.discovery.next_status_change() {
            let scheduler = &mut self.reactor.shared.scheduler;
            scheduler.watch_changed(now, change.at, change.status);
        }
    }

    /// Applies the statically configured endpoints at startup.
    pub(super) fn apply_initial_endpoints(&mut self) {
        if let Some(change) = self.discovery.initial_change() {
            self.apply_endpoint_change(self.reactor.now(), change);
        }
    }

    /// Reloads discovery: the watch resumes after the last received event, at the configured address.
    pub(super) fn reload_discovery(&mut self, now: Time, known_events: Vec<WatchEvent>) {
        let address_changed = self.discovery.set_address(self.config.discovery_service);
        self.poll_discovery(now);
        self.discovery.merge_known_events(known_events);
        if address_changed {
            self.discovery.restart_watch(now, &mut self.reactor);
        }
    }

    /// Replaces the workers that the operator's file lists.
    pub(super) fn set_configured_workers(&mut self, now: Time, operator: &OperatorConfig) {
        let configured = assign_jsonrpc_worker_addresses(operator, &self.config.site, &mut self.pool);
        if let Some(change) = self.discovery.set_configured_workers(configured) {
            self.apply_endpoint_change(now, change);
        }
    }

    fn apply_endpoint_change(&mut self, now: Time, change: EndpointChange) {
        for endpoint in &change.endpoints {
            debug!(
                worker = format_args!("{:08x}", endpoint.worker.0),
                state = ?endpoint.state,
                "endpoint listed"
            );
        }
        for address_change in change.address_changes {
            self.apply_address_change(address_change);
        }
        self.reactor
            .shared
            .scheduler
            .update_endpoints(now, change.kind, change.endpoints);
    }

    fn apply_address_change(&mut self, change: AddressChange) {
        match change {
            AddressChange::Removed(worker) => self.pool.remove(worker),
            AddressChange::Assigned {
                worker,
                address,
                started_at,
            } => {
                let address = WorkerAddress::NodeAgent(address);
                self.pool.set_address(worker, address, started_at);
            }
        }
    }
}

/// Sets the addresses of the operator's JSON-RPC workers in the pool, and returns their endpoints.
pub(super) fn assign_jsonrpc_worker_addresses(
    operator: &OperatorConfig,
    site: &Site,
    pool: &mut Pool,
) -> Vec<Endpoint> {
    let mut endpoints = Vec::new();
    for JsonRpcWorkerEndpoint { endpoint, socket } in operator.jsonrpc_worker_endpoints(site) {
        pool.set_address(endpoint.worker, WorkerAddress::JsonRpc(socket), None);
        endpoints.push(endpoint);
    }
    endpoints
}
