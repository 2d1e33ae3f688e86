//! Addresses of workers.

use std::net::SocketAddr;
use std::path::PathBuf;

/// The address of a worker. The kind of address determines the wire format.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerAddress {
    /// The TCP address of a node agent.
    NodeAgent(SocketAddr),
    /// The path of the Unix socket of a JSON-RPC worker on this host.
    JsonRpc(PathBuf),
}
