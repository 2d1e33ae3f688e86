//! End-to-end tests of the scheduler program on loopback sockets, with stand-ins for the workers, the
//! discovery service and the clients.

mod client_disconnect;
mod connection_limits;
mod correlation_ids;
mod discovery_outage;
mod discovery_watch;
mod frame_frontend;
mod frontend_equivalence;
mod generated_ids;
mod input_memory;
mod jsonrpc_frontend;
mod jsonrpc_workers;
mod log;
mod malformed_frames;
mod reload;
mod retries;
mod shutdown;
mod startup;
#[path = "../support/mod.rs"]
#[allow(dead_code, reason = "each test crate uses a part of the support code")]
mod support;
mod worker_failures;
