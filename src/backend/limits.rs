//! Limits on connections to workers.

use crate::model::{Site, Span};

/// Idle timeout of a connection, as a fraction of the worker's own idle timeout. It is below 1 so that no
/// request is written to a connection that the worker is closing.
const IDLE_TIMEOUT_FRACTION: f64 = 0.8;

/// The limits on connections to workers.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of open attempts on one connection.
    pub attempts_per_connection: usize,
    /// Time after which a connection without open exchanges is closed. It must be shorter than the workers'
    /// own idle timeout; otherwise a command could be written while the worker closes the connection.
    pub idle_timeout: Span,
    /// Time within which a connection must be established; after that, it has failed.
    pub connect_timeout: Span,
    /// Maximum number of connections of the process, client connections included.
    pub max_connections: usize,
    /// Maximum number of connections, out of `max_connections`, that are not client connections.
    pub max_outgoing_connections: usize,
    /// Number of schedulers that connect to the same workers.
    pub schedulers: usize,
    /// Maximum number of retired correlation ids that all connections together keep, beyond a few for each.
    pub max_retired_ids: usize,
}

impl Limits {
    /// Returns the limits from a site's settings, with at most `max_connections` connections.
    pub fn for_site(site: &Site, max_connections: usize) -> Limits {
        Limits {
            attempts_per_connection: site.attempts_per_connection,
            idle_timeout: site.idle_timeout.mul_f64(IDLE_TIMEOUT_FRACTION),
            connect_timeout: site.connect_timeout,
            max_connections,
            max_outgoing_connections: max_connections,
            schedulers: site.settings.scheduler_count as usize,
            max_retired_ids: usize::MAX,
        }
    }
}
