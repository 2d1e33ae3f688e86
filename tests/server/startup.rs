//! What crosses the start of the program: signals, and a predecessor that has not gone yet.

use crate::support::configuration::Configuration;
use crate::support::frame_client::FrameClient;
use crate::support::refusing_address;
use crate::support::worker::{StandInWorker, echo};
use std::net::{Ipv4Addr, TcpListener};
use std::process::Stdio;
use std::thread;
use std::time::Duration;

/// The number of SIGHUP.
const SIGHUP: u32 = 1;

/// How long a predecessor holds the address on.
const STARTUP_BLOCK_TIME: Duration = Duration::from_millis(600);

/// An operator's script does not know whether the program has read its configuration yet.
#[test]
fn signals_before_the_configuration_is_read_do_not_end_the_program() {
    let worker = StandInWorker::node_agent();
    let configuration = Configuration::new(&[worker.address()]);
    worker.serve(echo);
    let address = refusing_address(Ipv4Addr::new(127, 0, 8, 1));
    let mut scheduler = configuration.start_with_config_pipe(address);
    scheduler.wait_for_signal_handler(SIGHUP);
    scheduler.signal("HUP");
    scheduler.signal("USR1");
    scheduler.write_config_in_background();
    assert!(scheduler.becomes_reachable(), "ended by a signal");
    // The reload that the signal asks for reads it once more.
    scheduler.write_config_in_background();
    FrameClient::connect(&scheduler).assert_ready();
}

/// A restart under the same address: the process before may hold it for a moment longer.
#[test]
fn startup_waits_until_a_predecessor_releases_the_address() {
    let worker = StandInWorker::node_agent();
    let configuration = Configuration::new(&[worker.address()]);
    worker.serve(echo);
    let predecessor = TcpListener::bind((Ipv4Addr::new(127, 0, 8, 2), 0)).unwrap();
    let address = predecessor.local_addr().unwrap();
    let mut scheduler = configuration.start_with_stderr(address, Stdio::null());
    thread::sleep(STARTUP_BLOCK_TIME);
    assert!(!scheduler.has_ended(), "gave up at once");
    drop(predecessor);
    assert!(scheduler.becomes_responsive());
    FrameClient::connect(&scheduler).assert_ready();
}

/// Nobody waits for a start that has been called off.
#[test]
fn sigterm_ends_a_start_that_waits_for_its_address() {
    let predecessor = TcpListener::bind((Ipv4Addr::new(127, 0, 8, 3), 0)).unwrap();
    let address = predecessor.local_addr().unwrap();
    let mut scheduler = Configuration::new(&[]).start_with_stderr(address, Stdio::null());
    scheduler.wait_for_signal_handler(SIGHUP);
    scheduler.signal("TERM");
    scheduler.expect_orderly_exit();
}

/// For a moment there is no descriptor for anything, not even for the pipes of the signal handlers.
#[test]
fn startup_waits_until_descriptors_are_available() {
    /// Room for the standard streams and for one file at a time, as the program is loaded.
    const DESCRIPTOR_LIMIT: usize = 4;
    let worker = StandInWorker::node_agent();
    let configuration = Configuration::new(&[worker.address()]);
    worker.serve(echo);
    let address = refusing_address(Ipv4Addr::new(127, 0, 8, 4));
    let mut scheduler = configuration.start_with_descriptor_limit(address, DESCRIPTOR_LIMIT);
    thread::sleep(STARTUP_BLOCK_TIME);
    assert!(!scheduler.has_ended(), "gave up at once");
    scheduler.limit_descriptors(256);
    assert!(scheduler.becomes_responsive());
    FrameClient::connect(&scheduler).assert_ready();
}
