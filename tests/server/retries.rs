//! The deduplication window of keyed requests, on both front ends.

use crate::support::configuration::Configuration;
use crate::support::frame_client::{FrameClient, request};
use crate::support::jsonrpc_client::{self, JsonRpcClient, operator_file};
use crate::support::scheduler_process::SchedulerProcess;
use crate::support::settings::deduplication_window_settings;
use crate::support::worker::StandInWorker;
use crate::support::{IDEMPOTENCY_KEY, KEYED_CLASS, REQUEST_ID};
use serde_json::json;

/// After a reset the request may have run: outside its key's deduplication window it must not be sent again.
#[test]
fn keyed_request_is_retried_only_inside_its_window() {
    for (window_ns, expected_attempts) in [(6_000_000_000, 3), (1, 1)] {
        let worker = StandInWorker::node_agent();
        let settings = deduplication_window_settings(window_ns);
        let scheduler = SchedulerProcess::start_with_settings(&[worker.address()], settings);
        let mut client = FrameClient::connect(&scheduler);
        client.send_request(1, &request(KEYED_CLASS, REQUEST_ID, 2900, b""));
        let mut keys = Vec::new();
        for _ in 0..expected_attempts {
            let command = worker.next_command();
            keys.push(command.message["attrs"]["dedupe"].clone());
            command.close_connection();
        }
        // The deduplication scope is all workers, so the request is rejected and not failed.
        client.expect_rejection(1);
        client.assert_ready();
        assert!(worker.is_idle(), "window {window_ns}");
        assert!(keys.iter().all(|key| key == IDEMPOTENCY_KEY));
    }
}

/// A keyed request is not resent beyond its key's window by the JSON-RPC front end either.
#[test]
fn keyed_jsonrpc_request_outside_its_window_is_sent_once() {
    let worker = StandInWorker::node_agent();
    let scheduler = Configuration::new(&[worker.address()])
        .settings(deduplication_window_settings(1))
        .operator_file(operator_file)
        .start();
    let mut client = JsonRpcClient::connect(&scheduler);
    client.send(&jsonrpc_client::request(
        &json!(1),
        KEYED_CLASS,
        REQUEST_ID,
        2900,
        "",
    ));
    worker.next_command().close_connection();
    assert_eq!(client.next_message()["error"]["code"], -32001);
    client.send_line(r#"{"jsonrpc":"2.0","id":2,"method":"ready"}"#);
    assert_eq!(client.next_message()["id"], 2);
    assert!(worker.is_idle());
}
