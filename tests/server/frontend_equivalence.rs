//! Tests that the same requests get the same responses and cause the same worker commands on both frontends.

use crate::support::configuration::Configuration;
use crate::support::frame_client::{self, FrameClient, ReceivedFrame, code};
use crate::support::jsonrpc_client::{self, JsonRpcClient, operator_file};
use crate::support::scheduler_process::SchedulerProcess;
use crate::support::settings::default_settings;
use crate::support::worker::{CommandLog, StandInWorker, echo};
use crate::support::worker_command::{CommandKind, ReceivedCommand, WorkerReply, WorkerStatus};
use crate::support::{IDEMPOTENT_CLASS, KEYED_CLASS, request_id};
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Behaviour of a worker towards a request, selected by the request's body.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Scenario {
    Served,
    WorkerFull,
    WorkerError,
    WorkerSilent,
}

impl Scenario {
    /// Returns the body that a client of the frame frontend sends.
    fn body(self) -> &'static [u8] {
        match self {
            Scenario::Served => b"hi",
            Scenario::WorkerFull => b"full",
            Scenario::WorkerError => b"error",
            Scenario::WorkerSilent => b"silence",
        }
    }

    /// Returns [`Scenario::body`] in base64.
    fn base64_body(self) -> &'static str {
        match self {
            Scenario::Served => "aGk=",
            Scenario::WorkerFull => "ZnVsbA==",
            Scenario::WorkerError => "ZXJyb3I=",
            Scenario::WorkerSilent => "c2lsZW5jZQ==",
        }
    }

    fn allow_ms(self) -> u64 {
        if self == Scenario::WorkerSilent { 700 } else { 2900 }
    }
}

/// Returns a worker's reply to a command, selected by its body.
fn reply_by_body(command: &ReceivedCommand) -> Option<WorkerReply> {
    if command.kind() != CommandKind::Run {
        return echo(command);
    }
    match command.body() {
        "ZnVsbA==" => Some(WorkerReply::failure(WorkerStatus::AtCapacity)),
        "ZXJyb3I=" => Some(WorkerReply::failure(WorkerStatus::Error)),
        "c2lsZW5jZQ==" => None,
        body => Some(WorkerReply::ok(body)),
    }
}

/// Request that is sent over both frontends.
struct TestRequest {
    class: &'static str,
    id: String,
    allow_ms: u64,
    scenario: Scenario,
}

/// Returns 160 requests, every third of them keyed. Of each 40 requests, one finds the worker at capacity and
/// one ends in an error. One of the first 40 gets no response from the worker.
fn test_requests() -> Vec<TestRequest> {
    let test_request = |n: u32| {
        let scenario = match n % 40 {
            7 => Scenario::WorkerFull,
            17 => Scenario::WorkerError,
            27 if n < 40 => Scenario::WorkerSilent,
            _ => Scenario::Served,
        };
        let class = if n.is_multiple_of(3) {
            KEYED_CLASS
        } else {
            IDEMPOTENT_CLASS
        };
        TestRequest {
            class,
            id: request_id(n),
            allow_ms: scenario.allow_ms(),
            scenario,
        }
    };
    (0..160).map(test_request).collect()
}

/// Returns a burst of requests that get no response from the worker. They occupy all instances of the first
/// worker, so that the other worker gets a load order.
fn burst_without_responses() -> Vec<TestRequest> {
    let request_without_response = |n: u32| TestRequest {
        class: IDEMPOTENT_CLASS,
        id: request_id(n),
        allow_ms: 1500,
        scenario: Scenario::WorkerSilent,
    };
    (1000..1012).map(request_without_response).collect()
}

/// Final response to a request, independent of the frontend.
#[derive(Debug, PartialEq, Eq)]
enum FinalResponse {
    Served(Vec<u8>),
    Rejected,
    Failed,
}

impl FinalResponse {
    fn of_frame(frame: &ReceivedFrame) -> FinalResponse {
        match frame.code() {
            code::SERVED => FinalResponse::Served(frame.payload[2..].to_vec()),
            code::REJECTED => FinalResponse::Rejected,
            _ => FinalResponse::Failed,
        }
    }

