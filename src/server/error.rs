//! Errors that prevent the server from starting or stop it.

use crate::config::ConfigError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// An error that prevents the server from starting or stops it.
///
/// The text of most variants is that of the system error alone; the variant names the operation that failed.
#[derive(Debug, Error)]
pub enum ServerError {
    /// The configuration is unreadable or invalid.
    #[error(transparent)]
    Configuration(#[from] ConfigError),
    /// The event queue cannot be created.
    #[error(transparent)]
    Reactor(io::Error),
    /// A signal handler or its pipe cannot be installed.
    #[error(transparent)]
    SignalHandlers(io::Error),
    /// The listen address cannot be bound.
    #[error("{source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// System error that prevented the binding.
        source: io::Error,
    },
    /// The Unix socket of the JSON-RPC frontend cannot be bound.
    #[error("{source}")]
    JsonRpcSocket {
        /// The configured path.
        path: PathBuf,
        /// The system error, or `AddrInUse` if another process listens at the path.
        source: io::Error,
    },
    /// The address for VRRP advertisements cannot be bound.
    #[error("{source}")]
    VrrpSocket {
        /// The configured address.
        address: SocketAddr,
        /// System error that prevented the binding.
        source: io::Error,
    },
    /// Waiting for events failed.
    #[error(transparent)]
    Poll(io::Error),
}
