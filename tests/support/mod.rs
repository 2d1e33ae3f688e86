//! Support code of the integration tests: the scheduler program as a child process with its configuration,
//! stand-ins for its peers (clients, workers, the discovery service), and a harness that drives the policy
//! without a scheduler.

pub(crate) mod closing_stream;
pub(crate) mod configuration;
pub(crate) mod deployment;
pub(crate) mod discovery;
pub(crate) mod frame_client;
pub(crate) mod jsonrpc_client;
pub(crate) mod policy_fixtures;
pub(crate) mod policy_harness;
pub(crate) mod process_log;
pub(crate) mod program;
pub(crate) mod raw_worker;
pub(crate) mod scheduler_process;
pub(crate) mod settings;
pub(crate) mod simulator_wire;
pub(crate) mod temp_folder;
pub(crate) mod worker;
pub(crate) mod worker_command;

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::Duration;

/// The upper limit of each single wait in a test.
///
/// It ends a test that would otherwise hang; no expected result depends on it.
pub(crate) const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// The function of the requests in a test that needs only one function.
pub(crate) const FUNCTION: &str = "7f3a9c21e0b4d655";

/// The id of the request in a test that needs only one request.
pub(crate) const REQUEST_ID: &str = "9b1f03aa5c7e2d41";

/// The idempotency key in the requests of the stand-in clients.
pub(crate) const IDEMPOTENCY_KEY: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

/// The class of [`settings::default_settings`] whose requests may always be retried.
pub(crate) const IDEMPOTENT_CLASS: &str = "practice-check";

/// The class of [`settings::default_settings`] whose requests may be retried within the deduplication window
/// of their key.
pub(crate) const KEYED_CLASS: &str = "credit-submit";

/// Returns the id of request number `n` of a test.
pub(crate) fn request_id(n: u32) -> String {
    format!("{n:016x}")
}

/// Returns an address that refuses connections.
///
/// Each test uses its own host on the loopback network, so that no other socket is bound to the same address.
pub(crate) fn refusing_address(host: Ipv4Addr) -> SocketAddr {
    let listener = TcpListener::bind((host, 0)).unwrap();
    listener.local_addr().unwrap()
}
