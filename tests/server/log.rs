//! Tests that requests are served while the log cannot be written, because the disk is full, the pipe is
//! closed or the reader has stalled.

use crate::support::configuration::Configuration;
use crate::support::frame_client::FrameClient;
use crate::support::refusing_address;
use crate::support::scheduler_process::SchedulerProcess;
use crate::support::worker::{StandInWorker, echo};
use std::fs::OpenOptions;
use std::io::{PipeReader, pipe};
use std::net::Ipv4Addr;
use std::process::Stdio;

/// Number of log lines that fill an unread pipe. A line has some hundreds of bytes, and a pipe holds 64 KiB.
const LINES_TO_FILL_A_PIPE: usize = 400;

/// Starts a scheduler that logs to `stderr` and waits until it responds to clients.
fn start(host: Ipv4Addr, stderr: Stdio) -> SchedulerProcess {
    let worker = StandInWorker::node_agent();
    let configuration = Configuration::new(&[worker.address()]);
    worker.serve(echo);
    let mut scheduler = configuration.start_with_stderr(refusing_address(host), stderr);
    assert!(
        scheduler.becomes_responsive(),
        "the scheduler exited or never responded"
    );
    scheduler
}

/// Starts a scheduler that logs to a pipe, and returns it with the read end of the pipe.
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
    scheduler.expect_successful_exit();
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
    scheduler.expect_successful_exit();
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
    scheduler.expect_successful_exit();
}
