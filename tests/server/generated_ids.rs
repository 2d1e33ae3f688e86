//! Tests that ids which the scheduler makes itself differ between its processes.

use crate::support::IDEMPOTENT_CLASS;
use crate::support::deployment::deploy_jsonrpc;
use crate::support::jsonrpc_client::request;
use crate::support::settings::default_settings;
use serde_json::json;

/// Starts a scheduler and returns the id under which its worker gets the first call that has no `ref`.
fn id_of_first_call_without_ref() -> String {
    let (worker, _scheduler, mut client) = deploy_jsonrpc(default_settings());
    let mut call = request(&json!(1), IDEMPOTENT_CLASS, "", 2900, "YQ==");
    call["params"].as_object_mut().unwrap().remove("ref");
    client.send(&call);
    let mut command = worker.next_request();
    command.succeed("YQ==");
    client.expect_body("YQ==");
    command.request_id()
}

/// Guards against the response to a call before a restart, which a worker that discards repeats gives to a call
/// with the same id after it (review, case 3).
#[test]
fn calls_without_ref_get_other_ids_after_a_restart() {
    let first = id_of_first_call_without_ref();
    assert_eq!(first.len(), 16, "{first}");
    assert!(first.bytes().all(|byte| byte.is_ascii_hexdigit()), "{first}");
    assert_ne!(first, id_of_first_call_without_ref());
}
