//! Tests of the JSON-RPC frontend: messages, batches, errors, limits and its socket.

use crate::support::configuration::Configuration;
use crate::support::deployment::deploy_jsonrpc;
use crate::support::jsonrpc_client::{JsonRpcClient, operator_file, request};
use crate::support::program::run_to_exit;
use crate::support::settings::default_settings;
use crate::support::temp_folder::TempFolder;
use crate::support::worker::{StandInWorker, echo};
use crate::support::worker_command::{CommandKind, WorkerStatus};
use crate::support::{IDEMPOTENT_CLASS, REQUEST_ID, request_id};
use serde_json::{Value, json};
use std::io::Write;
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::UnixListener;

#[test]
fn requests_are_served_and_ids_keep_their_types() {
    let (worker, _scheduler, mut client) = deploy_jsonrpc(default_settings());
    worker.serve(echo);
    let beyond_64_bits = serde_json::from_str("18446744073709551617").unwrap();
    for id in [json!("7"), json!(7), json!(-1.5), Value::Null, beyond_64_bits] {
        client.send(&request(&id, IDEMPOTENT_CLASS, REQUEST_ID, 2900, "aGk="));
        let expected = json!({"jsonrpc": "2.0", "id": id, "result": {"body": "aGk="}});
        assert_eq!(client.next_message(), expected);
    }
    client.assert_readiness(true);
}

#[test]
fn batch_has_one_reply_and_notifications_have_none() {
    let (worker, _scheduler, mut client) = deploy_jsonrpc(default_settings());
    let commands = worker.serve(echo);
    let mut notification = request(&Value::Null, IDEMPOTENT_CLASS, REQUEST_ID, 2900, "");
    notification.as_object_mut().unwrap().remove("id");
    client.send(&notification);
    client.send(&json!([notification, notification]));
    let batch = json!([
        request(&json!(1), IDEMPOTENT_CLASS, REQUEST_ID, 2900, "YQ=="),
        notification,
        5,
        request(&json!("b"), IDEMPOTENT_CLASS, "00000000000000aa", 2900, "Yg==")
    ]);
    client.send(&batch);
    let reply = client.next_message();
    let mut ids: Vec<String> = reply
        .as_array()
        .unwrap()
        .iter()
        .map(|message| message["id"].to_string())
        .collect();
    ids.sort();
    assert_eq!(ids, ["\"b\"", "1", "null"]);
    let requests = commands.count(CommandKind::Run);
    assert_eq!(requests, 2, "a request sent as a notification is ignored");
}

#[test]
fn malformed_line_gets_an_error_and_other_requests_continue() {
    let (worker, scheduler, mut client) = deploy_jsonrpc(default_settings());
    worker.serve(echo);
    let mut other = JsonRpcClient::connect(&scheduler);
    let too_long = format!("\"{}\"", "x".repeat(300_000));
    let cases = [
        ("{\"jsonrpc\"", -32700),
        ("[]", -32600),
        (too_long.as_str(), -32600),
        ("3", -32600),
    ];
    for (line, code) in cases {
        client.send_line(line);
        let reply = client.next_message();
        assert_eq!(
            (&reply["error"]["code"], &reply["id"]),
            (&json!(code), &Value::Null)
        );
    }
    for client in [&mut client, &mut other] {
        client.send_idempotent(1, 2900, "aGk=");
        client.expect_body("aGk=");
    }
    let mut half = JsonRpcClient::connect(&scheduler);
    half.send_bytes(b"{\"jsonrpc\":\"2.0\",");
    half.shutdown_write();
    assert_eq!(
        half.next_message()["error"]["code"],
        -32700,
        "the line has no terminator"
    );
}

/// A line must be complete within a time limit. When a new client connects beyond the limit on clients, an
/// idle connection is closed.
#[test]
fn incomplete_line_times_out_and_idle_clients_are_closed_for_new_ones() {
    let worker = StandInWorker::node_agent();
    let scheduler = Configuration::new(&[worker.address()])
        .operator_file(|folder| format!("{}max_clients = 2\n", operator_file(folder)))
        .start();
    let mut half = JsonRpcClient::connect(&scheduler);
    half.send_bytes(b"{\"jsonrpc\":");
    half.expect_error(-32700);
    half.expect_close();
    let _silent = [
        JsonRpcClient::connect(&scheduler),
        JsonRpcClient::connect(&scheduler),
    ];
    for _ in 0..2 {
        let mut client = JsonRpcClient::connect(&scheduler);
        client.send_idempotent(1, 2900, "");
        worker.next_command().succeed("eA==");
        client.expect_body("eA==");
    }
}

