//! Limits on descriptors and connections, derived from the configuration.

use super::memory_budget::MemoryBudget;
use crate::backend;
use crate::config::SchedulerConfig;
use crate::model::Span;

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
/// Time added to the configured connect timeout: the platform's tolerance for a connect.
const CONNECT_TIMEOUT_ALLOWANCE: Span = Span::from_millis(50);

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
        max_retired_ids: MemoryBudget::new(config.memory_mb).retired_ids(),
        ..backend::Limits::for_site(site, max_connections(config))
    }
}

/// Returns the number of connections of any kind that the descriptors allow.
fn max_connections(config: &SchedulerConfig) -> usize {
    config.max_descriptors.saturating_sub(RESERVED_DESCRIPTORS)
}
