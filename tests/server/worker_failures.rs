//! Tests of connections to workers that are refused, reset, closed while idle, unreadable or silent, and of
//! the requests on these connections.

use crate::support::deployment::{deploy, deploy_with_settings};
use crate::support::frame_client::{FrameClient, request, request_to_function, served};
use crate::support::raw_worker::{FullBacklogWorker, RawWorker, success_line};
use crate::support::scheduler_process::SchedulerProcess;
use crate::support::settings::{default_settings, health_check_settings, large_fleet_settings};
use crate::support::worker::{StandInWorker, echo};
use crate::support::worker_command::{CommandKind, ReceivedCommand};
use crate::support::{IDEMPOTENT_CLASS, KEYED_CLASS, REQUEST_ID, WAIT_LIMIT, refusing_address, request_id};
use std::net::Ipv4Addr;
use std::time::Instant;

#[test]
fn keyed_request_is_retried_after_a_refused_connection() {
    let refusing = refusing_address(Ipv4Addr::new(127, 0, 0, 77));
    let worker = StandInWorker::node_agent();
    let scheduler = SchedulerProcess::start(&[refusing, worker.address()]);
    worker.serve(echo);
    let mut client = FrameClient::connect(&scheduler);
    for n in 1..20 {
        client.send_request(n, &request(KEYED_CLASS, &request_id(n), 2900, b"x"));
        assert_eq!(
            client.next_frame(),
            Some(served(n, b"x")),
            "the other worker serves the request"
        );
    }
}

/// Waits for the first command that one of two workers receives, and returns it with the other worker.
fn first_command(workers: &[StandInWorker; 2]) -> (ReceivedCommand, &StandInWorker) {
    let [first, second] = workers;
    let start = Instant::now();
    loop {
        assert!(start.elapsed() < WAIT_LIMIT, "no worker has received the request");
        if let Some(command) = first.poll_command() {
            return (command, second);
        }
        if let Some(command) = second.poll_command() {
            return (command, first);
        }
    }
}

/// An unreachable worker sends nothing, and its connections stay open. Requests that were sent to it must be
/// retried before their deadlines.
#[test]
fn requests_at_a_silent_worker_are_retried_and_its_late_response_is_ignored() {
    let workers = [StandInWorker::node_agent(), StandInWorker::node_agent()];
    let addresses = [workers[0].address(), workers[1].address()];
    let scheduler = SchedulerProcess::start_with_settings(&addresses, health_check_settings());
    let mut client = FrameClient::connect(&scheduler);
    client.send_request(1, &request(KEYED_CLASS, REQUEST_ID, 60_000, b""));
    // The hash order determines which of the two is the function's primary worker.
    let (mut silent, other) = first_command(&workers);
    let mut retry = other.expect_command(CommandKind::Run, REQUEST_ID);
    silent.succeed("b2xk");
    retry.succeed("bmV3");
    client.expect_served(1, b"new");
    client.assert_ready();
    assert!(scheduler.counter("health_checks_failed") >= 2);
}

/// A line that cannot be decoded, is never completed or exceeds the length limit closes its connection. The
/// request is retried before its deadline. In a small fleet each request has its own connection, so that
/// others are not affected.
#[test]
fn unreadable_line_ends_its_connection_and_the_request_is_retried() {
    let unreadable: [&[u8]; 5] = [
        b"\xff\xfe\n",
        b"[]\n",
        b"{\"verb\":\"200\",\"rid\":\"",
        b"{}\n",
        &[b'a'; 90_000],
    ];
    for bytes in unreadable {
        let (worker, _scheduler, mut client) = deploy();
        client.send_idempotent(1, 60_000, b"");
        client.send_idempotent(2, 60_000, b"");
        let mut one = worker.next_command();
        let mut two = worker.next_command();
        assert_ne!(one.connection, two.connection);
        one.send_bytes(bytes);
        let mut retry = worker.next_command();
        assert_eq!(retry.request_id(), one.request_id());
        retry.succeed("eA==");
        assert_eq!(client.next_frame().unwrap().payload, vec![79, 0, b'x']);
        two.succeed("eQ==");
        let response = client.next_frame().unwrap();
        assert_eq!(
            response.payload,
            vec![79, 0, b'y'],
            "the other connection is not affected"
        );
    }
}

