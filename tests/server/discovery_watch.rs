//! Tests of the watch on the endpoint list: resumption, silence, address changes, and the effect of its
//! events on requests.

use crate::support::configuration::Configuration;
use crate::support::deployment::deploy_with_discovery;
use crate::support::discovery::{
    StandInDiscovery, WorkerState, delta_event, heartbeat_frame, snapshot_event,
};
use crate::support::frame_client::{FrameClient, request_to_function};
use crate::support::raw_worker::FullBacklogWorker;
use crate::support::scheduler_process::SchedulerProcess;
use crate::support::settings::{default_settings, large_fleet_settings, slow_connect_settings};
use crate::support::worker::{StandInWorker, echo};
use crate::support::worker_command::CommandKind;
use crate::support::{refusing_address, request_id};
use serde_json::{Value, json};
use std::net::{Ipv4Addr, SocketAddr};

/// Starts a scheduler that watches the discovery service at `discovery`.
fn start_watching(settings: Value, worker: SocketAddr, discovery: SocketAddr) -> SchedulerProcess {
    Configuration::new(&[worker])
        .settings(settings)
        .discovery(discovery)
        .start()
}

/// Reloads the configuration with `address` as the address of the discovery service.
fn change_discovery_address(scheduler: &SchedulerProcess, address: SocketAddr) {
    scheduler.apply_change(|config| config["bus"] = json!(address.to_string()));
}

#[test]
fn draining_worker_gets_nothing_new_and_the_watch_resumes_after_the_last_event() {
    let (first, discovery, scheduler, mut watch) = deploy_with_discovery(default_settings());
    let second = StandInWorker::node_agent();
    let second_ready = delta_event(2, 2, second.address(), WorkerState::Ready);
    let first_draining = delta_event(3, 1, first.address(), WorkerState::Draining);
    let events = [second_ready, first_draining].concat();
    let (half, rest) = events.split_at(30);
    watch.send(half);
    watch.send(rest);
    scheduler.wait_for_counter("endpoint_updates", 3);
    drop(watch);
    let mut watch = discovery.accept();
    assert_eq!(watch.offset, 3, "the watch resumes after the last event");
    let old_event = delta_event(3, 1, first.address(), WorkerState::Ready);
    let bad_frame = vec![0, 0, 0, 1];
    watch.send(&[old_event, bad_frame].concat());
    let watch = discovery.accept();
    assert_eq!(
        watch.offset, 3,
        "a repeated event is ignored, and a malformed frame closes the connection"
    );
    let commands = second.serve(echo);
    let mut client = FrameClient::connect(&scheduler);
    for n in 1..20 {
        client.send_idempotent(n, 2900, b"x");
        client.expect_served(n, b"x");
    }
    assert!(first.is_idle(), "the draining worker received a new request");
    assert_eq!(commands.count(CommandKind::Run), 19);
}

/// The connection to an unreachable discovery service stays open but carries no heartbeats. The scheduler
/// opens a new connection.
#[test]
fn silent_watch_is_replaced() {
    let (_worker, discovery, scheduler, mut watch) = deploy_with_discovery(default_settings());
    watch.send(&heartbeat_frame(1));
    let replacement = discovery.accept();
    assert_eq!(replacement.offset, 1);
    scheduler.wait_for_log("watch connection silent");
}

/// A heartbeat names the offset of the latest event. If events up to that offset have not arrived, the
/// scheduler opens a new connection.
#[test]
fn watch_whose_heartbeats_report_missing_events_is_replaced() {
    let (_worker, discovery, scheduler, mut watch) = deploy_with_discovery(default_settings());
    let sender = std::thread::spawn(move || {
        for _ in 0..30 {
            watch.try_send(&heartbeat_frame(9));
            std::thread::sleep(std::time::Duration::from_millis(100));
        }
    });
    let replacement = discovery.accept();
    assert_eq!(replacement.offset, 1);
    scheduler.wait_for_log("heartbeat of another offset");
    sender.join().unwrap();
}

/// A new worker takes over the address of an old worker that no event has reported as gone. Requests sent to
/// the old worker id would reach the new worker without counting against its slow start.
#[test]
fn new_worker_at_an_old_address_replaces_the_old_one() {
    let (worker, _discovery, scheduler, mut watch) = deploy_with_discovery(large_fleet_settings());
    let mut client = FrameClient::connect(&scheduler);
    let mut serve_request = |n: u32| {
        client.send_request(n, &request_to_function(n, &request_id(n), 3_000));
        let mut command = worker.next_request();
        command.succeed("eA==");
        client.expect_served(n, b"x");
        command.connection
    };
    let old_connection = (1..20).map(&mut serve_request).last().unwrap();
    watch.send(&delta_event(2, 9, worker.address(), WorkerState::Ready));
    scheduler.wait_for_counter("endpoint_updates", 2);
    for n in 20..60 {
        assert!(
            serve_request(n) > old_connection,
            "request {n} was sent to the old worker id"
        );
    }
    // Late events for the old worker id do not affect the new worker.
    let draining = delta_event(3, 1, worker.address(), WorkerState::Draining);
    let gone = delta_event(4, 1, worker.address(), WorkerState::Gone);
    watch.send(&[draining, gone].concat());
    scheduler.wait_for_counter("endpoint_updates", 4);
    serve_request(60);
}

