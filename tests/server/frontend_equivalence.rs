//! Both front ends treat the same requests alike.

use crate::support::configuration::{Configuration, default_settings};
use crate::support::frames::{self, FrameClient, ReceivedFrame, code};
use crate::support::jsonrpc_client::{self, JsonRpcClient, operator_file};
use crate::support::scheduler_process::SchedulerProcess;
use crate::support::worker::{
    CommandKind, CommandLog, ReceivedCommand, StandInWorker, WorkerReply, WorkerStatus, echo,
};
use crate::support::{IDEMPOTENT_CLASS, KEYED_CLASS, request_id};
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// What becomes of a request; the worker reads it from the request's body alone.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Scenario {
    Served,
    WorkerFull,
    WorkerError,
    WorkerSilent,
}

impl Scenario {
    /// The body that a client of the frame protocol sends.
    fn body(self) -> &'static [u8] {
        match self {
            Scenario::Served => b"hi",
            Scenario::WorkerFull => b"full",
            Scenario::WorkerError => b"error",
            Scenario::WorkerSilent => b"silence",
        }
    }

    /// The same body in base64.
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

/// A worker's reply to a request, by its body.
fn reply_by_body(command: &ReceivedCommand) -> Option<WorkerReply> {
    if command.kind() != CommandKind::Run {
        return echo(command);
    }
    match command.body() {
        "ZnVsbA==" => Some(WorkerReply::failure(WorkerStatus::Full)),
        "ZXJyb3I=" => Some(WorkerReply::failure(WorkerStatus::Error)),
        "c2lsZW5jZQ==" => None,
        body => Some(WorkerReply::ok(body)),
    }
}

/// One request of the comparison.
struct TestRequest {
    class: &'static str,
    id: String,
    allow_ms: u64,
    scenario: Scenario,
}

/// 160 requests: every third is keyed, and of forty one finds the worker full, one has an error, and one of the first
/// forty gets no answer.
fn test_requests() -> Vec<TestRequest> {
    let test_request = |n: u32| {
        let scenario = match n % 40 {
            7 => Scenario::WorkerFull,
            17 => Scenario::WorkerError,
            27 if n < 40 => Scenario::WorkerSilent,
            _ => Scenario::Served,
        };
        let class = if n.is_multiple_of(3) { KEYED_CLASS } else { IDEMPOTENT_CLASS };
        TestRequest { class, id: request_id(n), allow_ms: scenario.allow_ms(), scenario }
    };
    (0..160).map(test_request).collect()
}

/// A burst that nobody answers: it fills the instances of the first worker, so that a load is ordered elsewhere.
fn unanswered_burst() -> Vec<TestRequest> {
    let unanswered = |n: u32| TestRequest {
        class: IDEMPOTENT_CLASS,
        id: request_id(n),
        allow_ms: 1500,
        scenario: Scenario::WorkerSilent,
    };
    (1000..1012).map(unanswered).collect()
}

/// The final answer to a request, whichever front end gave it.
#[derive(Debug, PartialEq, Eq)]
enum Answer {
    Served(Vec<u8>),
    Rejected,
    Failed,
}

impl Answer {
    fn of_frame(frame: &ReceivedFrame) -> Answer {
        match frame.code() {
            code::SERVED => Answer::Served(frame.payload[2..].to_vec()),
            code::REJECTED => Answer::Rejected,
            _ => Answer::Failed,
        }
    }

    fn of_message(message: &Value) -> Answer {
        if message["result"]["body"] == Scenario::Served.base64_body() {
            return Answer::Served(Scenario::Served.body().to_vec());
        }
        let error = &message["error"];
        if error["code"] == -32001 || error["data"]["outcome"] == "refused" {
            Answer::Rejected
        } else {
            Answer::Failed
        }
    }
}

/// A client of either front end.
trait TestClient {
    fn send_test_request(&mut self, number: u32, request: &TestRequest);
    fn receive_answer(&mut self) -> Answer;
}

impl TestClient for FrameClient {
    fn send_test_request(&mut self, number: u32, request: &TestRequest) {
        let body = request.scenario.body();
        let payload = frames::request(request.class, &request.id, request.allow_ms, body);
        self.send_request(number, &payload);
    }

    fn receive_answer(&mut self) -> Answer {
        Answer::of_frame(&self.next_frame().expect("an answer comes"))
    }
}

impl TestClient for JsonRpcClient {
    fn send_test_request(&mut self, number: u32, request: &TestRequest) {
        let body = request.scenario.base64_body();
        let id = json!(number);
        let message = jsonrpc_client::request(&id, request.class, &request.id, request.allow_ms, body);
        self.send(&message);
    }

    fn receive_answer(&mut self) -> Answer {
        Answer::of_message(&self.next_message())
    }
}

/// What the same requests led to on one front end.
#[derive(Debug, PartialEq, Eq)]
struct Observation {
    answers: Vec<Answer>,
    commands: BTreeMap<CommandKind, usize>,
}

/// Plays all requests on a scheduler of its own, over the front end that `connect` connects to.
fn observe<C: TestClient>(connect: impl Fn(&SchedulerProcess) -> C) -> Observation {
    let workers = [StandInWorker::node_agent(), StandInWorker::node_agent()];
    // No function has a place among the most popular: its loads come by the clock, and a slow machine would see more
    // of them.
    let mut settings = default_settings();
    settings["familyInfo"]["memoryMbByKind"] = json!([1000.0]);
    let scheduler = Configuration::new(&[workers[0].address(), workers[1].address()])
        .settings(settings)
        .operator_file(operator_file)
        .start();
    let logs = workers.map(|worker| worker.serve(reply_by_body));
    let mut client = connect(&scheduler);
    let burst = unanswered_burst();
    for (number, request) in (1000..).zip(&burst) {
        client.send_test_request(number, request);
    }
    for _ in &burst {
        assert_eq!(client.receive_answer(), Answer::Rejected);
    }
    let mut answers = Vec::new();
    for (number, request) in (1..).zip(&test_requests()) {
        client.send_test_request(number, request);
        answers.push(client.receive_answer());
    }
    Observation { answers, commands: total_commands(&logs) }
}

fn total_commands(logs: &[CommandLog]) -> BTreeMap<CommandKind, usize> {
    let mut total = BTreeMap::new();
    for (kind, count) in logs.iter().flat_map(CommandLog::counts) {
        *total.entry(kind).or_insert(0) += count;
    }
    total
}

#[test]
fn both_front_ends_give_the_same_answers_and_load_orders() {
    let frames = observe(FrameClient::connect);
    let jsonrpc = observe(JsonRpcClient::connect);
    assert_eq!(frames, jsonrpc);
    assert_eq!(frames.commands[&CommandKind::Load], 1, "{:?}", frames.commands);
    let rejected = frames.answers.iter().filter(|answer| **answer == Answer::Rejected).count();
    assert_eq!(rejected, 4 + 4 + 1, "full, error and silence");
}
