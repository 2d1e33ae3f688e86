//! Tests of requests and responses on the frame frontend.

use crate::support::deployment::deploy;
use crate::support::frame_client::{
    FrameClient, failed, frame, frame_type, idempotent_frame, payload, request, served,
};
use crate::support::worker::echo;
use crate::support::{IDEMPOTENCY_KEY, IDEMPOTENT_CLASS, KEYED_CLASS, REQUEST_ID, request_id};
use serde_json::json;

/// Encoded request with a body of 256 bytes, without the body itself, as the page PROTOCOL defines it.
const REQUEST_WITHOUT_BODY: &[&[u8]] = &[
    b"\x00\x00\x01\xaa", // length: 426 bytes follow
    b"\x00",             // type: request
    b"\x00\x00\x00\x01", // stream
    b"\x06",             // number of fields
    b"\x07service\x00\x0epractice-check",
    b"\x03ref\x00\x109b1f03aa5c7e2d41",
    b"\x05allow\x00\x042000",
    b"\x06lookup\x00\x107f3a9c21e0b4d655",
    b"\x06replay\x00\x205c0f6e1a2b3d4c59a8b7c6d5e4f30211",
    b"\x04spec\x00\x21memory_mb:512;lanes:2;load_ms:640",
];

#[test]
fn requests_are_served_whether_bytes_arrive_singly_or_joined() {
    let (worker, _scheduler, mut client) = deploy();
    let commands = worker.serve(echo);
    let body: Vec<u8> = (0..=255).collect();
    let bytes = [&REQUEST_WITHOUT_BODY.concat()[..], &body].concat();
    let payload = request(IDEMPOTENT_CLASS, REQUEST_ID, 2000, &body);
    let encoded = frame(frame_type::REQUEST, 1, &payload);
    assert_eq!(
        encoded, bytes,
        "the encoder of the tests differs from the page PROTOCOL"
    );
    for byte in bytes {
        client.send_bytes(&[byte]);
    }
    client.expect_served(1, &body);
    let joined: Vec<u8> = (2..10u8)
        .flat_map(|n| idempotent_frame(n.into(), 2000, &[n]))
        .collect();
    client.send_bytes(&joined);
    let mut responses: Vec<_> = (2..10).map(|_| client.next_frame().unwrap()).collect();
    responses.sort();
    assert_eq!(
        responses,
        (2..10).map(|n| served(n, &[n as u8])).collect::<Vec<_>>()
    );
    let first = commands.first_message();
    assert_eq!(
        (&first["rid"], &first["attrs"]["lane"]),
        (&json!(REQUEST_ID), &json!("practice-check"))
    );
    assert_eq!(first["attrs"]["dedupe"], IDEMPOTENCY_KEY);
}

#[test]
fn invalid_request_fails_and_its_connection_stays_open() {
    let (worker, _scheduler, mut client) = deploy();
    worker.serve(echo);
    let bad_function = [
        ("service", IDEMPOTENT_CLASS),
        ("ref", REQUEST_ID),
        ("allow", "9"),
        ("lookup", "zz"),
    ];
    let cases = [
        request("no-such-class", REQUEST_ID, 2000, b""),
        request(IDEMPOTENT_CLASS, "not hex", 2000, b""),
        payload(&bad_function, b""),
        request(IDEMPOTENT_CLASS, REQUEST_ID, 2000, &[0; 16 * 1024 + 1]),
    ];
    for (stream, payload) in (1..).zip(&cases) {
        client.send_request(stream, payload);
        assert_eq!(client.next_frame(), Some(failed(stream)), "case {stream}");
    }
    client.send_idempotent(9, 2000, b"x");
    client.expect_served(9, b"x");
}

/// Part of a request arrives shortly before its connection would be closed as idle. The connection stays
/// open.
#[test]
fn connection_is_not_closed_as_idle_during_a_partial_request() {
    let (worker, scheduler, mut client) = deploy();
    worker.serve(|command| echo(command).filter(|_| command.message["attrs"]["lane"] != KEYED_CLASS));
    let mut timer = FrameClient::connect(&scheduler);
    client.send_idempotent(1, 3_000, b"x");
    client.expect_served(1, b"x");
    // Requests that get no response from a worker serve as timers: one is rejected after 4.2 s, the next
    // 1.2 s later.
    let mut wait_ms = |stream: u32, milliseconds| {
        let unserved = request(KEYED_CLASS, &request_id(100 + stream), milliseconds, b"");
        timer.send_request(stream, &unserved);
        timer.expect_rejection(stream);
    };
    wait_ms(1, 4_200);
    let bytes = idempotent_frame(2, 3_000, b"y");
    let (begin, rest) = bytes.split_at(30);
    client.send_bytes(begin);
    wait_ms(2, 1_200);
    client.send_bytes(rest);
    client.expect_served(2, b"y");
}
