//! What the integration tests share: the scheduler program as a child process with its configuration, stand-ins
//! for its peers (clients, workers, the discovery service), and a driver for the policy alone.

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

/// No single wait of a test is longer. It ends a test that would hang, and decides nothing else.
pub(crate) const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// The function that a request names where a test needs only one.
pub(crate) const FUNCTION: &str = "7f3a9c21e0b4d655";

/// The id of a request where a test needs only one.
pub(crate) const REQUEST_ID: &str = "9b1f03aa5c7e2d41";

/// The idempotency key that every request of a stand-in client carries.
pub(crate) const IDEMPOTENCY_KEY: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

/// The class whose requests may be repeated freely, as named in [`settings::default_settings`].
pub(crate) const IDEMPOTENT_CLASS: &str = "practice-check";

/// The class whose requests may be repeated within the deduplication window of their key.
pub(crate) const KEYED_CLASS: &str = "credit-submit";

/// The id of a test's n-th request.
pub(crate) fn request_id(n: u32) -> String {
    format!("{n:016x}")
}

/// An address that refuses connections. Each test takes a host of its own on the loopback network, so that nobody
/// else takes the port over.
pub(crate) fn refusing_address(host: Ipv4Addr) -> SocketAddr {
    let listener = TcpListener::bind((host, 0)).unwrap();
    listener.local_addr().unwrap()
}
