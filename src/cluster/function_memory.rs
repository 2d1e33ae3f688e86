//! The limit on the memory for what is known of functions, which clients can name without an end.
//!
//! What is known of a function is its popularity, its hash order and its instances on workers. Hash orders are a
//! cache and are dropped together once they exceed their half of the memory. Of the functions, those that were
//! requested least are forgotten.

use super::Cluster;
use crate::model::{FunctionId, Span, Time};
use std::collections::BTreeSet;
use std::mem::size_of;

/// Memory of a function's record and of its instances on the workers that were tried for it, in bytes.
const FUNCTION_BYTES: usize = 768;
/// Memory of a cached hash order besides its entries, in bytes.
const ORDER_BYTES: usize = 64;

/// The limits on the tables of functions.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FunctionMemory {
    limit_bytes: usize,
}

impl Default for FunctionMemory {
    /// Creates limits that are never reached.
    fn default() -> FunctionMemory {
        FunctionMemory {
            limit_bytes: usize::MAX,
        }
    }
}

impl FunctionMemory {
    /// Sets the memory of all tables together, in bytes.
    pub(crate) fn set_limit(&mut self, bytes: usize) {
        self.limit_bytes = bytes;
    }

    /// Returns the number of functions that may be known.
    pub(super) fn max_functions(self) -> usize {
        (self.limit_bytes / 2 / FUNCTION_BYTES).max(1)
    }

    /// Returns the number of hash orders that may be cached, given the number of workers.
    pub(super) fn max_hash_orders(self, workers: usize) -> usize {
        (self.limit_bytes / 2 / (ORDER_BYTES + workers * size_of::<u32>())).max(1)
    }
}

impl Cluster {
    /// Returns the number of hash orders that are cached.
    pub(crate) fn cached_hash_orders(&self) -> usize {
        self.hash_orders.len()
    }

    /// Forgets the least requested functions if more are known than the memory allows. Functions that are gold or
    /// that an open request is for are kept.
    pub(crate) fn limit_functions(&mut self, now: Time, keep_alive: Span) {
        let limit = self.function_memory.max_functions();
        if self.functions.len() <= limit {
            return;
        }
        let requested: BTreeSet<FunctionId> =
            self.requests.values().map(|request| request.function).collect();
        let forgettable = self
            .functions
            .iter()
            .filter(|(id, function)| !function.gold.is_on() && !requested.contains(id));
        let mut by_requests: Vec<(u32, FunctionId)> = forgettable
            .map(|(id, function)| (function.requests.total(), *id))
            .collect();
        by_requests.sort_unstable();
        // A quarter is forgotten at a time, so that the tables are not searched for each new function.
        let surplus = self.functions.len() - limit + limit / 4;
        for (_, id) in by_requests.into_iter().take(surplus) {
            self.functions.remove(&id);
        }
        self.prune(now, keep_alive);
    }
}
