//! Tests of the deduplication window of keyed requests on both frontends.

use crate::support::deployment::{deploy_jsonrpc, deploy_with_settings};
use crate::support::frame_client;
use crate::support::jsonrpc_client::request;
use crate::support::settings::deduplication_window_settings;
use crate::support::{IDEMPOTENCY_KEY, KEYED_CLASS, REQUEST_ID};
use serde_json::json;

/// A request may have run before its connection was reset, so it must not be sent again outside the
/// deduplication window of its key.
#[test]
fn keyed_request_is_retried_only_inside_its_window() {
    for (window_ns, expected_attempts) in [(6_000_000_000, 3), (1, 1)] {
        let settings = deduplication_window_settings(window_ns);
        let (worker, _scheduler, mut client) = deploy_with_settings(settings);
        client.send_request(1, &frame_client::request(KEYED_CLASS, REQUEST_ID, 2900, b""));
        let mut keys = Vec::new();
        for _ in 0..expected_attempts {
            let command = worker.next_command();
            keys.push(command.message["attrs"]["dedupe"].clone());
            command.close_connection();
        }
        // The deduplication scope is all workers, so the request is rejected; it does not fail.
        client.expect_rejection(1);
        client.assert_ready();
        assert!(
            worker.is_idle(),
            "window of {window_ns} ns: the request was sent again"
        );
        assert!(keys.iter().all(|key| key == IDEMPOTENCY_KEY));
    }
}

/// Requests from the JSON-RPC frontend follow the same rule: outside the deduplication window they are sent
/// once.
#[test]
fn keyed_jsonrpc_request_outside_its_window_is_sent_once() {
    let (worker, _scheduler, mut client) = deploy_jsonrpc(deduplication_window_settings(1));
    client.send(&request(&json!(1), KEYED_CLASS, REQUEST_ID, 2900, ""));
    worker.next_command().close_connection();
    client.expect_error(-32001);
    client.assert_readiness(true);
    assert!(worker.is_idle());
}
