//! Tests of clients that cancel a request, or close or half-close their connection. Their requests are
//! cancelled and get no response. Requests of a client that sends malformed input are cancelled and fail.

use crate::support::configuration::Configuration;
use crate::support::deployment::{deploy, deploy_with_settings};
use crate::support::discovery::{StandInDiscovery, WorkerState, delta_event};
use crate::support::frame_client::{FrameClient, failed, request};
use crate::support::raw_worker::FullBacklogWorker;
use crate::support::scheduler_process::SchedulerProcess;
use crate::support::settings::{default_settings, large_fleet_settings, slow_connect_settings};
use crate::support::worker::StandInWorker;
use crate::support::worker_command::CommandKind;
use crate::support::{IDEMPOTENT_CLASS, request_id};

/// A cancelled request must not continue to occupy its worker.
#[test]
fn cancelled_request_is_cancelled_at_its_worker() {
    let (worker, _scheduler, mut client) = deploy();
    client.send_idempotent(1, 60_000, b"");
    assert_eq!(worker.next_command().kind(), CommandKind::Run);
    client.send_cancel(1);
    worker.expect_command(CommandKind::Cancel, &request_id(1));
}

#[test]
fn cancelled_request_and_closed_connection_get_no_response() {
    let (worker, scheduler, mut client) = deploy();
    client.send_idempotent(1, 2900, b"");
    let mut command = worker.next_command();
    client.send_cancel(1);
    client.assert_ready();
    command.succeed("");
    client.assert_ready();
    let mut closing = FrameClient::connect(&scheduler);
    closing.send_request(1, &request(IDEMPOTENT_CLASS, &request_id(2), 2900, b""));
    worker.next_command();
    drop(closing);
    scheduler.wait_for_counter("requests_cancelled", 2);
    scheduler.assert_counters([("requests_received", 2), ("responses_served", 0)]);
}

/// Connects four clients that send one request each. The first cancels its request, the second shuts down the
/// write half of its connection, and the third closes its connection. Returns the fourth, whose request has
/// the id 3.
fn disconnect_three_of_four_clients(scheduler: &SchedulerProcess, allow_ms: u64) -> FrameClient {
    let mut clients: Vec<_> = (0..4).map(|_| FrameClient::connect(scheduler)).collect();
    for (n, client) in (0..).zip(&mut clients) {
        client.send_request(1, &request(IDEMPOTENT_CLASS, &request_id(n), allow_ms, b""));
        client.assert_ready();
    }
    clients[0].send_cancel(1);
    clients[0].assert_ready();
    clients[1].shutdown_write();
    drop(clients.remove(2));
    scheduler.wait_for_counter("requests_cancelled", 3);
    clients.remove(2)
}

/// Clients cancel their requests or disconnect while the requests wait for a connection to be established.
/// Once it is established, only the request of the remaining client is written.
#[test]
fn requests_of_disconnected_clients_are_not_written_to_a_new_connection() {
    let worker = FullBacklogWorker::new();
    let scheduler = SchedulerProcess::start_with_settings(&[worker.address()], slow_connect_settings());
    let mut remaining = disconnect_three_of_four_clients(&scheduler, 20_000);
    let mut connection = worker.accept_pending();
    connection.serve(&request_id(3), "eA==");
    remaining.expect_served(1, b"x");
    scheduler.assert_counters([("attempts_written", 1), ("responses_served", 1)]);
}

/// Clients cancel their requests or disconnect while the requests wait in the policy, before the endpoint
/// list has a worker. Only the request of the remaining client is placed.
#[test]
fn requests_of_disconnected_clients_are_not_placed_when_a_worker_becomes_ready() {
    let worker = StandInWorker::node_agent();
    let discovery = StandInDiscovery::new();
    let scheduler = Configuration::new(&[])
        .settings(default_settings())
        .discovery(discovery.address())
        .start();
    let mut watch = discovery.accept();
    let mut remaining = disconnect_three_of_four_clients(&scheduler, 60_000);
    watch.send(&delta_event(2, 1, worker.address(), WorkerState::Ready));
    let mut command = worker.next_request();
    assert_eq!(command.request_id(), request_id(3));
    command.succeed("eA==");
    remaining.expect_served(1, b"x");
    assert_eq!(scheduler.counter("attempts_written"), 1);
}

