//! The table of load orders that have not ended, and the functions that clients have requested recently.

use super::recent_functions::RecentFunctions;
use super::{LoadOrderId, LoadResult};
use crate::model::{FunctionId, LoadOutcome, Time, WorkerId};
use std::collections::BTreeMap;

/// A load order from the policy's decision to its end.
#[derive(Debug)]
pub(super) struct LoadOrder {
    /// The worker it goes to.
    pub(super) worker: WorkerId,
    /// The function to load.
    pub(super) function: FunctionId,
    /// How many instances are to be loaded at least.
    pub(super) instances: u8,
    /// When its result is no longer waited for.
    pub(super) deadline: Time,
    /// When the policy decided on it.
    pub(super) started_at: Time,
}

impl LoadOrder {
    /// Whether the order loads nothing and only asks how many instances are loaded.
    pub(super) fn is_query(&self) -> bool {
        self.instances == 0
    }

    /// The order's end, as the policy is notified of it.
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
    /// A load order that has not ended.
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

    /// Whether a client has requested the function of this order recently. A function that no client ever
    /// requested must not be loaded.
    pub(super) fn is_for_requested_function(&self, order: &LoadOrder) -> bool {
        self.recent_functions.contains(order.function)
    }
}
