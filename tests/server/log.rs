//! A log that cannot be written costs no request: its disk is full, its reader has gone, or its reader has stalled.

use crate::support::configuration::Configuration;
use crate::support::frame_client::FrameClient;
use crate::support::refusing_address;
use crate::support::scheduler_process::SchedulerProcess;
use crate::support::worker::{StandInWorker, echo};
use std::fs::OpenOptions;
use std::io::{PipeReader, pipe};
use std::net::Ipv4Addr;
use std::process::Stdio;

/// Lines of the log that fill a pipe which nobody reads: each is some hundreds of bytes, and a pipe holds 64 KiB.
const LINES_TO_FILL_A_PIPE: usize = 400;

/// A scheduler whose log is written to `stderr`, reachable by clients.
fn start(host: Ipv4Addr, stderr: Stdio) -> SchedulerProcess {
    let worker = StandInWorker::node_agent();
    let configuration = Configuration::new(&[worker.address()]);
    worker.serve(echo);
    let mut scheduler = configuration.start_with_stderr(refusing_address(host), stderr);
    assert!(scheduler.becomes_responsive(), "ended, or never reachable");
    scheduler
}

/// A scheduler whose log goes to a pipe, and the end of that pipe at which the log would be read.
fn start_with_pipe(host: Ipv4Addr) -> (SchedulerProcess, PipeReader) {
    let (reader, writer) = pipe().unwrap();
    (start(host, Stdio::from(writer)), reader)
}

#[test]
fn scheduler_starts_and_serves_with_a_full_log_disk() {
    let full_disk = OpenOptions::new().write(true).open("/dev/full").unwrap();
    let mut scheduler = start(Ipv4Addr::new(127, 0, 7, 1), Stdio::from(full_disk));
    FrameClient::connect(&scheduler).assert_ready();
    scheduler.signal("USR1");
    FrameClient::connect(&scheduler).assert_ready();
    scheduler.signal("TERM");
    scheduler.expect_orderly_exit();
}

#[test]
fn scheduler_serves_after_the_log_pipe_is_closed() {
    let (mut scheduler, reader) = start_with_pipe(Ipv4Addr::new(127, 0, 7, 2));
    let mut client = FrameClient::connect(&scheduler);
    client.assert_ready();
    drop(reader);
    scheduler.signal("USR1");
    client.assert_ready();
    FrameClient::connect(&scheduler).assert_ready();
    scheduler.signal("TERM");
    scheduler.expect_orderly_exit();
}

#[test]
fn scheduler_serves_and_exits_while_the_log_pipe_is_full() {
    let (mut scheduler, _reader) = start_with_pipe(Ipv4Addr::new(127, 0, 7, 3));
    let mut client = FrameClient::connect(&scheduler);
    for _ in 0..LINES_TO_FILL_A_PIPE {
        scheduler.signal("USR1");
    }
    client.assert_ready();
    scheduler.signal("TERM");
    scheduler.expect_orderly_exit();
}