/// The worker closes the connection of the first attempt, and the client cancels or disconnects, in the same
/// turn of the event loop. There is no second attempt.
#[test]
fn request_is_not_retried_if_its_client_cancels_or_disconnects_in_the_same_turn() {
    for closes in [false, true] {
        let (worker, scheduler, mut client) = deploy_with_settings(large_fleet_settings());
        let mut other = FrameClient::connect(&scheduler);
        let command = client.send_request_to(&worker, 1);
        scheduler.signal("STOP");
        command.close_connection();
        if closes {
            drop(client);
        } else {
            client.send_cancel(1);
        }
        scheduler.signal("CONT");
        scheduler.wait_for_counter("requests_cancelled", 1);
        other.send_request(1, &request(IDEMPOTENT_CLASS, &request_id(2), 20_000, b""));
        let mut next = worker.next_request();
        assert_eq!(
            next.request_id(),
            request_id(2),
            "client closes its connection: {closes}"
        );
        next.succeed("eA==");
        other.expect_served(1, b"x");
        assert_eq!(scheduler.counter("attempts_written"), 2);
    }
}

/// Guards against an attempt for a client that has left: its connection to the worker is established, and the
/// client cancels or disconnects, in the same turn of the event loop.
#[test]
fn request_is_not_written_if_its_client_leaves_in_the_turn_in_which_its_connection_is_established() {
    for closes in [false, true] {
        let worker = FullBacklogWorker::new();
        let scheduler = SchedulerProcess::start_with_settings(&[worker.address()], slow_connect_settings());
        let mut other = FrameClient::connect(&scheduler);
        let mut client = FrameClient::connect(&scheduler);
        client.send_idempotent(1, 20_000, b"");
        // The second response comes after the turn in which the scheduler connects to the worker.
        client.assert_ready();
        client.assert_ready();
        scheduler.signal("STOP");
        let mut connection = worker.accept_pending();
        if closes {
            drop(client);
        } else {
            client.send_cancel(1);
        }
        scheduler.signal("CONT");
        scheduler.wait_for_counter("requests_cancelled", 1);
        other.send_request(1, &request(IDEMPOTENT_CLASS, &request_id(2), 20_000, b""));
        connection.serve(&request_id(2), "eA==");
        other.expect_served(1, b"x");
        assert_eq!(scheduler.counter("attempts_written"), 1, "closes: {closes}");
    }
}

/// A client with an open request sends malformed input, so its connection ends with an error. The open
/// request gets a response before the error and is cancelled at its worker at once. No response follows the
/// error.
#[test]
fn request_is_failed_when_its_connection_ends_in_an_error() {
    let (worker, scheduler, mut client) = deploy();
    let mut other = FrameClient::connect(&scheduler);
    let mut command = client.send_request_to(&worker, 1);
    client.send_bytes(&[0; 4]);
    assert_eq!(client.next_frame(), Some(failed(1)));
    assert_eq!(client.next_frame(), Some(failed(0)));
    // The client has not closed its connection, so the scheduler cancels the request on its own.
    other.send_request(1, &request(IDEMPOTENT_CLASS, &request_id(2), 20_000, b""));
    worker.expect_command(CommandKind::Cancel, &request_id(1));
    command.succeed("eA==");
    assert_eq!(client.next_frame(), None);
    worker.next_request().succeed("eA==");
    other.expect_served(1, b"x");
    assert_eq!(scheduler.counter("responses_served"), 1);
}

/// The deadline of a request passes and its client cancels it in the same turn of the event loop. There is no
/// response.
#[test]
fn cancel_in_the_same_turn_as_the_deadline_gets_no_response() {
    let worker = StandInWorker::node_agent();
    let timer_worker = StandInWorker::node_agent();
    let scheduler = SchedulerProcess::start(&[worker.address()]);
    let timer_scheduler = SchedulerProcess::start(&[timer_worker.address()]);
    let mut client = FrameClient::connect(&scheduler);
    let mut timer = FrameClient::connect(&timer_scheduler);
    client.send_idempotent(1, 500, b"");
    worker.next_request();
    scheduler.signal("STOP");
    // The rejection by another scheduler shows that the deadline has passed.
    timer.send_idempotent(1, 600, b"");
    timer.expect_rejection(1);
    client.send_cancel(1);
    scheduler.signal("CONT");
    client.assert_ready();
    scheduler.assert_counters([("requests_cancelled", 1), ("responses_rejected", 0)]);
}
