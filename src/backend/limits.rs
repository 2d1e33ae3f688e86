//! Limits on connections to workers.

use crate::model::{Site, Span};

/// An idle connection is closed after this part of the time in which the worker would close it, so that no
/// request is written to a connection that the worker is closing.
const IDLE_TIMEOUT_FRACTION: f64 = 0.8;

/// Limits that all connections to workers share.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Attempts that one connection carries at a time.
    pub attempts_per_connection: usize,
    /// A connection with nothing open is closed after this time. It has to be shorter than the workers' own
    /// idle timeout, or a command could be written while the worker closes the connection.
    pub idle_timeout: Span,
    /// A connection that is not established within this time has failed.
    pub connect_timeout: Span,
    /// File descriptors that all connections of the process may take together.
    pub max_connections: usize,
    /// Of these, the connections at whose other end is no client may take so many.
    pub max_outgoing_connections: usize,
    /// Number of schedulers that connect to the same workers.
    pub schedulers: usize,
}

impl Limits {
    /// The limits that a site's settings give, with at most `max_connections` connections.
    pub fn for_site(site: &Site, max_connections: usize) -> Limits {
        Limits {
            attempts_per_connection: site.attempts_per_connection,
            idle_timeout: site.idle_timeout.mul_f64(IDLE_TIMEOUT_FRACTION),
            connect_timeout: site.connect_timeout,
            max_connections,
            max_outgoing_connections: max_connections,
            schedulers: site.settings.scheduler_count as usize,
        }
    }
}
