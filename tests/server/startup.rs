//! Tests of events during startup: signals, an address that a previous process still holds, and a lack of
//! descriptors.

use crate::support::configuration::Configuration;
use crate::support::frame_client::FrameClient;
use crate::support::refusing_address;
use crate::support::worker::{StandInWorker, echo};
use std::net::{Ipv4Addr, TcpListener};
use std::process::Stdio;
use std::thread;
use std::time::Duration;

/// Signal number of SIGHUP.
const SIGHUP: u32 = 1;

/// Time for which the address or the descriptors are unavailable to the starting process.
const STARTUP_BLOCK_TIME: Duration = Duration::from_millis(600);

/// Operators' scripts send signals without knowing whether the program has read its configuration yet.
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
    assert!(scheduler.becomes_reachable(), "the signals ended the scheduler");
    // The reload that SIGHUP requested reads the configuration again.
    scheduler.write_config_in_background();
    FrameClient::connect(&scheduler).assert_ready();
}

/// On a restart with the same address, the previous process may hold the address for a short time.
#[test]
fn startup_waits_until_a_predecessor_releases_the_address() {
    let worker = StandInWorker::node_agent();
    let configuration = Configuration::new(&[worker.address()]);
    worker.serve(echo);
    let predecessor = TcpListener::bind((Ipv4Addr::new(127, 0, 8, 2), 0)).unwrap();
    let address = predecessor.local_addr().unwrap();
    let mut scheduler = configuration.start_with_stderr(address, Stdio::null());
    thread::sleep(STARTUP_BLOCK_TIME);
    assert!(!scheduler.has_ended(), "the startup did not wait");
    drop(predecessor);
    assert!(scheduler.becomes_responsive());
    FrameClient::connect(&scheduler).assert_ready();
}

/// SIGTERM ends the program while it waits for its address, instead of after the wait.
#[test]
fn sigterm_ends_a_start_that_waits_for_its_address() {
    let predecessor = TcpListener::bind((Ipv4Addr::new(127, 0, 8, 3), 0)).unwrap();
    let address = predecessor.local_addr().unwrap();
    let mut scheduler = Configuration::new(&[]).start_with_stderr(address, Stdio::null());
    scheduler.wait_for_signal_handler(SIGHUP);
    scheduler.signal("TERM");
    scheduler.expect_successful_exit();
}

/// Descriptors are briefly unavailable, even for the pipes of the signal handlers.
#[test]
fn startup_waits_until_descriptors_are_available() {
    /// Enough for the standard streams and for one file at a time while the program is loaded.
    const DESCRIPTOR_LIMIT: usize = 4;
    let worker = StandInWorker::node_agent();
    let configuration = Configuration::new(&[worker.address()]);
    worker.serve(echo);
    let address = refusing_address(Ipv4Addr::new(127, 0, 8, 4));
    let mut scheduler = configuration.start_with_descriptor_limit(address, DESCRIPTOR_LIMIT);
    thread::sleep(STARTUP_BLOCK_TIME);
    assert!(!scheduler.has_ended(), "the startup did not wait");
    scheduler.limit_descriptors(256);
    assert!(scheduler.becomes_responsive());
    FrameClient::connect(&scheduler).assert_ready();
}