/// A client that does not read its responses must not fill the scheduler's memory, and must get all of them
/// once it reads again.
#[test]
fn unread_output_applies_backpressure_to_input() {
    let (_worker, scheduler, mut client) = deploy_jsonrpc(default_settings());
    let mut write_half = client.try_clone_stream();
    let count = 40_000;
    let writer = std::thread::spawn(move || {
        for n in 0..count {
            let line = format!("{{\"jsonrpc\":\"2.0\",\"id\":{n},\"method\":\"sing\"}}\n");
            write_half.write_all(line.as_bytes()).unwrap();
        }
    });
    scheduler.wait_for_counter("client_connections_malformed", 1000);
    for n in 0..count {
        assert_eq!(client.next_message()["id"], json!(n));
    }
    writer.join().unwrap();
}

#[test]
fn rejections_failures_and_deadlines_have_their_error_codes() {
    let (worker, _scheduler, mut client) = deploy_jsonrpc(default_settings());
    client.send(&request(&json!(1), "no-such-class", REQUEST_ID, 2900, ""));
    client.expect_error(-32002);
    client.send_idempotent(2, 2900, "");
    for _ in 0..3 {
        worker.next_command().fail(WorkerStatus::AtCapacity);
    }
    let error = client.next_message()["error"].clone();
    assert_eq!(
        (&error["code"], &error["data"]["cooldown_ms"]),
        (&json!(-32001), &json!(250))
    );
    client.send_idempotent(3, 1000, "");
    assert_eq!(worker.next_command().kind(), CommandKind::Run);
    let error = client.next_message()["error"].clone();
    assert_eq!(
        (&error["code"], &error["data"]["outcome"]),
        (&json!(-32003), &json!("refused"))
    );
    assert_eq!(worker.next_command().kind(), CommandKind::Cancel);
}

#[test]
fn cancelled_request_and_closed_connection_leak_nothing() {
    let (worker, scheduler, mut client) = deploy_jsonrpc(default_settings());
    client.send_idempotent(1, 2900, "");
    let mut command = worker.next_command();
    client.send_line(r#"{"jsonrpc":"2.0","method":"cancel","params":{"id":"1"}}"#);
    client.send_line(r#"{"jsonrpc":"2.0","method":"cancel","params":{"id":1}}"#);
    client.expect_error(-32004);
    command.succeed("");
    // The id of the cancelled request can be reused.
    client.send(&request(&json!(1), IDEMPOTENT_CLASS, &request_id(2), 2900, ""));
    worker.next_command();
    drop(client);
    scheduler.wait_for_counter("requests_cancelled", 2);
    scheduler.assert_counters([("requests_received", 2), ("responses_served", 0), ("panics", 0)]);
    let mut other = JsonRpcClient::connect(&scheduler);
    other.assert_readiness(true);
}

#[test]
fn stale_sockets_are_replaced_and_other_files_left_alone() {
    let worker = StandInWorker::node_agent();
    let folder = TempFolder::new();
    let path = folder.file("calls.sock");
    let start_fails = || {
        let config = json!({"listen": "127.0.0.1:0", "settings": default_settings()});
        !run_to_exit(&folder, &config, &format!("[jsonrpc]\nsocket = {path:?}\n")).success()
    };
    std::fs::write(&path, "precious").unwrap();
    assert!(
        start_fails(),
        "the start succeeded over a file that is not a socket"
    );
    assert_eq!(std::fs::read_to_string(&path).unwrap(), "precious");
    std::fs::remove_file(&path).unwrap();
    let listener = UnixListener::bind(&path).unwrap();
    assert!(start_fails(), "the start succeeded over a socket in use");
    drop(listener);
    let mut scheduler = Configuration::new(&[worker.address()])
        .operator_file(|_| format!("[jsonrpc]\nsocket = {path:?}\nmode = \"600\"\n"))
        .start();
    assert_eq!(
        std::fs::metadata(&path).unwrap().permissions().mode() & 0o777,
        0o600
    );
    JsonRpcClient::connect_to(&path);
    scheduler.signal("TERM");
    scheduler.wait_for_exit();
    assert!(!path.exists(), "the socket is removed on exit");
}
