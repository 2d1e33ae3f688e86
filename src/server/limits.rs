//! Limits on memory, descriptors and connections, derived from the configuration.

use crate::backend;
use crate::config::SchedulerConfig;
use crate::model::Span;
use crate::runtime::Reactor;

/// Number of descriptors reserved for the event queue, listeners, pipes, discovery watch and standard
/// streams.
const RESERVED_DESCRIPTORS: usize = 32;
/// Number of reserved descriptors that are used for clients accepted only to reject their requests.
const SHEDDING_DESCRIPTORS: usize = 8;
/// Divisor of the number of descriptors that gives the quota of the clients (page PROTOCOL).
const CLIENT_QUOTA_DIVISOR: usize = 3;
/// Divisor of the maximum number of connections that gives the number that clients beyond the guaranteed
/// number leave free for connections to workers.
const FREE_CONNECTION_DIVISOR: usize = 8;
/// Divisor of the memory limit that gives the limit on the unsent output of all connections together.
const UNSENT_OUTPUT_DIVISOR: usize = 6;
/// Divisor of the memory limit that gives the memory for open requests without their bodies.
const OPEN_REQUEST_DIVISOR: usize = 16;
/// Memory of an open request without its body, in all tables, in bytes.
const OPEN_REQUEST_BYTES: usize = 2 << 10;
/// Maximum number of open requests that the client connections share, whatever the memory. More would only wait
/// for each other.
const MAX_SHARED_OPEN_REQUESTS: usize = 1024;
const BYTES_PER_MEGABYTE: usize = 1 << 20;
/// Time added to the configured connect timeout: the platform's tolerance for a connect.
const CONNECT_TIMEOUT_ALLOWANCE: Span = Span::from_millis(50);

/// Sets the limits on the memory for the bodies of open requests and for unsent output.
pub(super) fn limit_memory(config: &SchedulerConfig, reactor: &mut Reactor) {
    let memory_bytes = config.memory_mb * BYTES_PER_MEGABYTE;
    let scheduler = &mut reactor.shared.scheduler;
    scheduler.set_memory_limit(memory_bytes);
    let affordable = memory_bytes / OPEN_REQUEST_DIVISOR / OPEN_REQUEST_BYTES;
    scheduler.share_open_requests(affordable.min(MAX_SHARED_OPEN_REQUESTS));
    reactor.max_unsent_bytes = memory_bytes / UNSENT_OUTPUT_DIVISOR;
}

/// Limits on the number of clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ClientLimits {
    /// Number of clients that are served regardless of the other connections.
    pub(super) guaranteed: usize,
    /// Number of connections of any kind at or above which a client beyond the guaranteed number is served
    /// only if an idle connection can be closed for it.
    pub(super) connections: usize,
    /// Number of connections of any kind at or above which a client is accepted only if an idle connection
    /// can be closed for it. Below it, a client of the frame protocol that cannot be served is accepted only
    /// to reject its requests.
    pub(super) shedding: usize,
}

/// Returns the limits on clients.
pub(super) fn client_limits(config: &SchedulerConfig) -> ClientLimits {
    let max_connections = max_connections(config);
    ClientLimits {
        guaranteed: guaranteed_clients(config),
        connections: max_connections - max_connections / FREE_CONNECTION_DIVISOR,
        shedding: max_connections + SHEDDING_DESCRIPTORS,
    }
}

/// Returns the guaranteed number of clients: their quota of the descriptors, but at most two thirds of all
/// connections, which leaves the rest for workers.
fn guaranteed_clients(config: &SchedulerConfig) -> usize {
    let quota = config.max_descriptors / CLIENT_QUOTA_DIVISOR;
    quota.min(max_connections(config) * 2 / 3)
}

/// Returns the limits on connections to workers.
pub(super) fn worker_limits(config: &SchedulerConfig) -> backend::Limits {
    let site = &config.site;
    backend::Limits {
        connect_timeout: Span(site.connect_timeout.0 + CONNECT_TIMEOUT_ALLOWANCE.0),
        max_outgoing_connections: max_connections(config) - guaranteed_clients(config),
        ..backend::Limits::for_site(site, max_connections(config))
    }
}

/// Returns the number of connections of any kind that the descriptors allow.
fn max_connections(config: &SchedulerConfig) -> usize {
    config.max_descriptors.saturating_sub(RESERVED_DESCRIPTORS)
}
