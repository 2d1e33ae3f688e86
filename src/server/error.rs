//! Why the server stops without having been asked to.

use crate::config::ConfigError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Why the server can't start, or can't go on. Its text is the system's; the variant says what failed.
#[derive(Debug, Error)]
pub enum ServerError {
    /// The configuration can't be used.
    #[error(transparent)]
    Configuration(#[from] ConfigError),
    /// The system provides no event queue.
    #[error(transparent)]
    Reactor(io::Error),
    /// A signal handler or its pipe can't be installed.
    #[error(transparent)]
    SignalHandlers(io::Error),
    /// The address for clients can't be bound.
    #[error("{source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The JSON-RPC frontend's Unix socket can't be bound.
    #[error("{source}")]
    JsonRpcSocket {
        /// The configured path.
        path: PathBuf,
        /// The system's error, or that the path is in use.
        source: io::Error,
    },
    /// The address for VRRP advertisements can't be bound.
    #[error("{source}")]
    VrrpSocket {
        /// The configured address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// Waiting for events failed.
    #[error(transparent)]
    Poll(io::Error),
}
