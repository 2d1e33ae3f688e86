//! Tests of workers that speak JSON-RPC on Unix sockets.

use crate::support::configuration::Configuration;
use crate::support::frame_client::FrameClient;
use crate::support::jsonrpc_client::{JsonRpcClient, operator_file, request};
use crate::support::scheduler_process::SchedulerProcess;
use crate::support::settings::{default_settings, health_check_settings};
use crate::support::temp_folder::TempFolder;
use crate::support::worker::StandInWorker;
use crate::support::worker_command::{CommandKind, ReceivedCommand, WorkerStatus};
use crate::support::{IDEMPOTENCY_KEY, KEYED_CLASS, REQUEST_ID, WAIT_LIMIT, request_id};
use serde_json::{Value, json};
use std::path::PathBuf;
use std::time::Instant;

/// Starts a scheduler whose only workers speak JSON-RPC on the sockets at `worker_paths`.
fn start(settings: Value, worker_paths: &[PathBuf]) -> SchedulerProcess {
    let worker =
        |(n, path): (usize, &PathBuf)| format!("[[checkers]]\nid = \"s-0000c00{n}\"\nsocket = {path:?}\n");
    let workers: String = worker_paths.iter().enumerate().map(worker).collect();
    Configuration::new(&[])
        .settings(settings)
        .operator_file(|folder| operator_file(folder) + &workers)
        .start()
}

/// Duplicate ids and unreadable responses are handled in the same way as for node agents.
#[test]
fn duplicate_id_and_unreadable_response_do_not_affect_other_requests() {
    let folder = TempFolder::new();
    let path = folder.file("worker.sock");
    let worker = StandInWorker::jsonrpc(&path);
    let scheduler = start(default_settings(), &[path]);
    let mut client = JsonRpcClient::connect(&scheduler);
    let mut other = JsonRpcClient::connect(&scheduler);
    client.send_idempotent(1, 60_000, "YQ==");
    let mut command = worker.next_command();
    other.send_idempotent(1, 60_000, "Yg==");
    other.expect_error(-32002);
    command.send_bytes(b"[\n");
    let mut retry = worker.next_command();
    assert_eq!(retry.request_id(), request_id(1));
    retry.succeed("eA==");
    client.expect_body("eA==");
}

#[test]
fn jsonrpc_worker_serves_both_frontends_under_the_same_rules() {
    let folder = TempFolder::new();
    let path = folder.file("worker.sock");
    let worker = StandInWorker::jsonrpc(&path);
    let scheduler = start(default_settings(), &[path]);
    let mut client = JsonRpcClient::connect(&scheduler);
    client.send(&request(&json!(1), KEYED_CLASS, REQUEST_ID, 2900, "aGk="));
    let mut command = worker.expect_command(CommandKind::Run, REQUEST_ID);
    assert_eq!(command.message["params"]["key"], IDEMPOTENCY_KEY);
    command.fail(WorkerStatus::Error);
    worker.next_command().succeed("YQ==");
    client.expect_body("YQ==");
    let mut frame_client = FrameClient::connect(&scheduler);
    frame_client.send_idempotent(1, 2900, b"");
    worker.next_command().succeed("Yg==");
    frame_client.expect_served(1, b"b");
    frame_client.send_idempotent(2, 1000, b"");
    worker.next_command();
    frame_client.expect_rejection(2);
    assert_eq!(worker.next_command().kind(), CommandKind::Cancel);
}

/// Commands that the workers have received while their requests have no response.
#[derive(Default)]
struct ReceivedWhileSilent {
    requests: Vec<ReceivedCommand>,
    health_checks: usize,
    loads: usize,
}

impl ReceivedWhileSilent {
    /// Stores a request without responding to it, and responds to a health check or a load order.
    fn handle_command(&mut self, mut command: ReceivedCommand) {
        match command.kind() {
            CommandKind::Run => self.requests.push(command),
            CommandKind::HealthCheck => {
                self.health_checks += 1;
                let id = command.request_id();
                let healthy = json!({"jsonrpc": "2.0", "id": id, "result": {"load": {"util": 0.5}}});
                command.send_line(&healthy);
            }
            CommandKind::Load => {
                self.loads += 1;
                command.succeed("");
            }
            other => panic!("unexpected command: {other:?}"),
        }
    }

    /// Handles commands until a health check, a load order and `requests` requests have arrived.
    fn wait_for(&mut self, workers: &[StandInWorker], requests: usize) {
        let start = Instant::now();
        while self.health_checks == 0 || self.loads == 0 || self.requests.len() < requests {
            let received = self.requests.len();
            let in_time = start.elapsed() < WAIT_LIMIT;
            assert!(
                in_time,
                "{} health checks, {} loads, {received} requests",
                self.health_checks, self.loads
            );
            for command in workers.iter().filter_map(StandInWorker::poll_command) {
                self.handle_command(command);
            }
        }
    }
}

#[test]
fn jsonrpc_workers_are_health_checked_when_silent_and_ordered_to_load() {
    let folder = TempFolder::new();
    let paths = [folder.file("one.sock"), folder.file("two.sock")];
    let workers = [
        StandInWorker::jsonrpc(&paths[0]),
        StandInWorker::jsonrpc(&paths[1]),
    ];
    let scheduler = start(health_check_settings(), &paths);
    let mut client = JsonRpcClient::connect(&scheduler);
    for n in 0..12 {
        client.send_idempotent(n, 60_000, "");
    }
    // The primary worker does not respond to its requests and gets a health check; the other worker gets a
    // load order.
    let mut received = ReceivedWhileSilent::default();
    received.wait_for(&workers, 12);
    received
        .requests
        .iter_mut()
        .for_each(|command| command.succeed("eA=="));
    for _ in 0..12 {
        client.expect_body("eA==");
    }
}
