//! Tests of the memory for the input of clients.

use crate::support::configuration::Configuration;
use crate::support::frame_client::{FrameClient, frame, frame_type, idempotent_frame, rejected, request};
use crate::support::jsonrpc_client::{JsonRpcClient, operator_file};
use crate::support::worker::{StandInWorker, echo};
use crate::support::worker_command::ReceivedCommand;
use crate::support::{IDEMPOTENT_CLASS, REQUEST_ID, request_id};
use serde_json::{Value, json};

/// Size of the largest request body (page PROTOCOL), in bytes.
const LARGEST_BODY: usize = 16 << 10;
/// The client's limits at which input takes the most of the memory (page TERMS).
const LEAST_MEMORY_MB: usize = 32;
const MOST_DESCRIPTORS: usize = 1024;

fn limits() -> Value {
    json!({"sockets": MOST_DESCRIPTORS, "memory_mb": LEAST_MEMORY_MB})
}

/// Returns most of a request whose frame is too long for the share of a connection.
fn most_of_a_large_frame() -> Vec<u8> {
    let payload = request(IDEMPOTENT_CLASS, REQUEST_ID, 2000, &[7; 31_000]);
    let mut bytes = frame(frame_type::REQUEST, 1, &payload);
    bytes.truncate(31_000);
    bytes
}

/// Guards against usual clients that lose requests because bad clients fill the memory for input with parts of
/// theirs (second review, case 6): a request sent whole beside an open one had no answer.
#[test]
fn a_largest_request_beside_an_open_one_is_served_while_parts_of_others_fill_the_memory() {
    let worker = StandInWorker::node_agent();
    let scheduler = Configuration::new(&[worker.address()]).limits(limits()).start();
    let slow = request_id(1);
    worker.serve(move |command: &ReceivedCommand| {
        (command.request_id() != slow).then(|| echo(command)).flatten()
    });
    let mut usual = FrameClient::connect(&scheduler);
    usual.send_idempotent(1, 2900, b"slow");
    let mut bad: Vec<_> = (0..200).map(|_| FrameClient::connect(&scheduler)).collect();
    for client in &mut bad {
        client.send_bytes(&most_of_a_large_frame());
    }
    scheduler.wait_for_counter("client_messages_rejected", 1);
    for n in 2..10 {
        usual.send_bytes(&idempotent_frame(n, 2900, &[5; LARGEST_BODY]));
        usual.expect_served(n, &[5; LARGEST_BODY]);
    }
    let last = bad.last_mut().expect("there are bad clients");
    let response = last.next_frame().expect("it is told at once");
    assert_eq!(response.code(), rejected(1).code(), "{response:?}");
}

/// Guards against JSON-RPC clients that fill the memory for input with a line (second review, case 6, on the other
/// frontend). The line is rejected, its rest skipped, and what follows served.
#[test]
fn a_line_without_memory_for_it_is_rejected_and_the_next_is_served() {
    let worker = StandInWorker::node_agent();
    let text = |folder: &_| operator_file(folder).replace("40000", "1000000");
    let scheduler = Configuration::new(&[worker.address()])
        .limits(json!({"sockets": MOST_DESCRIPTORS, "memory_mb": 8}))
        .operator_file(text)
        .start();
    worker.serve(echo);
    let mut client = JsonRpcClient::connect(&scheduler);
    client.send_bytes(&vec![b' '; 900_000]);
    client.expect_error(-32001);
    client.send_bytes(&vec![b' '; 900_000]);
    client.send_bytes(b"\n");
    client.send_idempotent(1, 2900, "aGk=");
    client.expect_body("aGk=");
    assert_eq!(scheduler.counter("client_messages_rejected"), 1);
}
