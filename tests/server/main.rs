//! The scheduler program on real sockets, between stand-in workers, a stand-in discovery service and clients.

mod crossings;
mod jsonrpc;
mod sockets;
#[path = "../support/mod.rs"]
mod support;