/// A snapshot is truncated on the first watch connection, and arrives complete and twice on the next. The
/// snapshot omits the worker to which a request waits to be sent, so the request is placed on the worker that
/// the snapshot lists.
#[test]
fn request_is_placed_again_when_a_snapshot_omits_its_worker() {
    let omitted = FullBacklogWorker::new();
    let listed = StandInWorker::node_agent();
    let discovery = StandInDiscovery::new();
    let scheduler = start_watching(slow_connect_settings(), omitted.address(), discovery.address());
    let mut watch = discovery.accept_from(1);
    let mut client = FrameClient::connect(&scheduler);
    client.send_idempotent(1, 20_000, b"");
    client.assert_ready();
    let full_list = snapshot_event(2, 2, listed.address());
    watch.send(&full_list[..30]);
    drop(watch);
    let mut watch = discovery.accept();
    assert_eq!(watch.offset, 1, "an incomplete event does not advance the offset");
    watch.send(&[&full_list[..], &full_list].concat());
    scheduler.wait_for_counter("endpoint_updates", 2);
    let mut connection = omitted.accept_pending();
    let mut command = listed.next_request();
    assert_eq!(command.request_id(), request_id(1));
    command.succeed("eA==");
    client.expect_served(1, b"x");
    scheduler.assert_counters([("attempts_written", 1), ("endpoint_updates", 2)]);
    connection.assert_nothing_received();
}

/// A reload on SIGHUP changes the address of the discovery service while the connection to the old address is
/// being established, or while the scheduler waits to reconnect.
#[test]
fn discovery_address_change_takes_effect_at_once() {
    let unresponsive = FullBacklogWorker::new();
    for old_address in [
        unresponsive.address(),
        refusing_address(Ipv4Addr::new(127, 0, 0, 79)),
    ] {
        let worker = StandInWorker::node_agent();
        let second = StandInWorker::node_agent();
        let new_discovery = StandInDiscovery::new();
        let scheduler = start_watching(default_settings(), worker.address(), old_address);
        change_discovery_address(&scheduler, new_discovery.address());
        let mut watch = new_discovery.accept_from(1);
        let second_ready = delta_event(2, 2, second.address(), WorkerState::Ready);
        let first_draining = delta_event(3, 1, worker.address(), WorkerState::Draining);
        watch.send(&[second_ready, first_draining].concat());
        scheduler.wait_for_counter("endpoint_updates", 3);
        let mut client = FrameClient::connect(&scheduler);
        client.send_idempotent(1, 3_000, b"");
        second.next_request().succeed("eA==");
        client.expect_served(1, b"x");
    }
}

/// Events of the old discovery service are ignored after the address change, even if they are already in the
/// socket buffer.
#[test]
fn events_of_the_old_discovery_service_are_ignored() {
    let (worker, _discovery, scheduler, mut old_watch) = deploy_with_discovery(default_settings());
    let second = StandInWorker::node_agent();
    let new_discovery = StandInDiscovery::new();
    change_discovery_address(&scheduler, new_discovery.address());
    let mut watch = new_discovery.accept_from(1);
    // The old service reports the worker as gone; the new one sends a different event with the same offset.
    old_watch.try_send(&delta_event(2, 1, worker.address(), WorkerState::Gone));
    watch.send(&delta_event(2, 2, second.address(), WorkerState::Draining));
    scheduler.wait_for_counter("endpoint_updates", 2);
    let mut client = FrameClient::connect(&scheduler);
    client.send_idempotent(1, 3_000, b"");
    worker.next_request().succeed("eA==");
    client.expect_served(1, b"x");
    assert_eq!(scheduler.counter("endpoint_updates"), 2);
}

/// Guards against an attempt that waits for a connection and is then written to whatever process listens at
/// the former address of its worker.
#[test]
fn attempt_that_waits_for_a_connection_goes_to_the_new_address_of_its_worker() {
    let former = FullBacklogWorker::new();
    let worker = StandInWorker::node_agent();
    let discovery = StandInDiscovery::new();
    let scheduler = Configuration::new(&[former.address()])
        .settings(slow_connect_settings())
        .discovery(discovery.address())
        .start();
    let mut watch = discovery.accept_from(1);
    let mut client = FrameClient::connect(&scheduler);
    client.send_idempotent(1, 20_000, b"");
    // The second response comes after the turn in which the scheduler connects to the former address.
    client.assert_ready();
    client.assert_ready();
    watch.send(&delta_event(2, 1, worker.address(), WorkerState::Ready));
    scheduler.wait_for_counter("endpoint_updates", 2);
    let mut connection = former.accept_pending();
    let mut command = worker.next_request();
    command.succeed("eA==");
    client.expect_served(1, b"x");
    connection.assert_nothing_received();
}