    fn of_message(message: &Value) -> FinalResponse {
        if message["result"]["body"] == Scenario::Served.base64_body() {
            return FinalResponse::Served(Scenario::Served.body().to_vec());
        }
        let error = &message["error"];
        if error["code"] == -32001 || error["data"]["outcome"] == "refused" {
            FinalResponse::Rejected
        } else {
            FinalResponse::Failed
        }
    }
}

/// Client of either frontend.
trait TestClient {
    fn send_test_request(&mut self, number: u32, request: &TestRequest);
    fn receive_response(&mut self) -> FinalResponse;
}

impl TestClient for FrameClient {
    fn send_test_request(&mut self, number: u32, request: &TestRequest) {
        let body = request.scenario.body();
        let payload = frame_client::request(request.class, &request.id, request.allow_ms, body);
        self.send_request(number, &payload);
    }

    fn receive_response(&mut self) -> FinalResponse {
        FinalResponse::of_frame(&self.next_frame().expect("a response"))
    }
}

impl TestClient for JsonRpcClient {
    fn send_test_request(&mut self, number: u32, request: &TestRequest) {
        let body = request.scenario.base64_body();
        let id = json!(number);
        let message = jsonrpc_client::request(&id, request.class, &request.id, request.allow_ms, body);
        self.send(&message);
    }

    fn receive_response(&mut self) -> FinalResponse {
        FinalResponse::of_message(&self.next_message())
    }
}

/// Responses and worker commands that the requests caused on one frontend.
#[derive(Debug, PartialEq, Eq)]
struct Observation {
    responses: Vec<FinalResponse>,
    commands: BTreeMap<CommandKind, usize>,
}

/// Sends all requests to a new scheduler over the frontend that `connect` connects to, and returns what they
/// caused.
fn observe<C: TestClient>(connect: impl Fn(&SchedulerProcess) -> C) -> Observation {
    let workers = [StandInWorker::node_agent(), StandInWorker::node_agent()];
    // The small memory keeps functions from being loaded on all workers. Such loads are repeated on a timer,
    // so their number would depend on the speed of the machine.
    let mut settings = default_settings();
    settings["familyInfo"]["memoryMbByKind"] = json!([1000.0]);
    let scheduler = Configuration::new(&[workers[0].address(), workers[1].address()])
        .settings(settings)
        .operator_file(operator_file)
        .start();
    let logs = workers.map(|worker| worker.serve(reply_by_body));
    let mut client = connect(&scheduler);
    let burst = burst_without_responses();
    for (number, request) in (1000..).zip(&burst) {
        client.send_test_request(number, request);
    }
    for _ in &burst {
        assert_eq!(client.receive_response(), FinalResponse::Rejected);
    }
    let mut responses = Vec::new();
    for (number, request) in (1..).zip(&test_requests()) {
        client.send_test_request(number, request);
        responses.push(client.receive_response());
    }
    Observation {
        responses,
        commands: total_commands(&logs),
    }
}

fn total_commands(logs: &[CommandLog]) -> BTreeMap<CommandKind, usize> {
    let mut total = BTreeMap::new();
    for (kind, count) in logs.iter().flat_map(CommandLog::counts) {
        *total.entry(kind).or_insert(0) += count;
    }
    total
}

#[test]
fn both_frontends_give_the_same_responses_and_load_orders() {
    let frames = observe(FrameClient::connect);
    let jsonrpc = observe(JsonRpcClient::connect);
    assert_eq!(frames, jsonrpc);
    assert_eq!(frames.commands[&CommandKind::Load], 1, "{:?}", frames.commands);
    let rejected = frames
        .responses
        .iter()
        .filter(|response| **response == FinalResponse::Rejected)
        .count();
    assert_eq!(
        rejected,
        4 + 4 + 1,
        "rejections by a full worker, an error and no response"
    );
}
