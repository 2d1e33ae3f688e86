//! The memory for the bodies of open requests, divided among the client connections.
//!
//! A connection without a body in memory may have one as long as any memory is left. What is beyond that is limited
//! to a part of the memory, and to a fraction of what is free of that part, as for open requests: the rest stays for
//! connections that have none.

use crate::model::ConnectionId;
use std::collections::HashMap;

/// Divisor of the memory limit of the process for connections that have more than one body in memory.
const SHARED_MEMORY_DIVISOR: usize = 18;
/// Memory for the bodies of all open requests, as a multiple of the above. At 32 MB it holds the largest body for each of
/// 341 clients, whatever the others of them have beyond that.
const ALL_BODIES_FACTOR: usize = 4;
/// Divisor of the free part of the latter that gives the bytes that a connection may have.
const FREE_DIVISOR: usize = 2;

/// The bodies of open requests.
#[derive(Debug)]
pub(super) struct BodyMemory {
    /// Number of bytes that all bodies together may have.
    max_bytes: usize,
    /// Number of bytes of all bodies beyond which a connection that has one may not have more.
    max_shared_bytes: usize,
    bytes: usize,
    by_connection: HashMap<ConnectionId, usize>,
}

impl BodyMemory {
    /// Creates the memory for a memory limit of the process in bytes.
    pub(super) fn new(memory_limit: usize) -> BodyMemory {
        let max_shared_bytes = memory_limit / SHARED_MEMORY_DIVISOR;
        BodyMemory {
            max_bytes: max_shared_bytes * ALL_BODIES_FACTOR,
            max_shared_bytes,
            bytes: 0,
            by_connection: HashMap::new(),
        }
    }

    /// Sets the memory limit of the process, in bytes. What is in memory stays.
    pub(super) fn set_memory_limit(&mut self, memory_limit: usize) {
        let limits = BodyMemory::new(memory_limit);
        self.max_bytes = limits.max_bytes;
        self.max_shared_bytes = limits.max_shared_bytes;
    }

    /// Returns the number of bytes of all bodies.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns whether a connection may have another body of this size.
    pub(super) fn allows(&self, connection: ConnectionId, body_bytes: usize) -> bool {
        let in_use = self.by_connection.get(&connection).copied().unwrap_or(0);
        let is_first = in_use == 0 && self.bytes + body_bytes <= self.max_bytes;
        let free = self.max_shared_bytes.saturating_sub(self.bytes);
        body_bytes == 0 || is_first || in_use + body_bytes <= free / FREE_DIVISOR
    }

    /// Records the body of a request that is opened.
    pub(super) fn add(&mut self, connection: ConnectionId, body_bytes: usize) {
        if body_bytes > 0 {
            self.bytes += body_bytes;
            *self.by_connection.entry(connection).or_default() += body_bytes;
        }
    }

    /// Records that a request with this body has ended.
    pub(super) fn remove(&mut self, connection: ConnectionId, body_bytes: usize) {
        let Some(in_use) = self.by_connection.get_mut(&connection) else {
            return;
        };
        *in_use -= body_bytes;
        self.bytes -= body_bytes;
        if *in_use == 0 {
            self.by_connection.remove(&connection);
        }
    }
}
