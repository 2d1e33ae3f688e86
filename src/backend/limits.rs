//! Limits on connections to workers.

use crate::model::Span;

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
    /// Number of schedulers that connect to the same workers.
    pub schedulers: usize,
}
