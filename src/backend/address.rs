//! Where workers listen.

use std::net::SocketAddr;
use std::path::PathBuf;

/// The address of a worker, which also determines its wire format.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerAddress {
    /// A node agent on TCP.
    NodeAgent(SocketAddr),
    /// A JSON-RPC worker on a Unix socket of this host.
    JsonRpc(PathBuf),
}
