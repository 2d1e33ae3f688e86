//! The scheduler program on real sockets, between stand-in workers, a stand-in discovery service and clients.

mod client_disconnect;
mod connection_limits;
mod correlation_ids;
mod discovery_watch;
mod frame_frontend;
mod frontend_equivalence;
mod jsonrpc_frontend;
mod jsonrpc_workers;
mod malformed_frames;
mod reload;
mod retries;
mod shutdown;
#[path = "../support/mod.rs"]
#[allow(dead_code, reason = "each test crate uses a part of the support code")]
mod support;
mod worker_failures;
