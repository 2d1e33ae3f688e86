//! Tests of malformed, incomplete and oversized input to the frame frontend.

use crate::support::configuration::Configuration;
use crate::support::deployment::deploy;
use crate::support::frame_client::{FrameClient, failed, frame, frame_type, request};
use crate::support::scheduler_process::SchedulerProcess;
use crate::support::worker::{StandInWorker, echo};
use crate::support::{IDEMPOTENT_CLASS, REQUEST_ID};
use serde_json::json;
use std::io::Write;

/// Frame type that clients do not send.
const UNKNOWN_TYPE: u8 = 3;

/// Returns a valid request with the body `x` on stream 1.
fn valid_request() -> Vec<u8> {
    let payload = request(IDEMPOTENT_CLASS, REQUEST_ID, 2000, b"x");
    frame(frame_type::REQUEST, 1, &payload)
}

#[test]
fn malformed_input_closes_only_its_own_connection() {
    let (worker, scheduler, mut other) = deploy();
    worker.serve(echo);
    let good = valid_request();
    let to_stream_0 = request(IDEMPOTENT_CLASS, REQUEST_ID, 2000, b"");
    let cases: Vec<(&str, Vec<u8>)> = vec![
        ("length 0", vec![0; 4]),
        ("length above the limit", vec![0, 4, 0, 1]),
        ("unknown type", frame(UNKNOWN_TYPE, 1, &[])),
        ("stream 0", frame(frame_type::REQUEST, 0, &to_stream_0)),
        ("truncated fields", frame(frame_type::REQUEST, 1, &[5, 1])),
        (
            "fields that are not UTF-8",
            frame(frame_type::REQUEST, 1, &[1, 1, 0xff, 0, 0]),
        ),
        ("a reused stream", [good.clone(), good.clone()].concat()),
    ];
    for (case, bytes) in cases {
        let mut client = FrameClient::connect(&scheduler);
        client.send_bytes(&bytes);
        assert_eq!(client.frames_until_close().last(), Some(&failed(0)), "{case}");
    }
    other.send_bytes(&good);
    other.expect_served(1, b"x");
    assert_eq!(scheduler.counter("panics"), 0);
}

/// The connection of a client that sends nothing, half a frame or an endless frame is closed, so that it
/// occupies neither a descriptor nor a buffer.
#[test]
fn incomplete_and_endless_input_closes_the_connection() {
    let worker = StandInWorker::node_agent();
    let scheduler = SchedulerProcess::start(&[worker.address()]);
    worker.serve(echo);
    let good = valid_request();
    let mut silent = FrameClient::connect(&scheduler);
    assert_eq!(silent.next_frame(), None, "a silent connection is closed");
    let mut half = FrameClient::connect(&scheduler);
    half.send_bytes(&good[..20]);
    assert_eq!(half.next_frame(), Some(failed(0)));
    assert_eq!(half.next_frame(), None);
    // One client sends a frame of 60 MB without a pause while another is served.
    let mut huge = FrameClient::connect(&scheduler).stream;
    let writer = std::thread::spawn(move || {
        let chunk = vec![0; 1 << 20];
        let length = 60_000_000u32.to_be_bytes();
        huge.write_all(&length)
            .and_then(|()| (0..60).try_for_each(|_| huge.write_all(&chunk)))
    });
    let mut client = FrameClient::connect(&scheduler);
    client.send_bytes(&good);
    client.expect_served(1, b"x");
    assert!(
        writer.join().unwrap().is_err(),
        "the connection is closed before the whole frame is read"
    );
}

/// Returns the peak resident memory of a process, in megabytes.
fn peak_resident_mb(process_id: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<usize>().unwrap() / 1024
}

/// Many clients send long frames that they never complete. The scheduler must not buffer them.
#[test]
fn flood_of_long_frames_stays_within_the_memory_limit() {
    let worker = StandInWorker::node_agent();
    let limits = json!({"sockets": 256, "memory_mb": 32});
    let scheduler = Configuration::new(&[worker.address()]).limits(limits).start();
    worker.serve(echo);
    let mut unfinished = frame(frame_type::REQUEST, 1, &[7; 250_000]);
    unfinished.truncate(200_000);
    let mut clients: Vec<_> = (0..150).map(|_| FrameClient::connect(&scheduler)).collect();
    for client in &mut clients {
        client.send_bytes(&unfinished);
        assert_eq!(
            client.next_frame(),
            Some(failed(1)),
            "the request fails once its length is known"
        );
    }
    let mut client = FrameClient::connect(&scheduler);
    client.assert_ready();
    let resident_mb = peak_resident_mb(scheduler.process_id());
    assert!(resident_mb < 32, "{resident_mb} MB resident");
}
