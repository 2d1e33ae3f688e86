//! Tests of the embedded client: each submitted request gets one response, and a cancelled request gets none.

#[allow(dead_code, reason = "each test crate uses a part of the support code")]
mod support;

use function_scheduler::backend::WorkerAddress;
use function_scheduler::client::{Client, CompletedRequest, WorkerEndpoint};
use function_scheduler::scheduler::{Outcome, RequestParameters};
use function_scheduler::{Endpoint, FunctionId, Span, Time, WorkerId};
use support::settings::{default_settings, site};
use support::temp_folder::TempFolder;
use support::worker::{StandInWorker, echo};
use support::{IDEMPOTENT_CLASS, WAIT_LIMIT};

fn client() -> Client {
    Client::new(site(&default_settings()).unwrap(), 7).unwrap()
}

fn request(class: &str, client: &Client, body: &[u8]) -> RequestParameters {
    let deadline = client.now() + Span::from_millis(3_000);
    RequestParameters::new(class, FunctionId(9), deadline, body.to_vec())
}

/// Polls until this many requests have completed or the wait limit has passed, and returns the completed
/// requests.
fn wait_for(client: &mut Client, count: usize) -> Vec<CompletedRequest> {
    let until = client.now() + Span::from_millis(WAIT_LIMIT.as_millis() as u64);
    let mut completed = Vec::new();
    while completed.len() < count && client.now() < until {
        completed.extend(client.poll(until).unwrap());
    }
    completed
}

#[test]
fn each_request_has_one_response() {
    let folder = TempFolder::new();
    let socket = folder.file("worker.sock");
    let worker = StandInWorker::jsonrpc(&socket);
    let _commands = worker.serve(echo);
    let mut client = client();
    let endpoint = Endpoint {
        worker: WorkerId(1),
        weight: 1.0,
        ..Endpoint::default()
    };
    client.set_endpoints(vec![WorkerEndpoint {
        endpoint,
        address: WorkerAddress::JsonRpc(socket),
    }]);

    let bodies: [&[u8]; 3] = [b"first", b"second", b"third"];
    let submitted = bodies.map(|body| client.submit(request(IDEMPOTENT_CLASS, &client, body)));
    let mut completed = wait_for(&mut client, submitted.len());
    completed.sort_by_key(|completed| completed.request);
    let ids: Vec<_> = completed.iter().map(|completed| completed.request).collect();
    assert_eq!(ids, submitted);
    for (completed, body) in completed.iter().zip(bodies) {
        assert_eq!(completed.response.outcome, Outcome::Served(body.to_vec()));
    }
    assert!(client.poll(Time(0)).unwrap().is_empty());
}

#[test]
fn a_request_of_an_unknown_class_fails_at_once() {
    let mut client = client();
    let submitted = client.submit(request("no such class", &client, b""));
    let completed = client.poll(Time(0)).unwrap();
    assert_eq!(completed.len(), 1);
    assert_eq!(
        (completed[0].request, &completed[0].response.outcome),
        (submitted, &Outcome::Failed)
    );
}

#[test]
fn a_cancelled_request_has_no_response() {
    let mut client = client();
    let cancelled = client.submit(request("no such class", &client, b""));
    let kept = client.submit(request("no such class", &client, b""));
    client.cancel(cancelled);
    let completed: Vec<_> = client
        .poll(Time(0))
        .unwrap()
        .iter()
        .map(|completed| completed.request)
        .collect();
    assert_eq!(completed, [kept]);
}
