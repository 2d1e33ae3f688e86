//! Tests that a response ends only its own attempt, and that repeated, late and unknown responses are
//! ignored.

use crate::support::deployment::{deploy, deploy_with_settings};
use crate::support::frame_client::{FrameClient, failed, request, served};
use crate::support::settings::large_fleet_settings;
use crate::support::worker_command::{CommandKind, WorkerStatus};
use crate::support::{IDEMPOTENT_CLASS, REQUEST_ID, request_id};
use serde_json::json;

/// A worker cannot distinguish two open requests with the same id, even if they come from different clients.
#[test]
fn request_with_the_id_of_an_open_request_fails() {
    let (worker, scheduler, mut client) = deploy();
    let mut other = FrameClient::connect(&scheduler);
    client.send_request(1, &request(IDEMPOTENT_CLASS, REQUEST_ID, 2900, b"a"));
    let mut command = worker.next_command();
    other.send_request(1, &request(IDEMPOTENT_CLASS, REQUEST_ID, 2900, b"b"));
    assert_eq!(other.next_frame(), Some(failed(1)));
    command.succeed("YQ==");
    client.expect_served(1, b"a");
    assert!(worker.is_idle());
    other.send_request(2, &request(IDEMPOTENT_CLASS, REQUEST_ID, 2900, b"b"));
    worker.next_command().succeed("Yg==");
    assert_eq!(other.next_frame(), Some(served(2, b"b")), "the id can be reused");
}

/// The late response to an expired request must not be mistaken for the response to a newer request with the
/// same id.
#[test]
fn late_response_of_an_expired_request_is_ignored() {
    let (worker, _scheduler, mut client) = deploy();
    client.send_request(1, &request(IDEMPOTENT_CLASS, REQUEST_ID, 1000, b"a"));
    let mut old = worker.next_command();
    // An idempotent request is rejected at its deadline; it does not fail.
    client.expect_rejection(1);
    assert_eq!(worker.next_command().kind(), CommandKind::Cancel);
    client.send_request(2, &request(IDEMPOTENT_CLASS, REQUEST_ID, 2900, b"b"));
    let mut new = worker.next_command();
    assert_ne!(old.connection, new.connection);
    old.succeed("b2xk");
    new.succeed("bmV3");
    client.expect_served(2, b"new");
    client.assert_ready();
}

#[test]
fn unexpected_worker_responses_do_not_affect_requests() {
    let (worker, _scheduler, mut client) = deploy();
    let unexpected = [
        json!({"verb": "200", "rid": "nobody"}),
        json!({"verb": "alive", "rid": REQUEST_ID}),
    ];
    for (n, line) in (0..).zip(&unexpected) {
        let stream = n + 1;
        client.send_request(stream, &request(IDEMPOTENT_CLASS, &request_id(n), 2900, b""));
        let mut command = worker.next_command();
        command.send_line(line);
        command.succeed("eA==");
        client.expect_served(stream, b"x");
        command.succeed("eQ==");
    }
    client.assert_ready();
}

/// A worker responds twice to the same attempt. The second response arrives after the request was sent to it
/// again, and does not end the new attempt.
#[test]
fn repeated_response_does_not_end_the_next_attempt() {
    for status in [WorkerStatus::AtCapacity, WorkerStatus::Error, WorkerStatus::Miss] {
        let (worker, _scheduler, mut client) = deploy_with_settings(large_fleet_settings());
        client.send_idempotent(1, 5_000, b"");
        let mut first = worker.next_request();
        first.fail(status);
        let mut retry = worker.next_request();
        assert_eq!(retry.request_id(), request_id(1), "{status:?}");
        first.fail(status);
        // This request is sent on the same connection and shows that the second response has been read.
        client.send_idempotent(2, 5_000, b"");
        let mut other = worker.next_request();
        assert_eq!(
            other.request_id(),
            request_id(2),
            "{status:?}: the new attempt continues"
        );
        other.succeed("eQ==");
        client.expect_served(2, b"y");
        retry.succeed("eA==");
        client.expect_served(1, b"x");
    }
}
