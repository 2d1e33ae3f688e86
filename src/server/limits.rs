//! Limits on memory, descriptors and connections that follow from the configuration.

use crate::backend;
use crate::config::SchedulerConfig;
use crate::model::Span;
use crate::runtime::Reactor;

/// Descriptors kept for the poll, the listeners, the pipes, the watch and the standard streams.
const RESERVED_DESCRIPTORS: usize = 32;
/// Of these, so many are for clients that are accepted only to be rejected.
const SHEDDING_DESCRIPTORS: usize = 8;
/// Clients hold at most one in so many descriptors (page PROTOCOL).
const CLIENT_QUOTA_DIVISOR: usize = 3;
/// Of the connections that descriptors allow, clients leave one in so many free for workers.
const FREE_CONNECTION_DIVISOR: usize = 8;
/// Output that waits to be sent, on all connections together, may take one in so many parts of the memory.
const UNSENT_OUTPUT_DIVISOR: usize = 6;
const BYTES_PER_MEGABYTE: usize = 1 << 20;
/// The platform allows this much more for a connect than the settings say.
const CONNECT_TIMEOUT_ALLOWANCE: Span = Span::from_millis(50);

/// Limits the memory for the bodies of open requests, and that for output which waits to be sent.
pub(super) fn limit_memory(config: &SchedulerConfig, reactor: &mut Reactor) {
    let memory_bytes = config.memory_mb * BYTES_PER_MEGABYTE;
    reactor.shared.scheduler.set_memory_limit(memory_bytes);
    reactor.max_unsent_bytes = memory_bytes / UNSENT_OUTPUT_DIVISOR;
}

/// How many clients are accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ClientLimits {
    /// So many clients are accepted whatever other connections there are.
    pub(super) guaranteed: usize,
    /// The number of connections of any kind from which on a client beyond the guaranteed ones is only accepted in
    /// place of an idle connection.
    pub(super) connections: usize,
    /// The number of connections of any kind from which on a client is not even accepted to be rejected.
    pub(super) shedding: usize,
}

/// The limits on clients.
pub(super) fn client_limits(config: &SchedulerConfig) -> ClientLimits {
    let max_connections = max_connections(config);
    ClientLimits {
        guaranteed: guaranteed_clients(config),
        connections: max_connections - max_connections / FREE_CONNECTION_DIVISOR,
        shedding: max_connections + SHEDDING_DESCRIPTORS,
    }
}

/// The clients' quota of the descriptors, which connections to workers leave free.
fn guaranteed_clients(config: &SchedulerConfig) -> usize {
    let quota = config.max_descriptors / CLIENT_QUOTA_DIVISOR;
    quota.min(max_connections(config) * 2 / 3)
}

/// The limits on connections to workers.
pub(super) fn worker_limits(config: &SchedulerConfig) -> backend::Limits {
    let site = &config.site;
    backend::Limits {
        connect_timeout: Span(site.connect_timeout.0 + CONNECT_TIMEOUT_ALLOWANCE.0),
        max_outgoing_connections: max_connections(config) - guaranteed_clients(config),
        ..backend::Limits::for_site(site, max_connections(config))
    }
}

/// The number of connections of any kind that the descriptors allow.
fn max_connections(config: &SchedulerConfig) -> usize {
    config.max_descriptors.saturating_sub(RESERVED_DESCRIPTORS)
}
