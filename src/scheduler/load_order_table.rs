//! The table of load orders that have not ended, and the functions that clients have requested recently.

use super::recent_functions::RecentFunctions;
use super::{LoadOrderId, LoadResult};
use crate::model::{FunctionId, LoadOutcome, Time, WorkerId};
use std::collections::BTreeMap;

/// A load order, from the policy's decision until it ends.
#[derive(Debug)]
pub(super) struct LoadOrder {
    /// The worker that the order is sent to.
    pub(super) worker: WorkerId,
    /// The function to load.
    pub(super) function: FunctionId,
    /// Minimum number of loaded instances; 0 makes the order a query.
    pub(super) instances: u8,
    /// When the order times out.
    pub(super) deadline: Time,
    /// When the policy decided on the order.
    pub(super) started_at: Time,
}

impl LoadOrder {
    /// Returns whether the order only queries how many instances are loaded.
    pub(super) fn is_query(&self) -> bool {
        self.instances == 0
    }

    /// Returns the outcome that the policy is notified of.
    pub(super) fn outcome(&self, now: Time, result: LoadResult) -> LoadOutcome {
        LoadOutcome {
            worker: self.worker,
            function: self.function,
            instances: result.instances,
            status: result.status,
            latency: now - self.started_at,
        }
    }
}

/// The load orders that have not ended.
#[derive(Debug, Default)]
pub(super) struct LoadOrderTable {
    orders: BTreeMap<LoadOrderId, LoadOrder>,
    recent_functions: RecentFunctions,
}

impl LoadOrderTable {
    /// Returns a load order that has not ended.
    pub(super) fn get(&self, id: LoadOrderId) -> Option<&LoadOrder> {
        self.orders.get(&id)
    }

    /// Adds a load order.
    pub(super) fn insert(&mut self, id: LoadOrderId, order: LoadOrder) {
        self.orders.insert(id, order);
    }

    /// Removes a load order that has ended.
    pub(super) fn remove(&mut self, id: LoadOrderId) -> Option<LoadOrder> {
        self.orders.remove(&id)
    }

    /// Records that a client has requested this function.
    pub(super) fn record_request(&mut self, now: Time, function: FunctionId) {
        self.recent_functions.record(now, function);
    }

    /// Returns whether a client has recently requested the function of this order. A function that no client
    /// has requested must not be loaded.
    pub(super) fn is_for_requested_function(&self, order: &LoadOrder) -> bool {
        self.recent_functions.contains(order.function)
    }
}
