//! The memory limit of the process, divided among all tables that peers can fill.
//!
//! Each table has an owner that bounds it by its part. What the parts leave is for the program itself, the endpoint
//! list and the connections to workers.

use crate::net::InputMemoryLimits;
use crate::runtime::Reactor;

const BYTES_PER_MEGABYTE: usize = 1 << 20;
/// Divisor of the memory limit for output that peers have not read; the reactor bounds it.
const UNSENT_OUTPUT_DIVISOR: usize = 8;
/// Divisor of the memory limit for the shares that client connections have in the memory for input; the reactor
/// bounds them. With 32 MB, each of the 341 clients of 1,024 descriptors can buffer the largest request.
const GUARANTEED_INPUT_DIVISOR: usize = 4;
/// Divisor of the memory limit for input beyond these shares; the reactor bounds it.
const POOLED_INPUT_DIVISOR: usize = 32;
/// Divisor of the memory limit for open requests without their bodies; the scheduler bounds it.
const OPEN_REQUEST_DIVISOR: usize = 16;
/// Memory of an open request without its body, in all tables, in bytes.
const OPEN_REQUEST_BYTES: usize = 2 << 10;
/// Maximum number of open requests that the client connections share, whatever the memory. More would only wait
/// for each other.
const MAX_SHARED_OPEN_REQUESTS: usize = 1024;
/// Divisor of the memory limit for what the policy knows of functions; the cluster bounds it.
const FUNCTION_DIVISOR: usize = 8;
/// Divisor of the memory limit for retired correlation ids; the pool of connections bounds it.
const RETIRED_ID_DIVISOR: usize = 16;
/// Memory of a retired correlation id, in bytes.
const RETIRED_ID_BYTES: usize = 192;

/// The memory limit of the process.
#[derive(Clone, Copy, Debug)]
pub(super) struct MemoryBudget {
    limit_bytes: usize,
}

impl MemoryBudget {
    /// Creates the budget for a limit in megabytes.
    pub(super) fn new(megabytes: usize) -> MemoryBudget {
        MemoryBudget {
            limit_bytes: megabytes * BYTES_PER_MEGABYTE,
        }
    }

    /// Applies the limits of the reactor and of the scheduler, given the guaranteed number of clients. The scheduler
    /// also bounds the bodies of open requests.
    pub(super) fn apply(self, guaranteed_clients: usize, reactor: &mut Reactor) {
        reactor.max_unsent_bytes = self.limit_bytes / UNSENT_OUTPUT_DIVISOR;
        reactor.limit_input_memory(self.input_limits(guaranteed_clients));
        let scheduler = &mut reactor.shared.scheduler;
        scheduler.set_memory_limit(self.limit_bytes);
        scheduler.share_open_requests(self.open_requests());
        scheduler.limit_function_memory(self.limit_bytes / FUNCTION_DIVISOR);
    }

    /// Returns the limits of the memory for the input of clients.
    pub(super) fn input_limits(self, guaranteed_clients: usize) -> InputMemoryLimits {
        InputMemoryLimits {
            guaranteed_bytes: self.limit_bytes / GUARANTEED_INPUT_DIVISOR,
            connections: guaranteed_clients,
            pool_bytes: self.limit_bytes / POOLED_INPUT_DIVISOR,
        }
    }

    /// Returns the number of retired correlation ids that all connections to workers together may keep.
    pub(super) fn retired_ids(self) -> usize {
        self.limit_bytes / RETIRED_ID_DIVISOR / RETIRED_ID_BYTES
    }

    fn open_requests(self) -> usize {
        let affordable = self.limit_bytes / OPEN_REQUEST_DIVISOR / OPEN_REQUEST_BYTES;
        affordable.min(MAX_SHARED_OPEN_REQUESTS)
    }
}