/// A complete response counts even if a reset follows it immediately.
#[test]
fn response_followed_by_a_reset_is_forwarded() {
    let worker = RawWorker::new();
    let scheduler = SchedulerProcess::start_with_settings(&[worker.address()], large_fleet_settings());
    let mut client = FrameClient::connect(&scheduler);
    client.send_idempotent(1, 3_000, b"");
    let mut connection = worker.accept();
    assert_eq!(connection.read_line()["rid"], request_id(1));
    client.send_idempotent(2, 3_000, b"");
    connection.wait_for_unread_input();
    scheduler.signal("STOP");
    connection.succeed(&request_id(1), "eA==");
    // The connection is closed with the second request unread, so the kernel resets it.
    drop(connection);
    scheduler.signal("CONT");
    client.expect_served(1, b"x");
    // Only the second request is sent again.
    let mut connection = worker.accept();
    connection.serve(&request_id(2), "eQ==");
    client.expect_served(2, b"y");
}

/// A worker resets an idle connection while a request for it arrives. The request is served on another
/// connection.
#[test]
fn request_that_races_with_a_reset_of_an_idle_connection_is_served() {
    let (worker, scheduler, mut client) = deploy_with_settings(large_fleet_settings());
    let mut other = FrameClient::connect(&scheduler);
    client.send_idempotent(1, 3_000, b"");
    let mut command = worker.next_request();
    command.succeed("eA==");
    client.expect_served(1, b"x");
    scheduler.signal("STOP");
    client.send_idempotent(2, 3_000, b"");
    command.close_connection();
    other.send_request(1, &request(IDEMPOTENT_CLASS, &request_id(3), 3_000, b""));
    scheduler.signal("CONT");
    let mut retries = [worker.next_request(), worker.next_request()];
    retries.iter_mut().for_each(|command| command.succeed("eQ=="));
    client.expect_served(2, b"y");
    other.expect_served(1, b"y");
    assert_eq!(
        scheduler.counter("requests_received"),
        scheduler.counter("responses_served")
    );
}

/// Two requests share a connection on which an unreadable response arrives. Both are sent again on a new
/// connection, and further responses on the old one are ignored.
#[test]
fn unreadable_response_moves_all_requests_of_its_connection_to_a_new_one() {
    let (worker, _scheduler, mut client) = deploy_with_settings(large_fleet_settings());
    let mut first = client.send_request_to(&worker, 1);
    let second = client.send_request_to(&worker, 2);
    assert_eq!(first.connection, second.connection);
    first.send_bytes(&[&b"\xff{spoilt\n"[..], &success_line(&request_id(2), "bm8=")].concat());
    let mut retries = [worker.next_request(), worker.next_request()];
    assert!(
        retries
            .iter()
            .all(|command| command.connection != first.connection)
    );
    retries.sort_by_key(ReceivedCommand::request_id);
    retries[0].succeed("eA==");
    retries[1].succeed("eQ==");
    let mut responses = [client.next_frame().unwrap(), client.next_frame().unwrap()];
    responses.sort();
    assert_eq!(responses, [served(1, b"x"), served(2, b"y")]);
    client.assert_ready();
}

/// A request waits for a connection to be established no longer than the connect timeout.
#[test]
fn request_moves_to_another_worker_after_the_connect_timeout() {
    let unresponsive = FullBacklogWorker::new();
    let worker = StandInWorker::node_agent();
    let addresses = [unresponsive.address(), worker.address()];
    let scheduler = SchedulerProcess::start_with_settings(&addresses, default_settings());
    worker.serve(echo);
    let mut client = FrameClient::connect(&scheduler);
    for n in 1..20 {
        client.send_request(n, &request_to_function(n, &request_id(n), 3_000));
        client.expect_served(n, b"x");
    }
    assert!(
        scheduler.counter("attempts_connect_failed") > 0,
        "no request was placed on the worker that does not accept connections"
    );
}

/// The process briefly cannot open connections. A request with seconds left must not use up its attempts at
/// once.
#[test]
fn request_is_served_after_connections_briefly_cannot_be_opened() {
    let (worker, scheduler, mut client) = deploy();
    worker.serve(echo);
    client.assert_ready();
    scheduler.limit_descriptors(1);
    client.send_idempotent(1, 20_000, b"x");
    scheduler.wait_for_counter("attempts_not_sent", 2);
    scheduler.limit_descriptors(256);
    client.expect_served(1, b"x");
}
