//! The memory for the buffered input of clients, divided among their connections.

/// Limits on the buffered input of clients.
///
/// Each connection may always use an equal share of the guaranteed bytes, whatever the others send. The pool is
/// for messages larger than that, on whichever connections need it first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InputMemoryLimits {
    /// Number of bytes that the shares of all connections take together.
    pub guaranteed_bytes: usize,
    /// Number of connections of clients up to which a share has its full size. More connections get smaller
    /// shares.
    pub connections: usize,
    /// Number of bytes beyond their shares that all connections together may use.
    pub pool_bytes: usize,
}

impl InputMemoryLimits {
    /// Limits that bound nothing.
    pub const UNLIMITED: InputMemoryLimits = InputMemoryLimits {
        guaranteed_bytes: usize::MAX,
        connections: 1,
        pool_bytes: usize::MAX,
    };

    /// Returns the share of each of `clients` connections, in bytes.
    fn share(&self, clients: usize) -> usize {
        self.guaranteed_bytes / clients.max(self.connections).max(1)
    }

    /// Returns how much of a connection's buffered input is beyond a share of full size, in bytes.
    fn excess(&self, buffered_bytes: usize) -> usize {
        buffered_bytes.saturating_sub(self.share(0))
    }
}

/// The use of the memory for the buffered input of clients.
#[derive(Debug)]
pub(super) struct InputMemory {
    limits: InputMemoryLimits,
    /// Number of buffered bytes of all connections.
    buffered_bytes: usize,
    /// Number of these that are beyond the shares of their connections.
    pooled_bytes: usize,
}

impl InputMemory {
    pub(super) fn new(limits: InputMemoryLimits) -> InputMemory {
        InputMemory {
            limits,
            buffered_bytes: 0,
            pooled_bytes: 0,
        }
    }

    /// Replaces the limits, given the number of buffered bytes of each connection. What is buffered stays.
    pub(super) fn set_limits(&mut self, limits: InputMemoryLimits, buffered: impl Iterator<Item = usize>) {
        self.limits = limits;
        self.pooled_bytes = buffered.map(|bytes| limits.excess(bytes)).sum();
    }

    /// Returns the number of buffered bytes of all connections.
    pub(super) fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// Returns how many more bytes a connection may buffer, being one of `clients` connections.
    pub(super) fn room(&self, buffered_bytes: usize, clients: usize) -> usize {
        let in_share = self.limits.share(clients).saturating_sub(buffered_bytes);
        let in_pool = self.limits.pool_bytes.saturating_sub(self.pooled_bytes);
        in_share.saturating_add(in_pool)
    }

    /// Records that the buffered input of a connection has changed, in bytes.
    pub(super) fn update(&mut self, before: usize, after: usize) {
        self.buffered_bytes = self.buffered_bytes + after - before;
        self.pooled_bytes = self.pooled_bytes + self.limits.excess(after) - self.limits.excess(before);
    }
}
