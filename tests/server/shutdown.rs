//! Tests of the graceful shutdown on SIGTERM: clients are notified, open and new requests get responses, and
//! the program exits.

use crate::support::configuration::Configuration;
use crate::support::deployment::{deploy, deploy_jsonrpc, deploy_with_discovery, deploy_with_settings};
use crate::support::discovery::StandInDiscovery;
use crate::support::frame_client::{
    FrameClient, ReceivedFrame, code, decode_frames, frame_type, go_away, idempotent_frame, request, served,
};
use crate::support::jsonrpc_client::{self, JsonRpcClient, SOCKET_NAME};
use crate::support::raw_worker::FullBacklogWorker;
use crate::support::scheduler_process::{ReloadResult, SchedulerProcess};
use crate::support::settings::{default_settings, slow_connect_settings};
use crate::support::worker::echo;
use crate::support::worker_command::ReceivedCommand;
use crate::support::{IDEMPOTENT_CLASS, refusing_address, request_id};
use serde_json::json;
use std::collections::BTreeSet;
use std::io::{ErrorKind, Read, Write};
use std::net::Ipv4Addr;
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn requests_after_sigterm_get_responses() {
    let (worker, mut scheduler, mut client) = deploy();
    client.assert_ready();
    client.send_idempotent(1, 2900, b"");
    let mut command = worker.next_command();
    scheduler.signal("TERM");
    assert_eq!(client.next_frame(), Some(go_away()));
    client.assert_not_ready();
    let mut late = FrameClient::connect(&scheduler);
    late.send_request(1, &request(IDEMPOTENT_CLASS, &request_id(2), 2900, b""));
    worker.next_command().succeed("eA==");
    late.expect_served(1, b"x");
    command.succeed("eQ==");
    client.expect_served(1, b"y");
    scheduler.expect_successful_exit();
    assert!(scheduler.wait_for_log("ended").contains(" responses_served=2 "));
}

/// During a planned restart the scheduler reports that it is not ready, but still responds to open and new
/// requests.
#[test]
fn jsonrpc_requests_after_sigterm_get_responses() {
    let (worker, mut scheduler, mut client) = deploy_jsonrpc(default_settings());
    client.send_idempotent(1, 60_000, "");
    let mut command = worker.next_command();
    scheduler.signal("TERM");
    scheduler.wait_for_log("ending");
    client.assert_readiness(false);
    let mut late = JsonRpcClient::connect(&scheduler);
    late.send(&jsonrpc_client::request(
        &json!(1),
        IDEMPOTENT_CLASS,
        &request_id(2),
        2900,
        "",
    ));
    worker.next_command().succeed("eA==");
    late.expect_body("eA==");
    command.succeed("eQ==");
    client.expect_body("eQ==");
    scheduler.expect_successful_exit();
    assert!(!scheduler.folder.file(SOCKET_NAME).exists());
}

/// A scheduler that shuts down while one client has not read its responses.
struct ShutdownWithBacklog {
    scheduler: SchedulerProcess,
    /// Client that has sent a request on stream 1 and on each stream from 3 to `last_stream`, and has read
    /// nothing.
    reader: FrameClient,
    /// Last stream on which `reader` has sent a request.
    last_stream: u32,
    /// Request on stream 1 of `reader`, the only one without a response.
    pending: ReceivedCommand,
    _other: FrameClient,
}

impl ShutdownWithBacklog {
    /// Fills the output buffer, sends SIGTERM and waits until the grace period after SIGTERM is over.
    fn begin() -> ShutdownWithBacklog {
        let (worker, scheduler, mut reader) = deploy();
        let mut other = FrameClient::connect(&scheduler);
        reader.send_idempotent(1, 20_000, b"last");
        let pending = worker.next_command();
        let unserved_id = request_id(2);
        worker.serve(move |command| echo(command).filter(|_| command.message["rid"] != unserved_id));
        let last_stream = fill_output_buffer(&scheduler, &mut reader, &mut other);
        scheduler.signal("TERM");
        assert_eq!(other.next_frame(), Some(go_away()));
        // The rejection of this request shows that the grace period after SIGTERM is over.
        other.send_idempotent(2, 2_400, b"");
        other.expect_rejection(2);
        ShutdownWithBacklog {
            scheduler,
            reader,
            last_stream,
            pending,
            _other: other,
        }
    }

    /// Asserts that `frames` contain one served response to each request of `reader`, including the pending
    /// one.
    fn assert_all_served(&self, mut frames: Vec<ReceivedFrame>) {
        frames.retain(|frame| frame.frame_type == frame_type::RESPONSE);
        let count = frames.len() as u32;
        let expected = self.last_stream - 1;
        assert!(
            frames.contains(&served(1, b"last")),
            "the pending response is missing: {count} of {expected} responses"
        );
        assert_eq!(count, expected, "each request has one response");
        assert!(frames.iter().all(|frame| frame.code() == code::SERVED));
    }
}

/// Sends requests with large bodies from stream 3 on, without reading the responses, until the scheduler
/// stops reading the connection. Returns the last stream.
fn fill_output_buffer(
    scheduler: &SchedulerProcess,
    reader: &mut FrameClient,
    other: &mut FrameClient,
) -> u32 {
    let body = vec![7; 16 << 10];
    let mut last_stream = 2;
    loop {
        let requests: Vec<u8> = (last_stream + 1..=last_stream + 8)
            .flat_map(|n| idempotent_frame(n, 20_000, &body))
            .collect();
        reader.send_bytes(&requests);
        last_stream += 8;
        (0..5).for_each(|_| other.assert_ready());
        if scheduler.counter("requests_received") < u64::from(last_stream - 1) {
            return last_stream;
        }
        scheduler.wait_for_counter("responses_served", u64::from(last_stream - 2));
        assert!(last_stream < 4000, "the scheduler never stops reading");
    }
}

/// After SIGTERM the last response is queued for a client that has not read the earlier ones. The time that
/// the client has to read them starts with that response, not with the signal.
#[test]
fn late_response_after_sigterm_is_written_before_exit() {
    let mut shutdown = ShutdownWithBacklog::begin();
    shutdown.pending.succeed("bGFzdA==");
    let frames = shutdown.reader.frames_until_close();
    shutdown.assert_all_served(frames);
    shutdown.scheduler.expect_successful_exit();
}

/// The client reads all responses at once, so that the scheduler can read the requests that were blocked
/// behind them. The blocked requests get responses, even though the connection has no open request at the
/// time.
#[test]
fn requests_blocked_by_unread_responses_get_responses_before_exit() {
    let mut shutdown = ShutdownWithBacklog::begin();
    // The pause lets the scheduler write all buffered output and receive the last response in one turn of its
    // event loop.
    shutdown.scheduler.signal("STOP");
    shutdown.pending.succeed("bGFzdA==");
    let stream = &mut shutdown.reader.stream;
    let mut bytes = vec![];
    stream.set_nonblocking(true).unwrap();
    let end = stream.read_to_end(&mut bytes).unwrap_err();
    assert_eq!(end.kind(), ErrorKind::WouldBlock);
    stream.set_nonblocking(false).unwrap();
    shutdown.scheduler.signal("CONT");
    stream
        .read_to_end(&mut bytes)
        .expect("the connection is closed without an error");
    shutdown.assert_all_served(decode_frames(&bytes));
    shutdown.scheduler.expect_successful_exit();
}

/// SIGTERM arrives while the discovery service is unreachable and a request waits for a worker connection to
/// be established. Valid and invalid reloads, a second SIGTERM and a request of a new client follow.
/// Both requests are served before exit.
#[test]
fn queued_and_late_requests_are_served_through_reloads_after_sigterm() {
    let worker = FullBacklogWorker::new();
    let mut scheduler = Configuration::new(&[worker.address()])
        .settings(slow_connect_settings())
        .discovery(refusing_address(Ipv4Addr::new(127, 0, 0, 78)))
        .start();
    let mut client = FrameClient::connect(&scheduler);
    client.send_idempotent(1, 20_000, b"");
    client.assert_ready();
    scheduler.signal("TERM");
    assert_eq!(client.next_frame(), Some(go_away()));
    let config = scheduler.config.to_string();
    assert_eq!(scheduler.reload("{"), ReloadResult::Rejected);
    assert_eq!(scheduler.reload(&config), ReloadResult::Applied);
    scheduler.signal("TERM");
    assert_eq!(scheduler.reload(&config), ReloadResult::Applied);
    client.assert_not_ready();
    let mut late = FrameClient::connect(&scheduler);
    late.send_request(1, &request(IDEMPOTENT_CLASS, &request_id(2), 20_000, b""));
    scheduler.wait_for_counter("requests_received", 2);
    let mut connection = worker.accept_pending();
    connection.serve(&request_id(1), "eA==");
    connection.serve(&request_id(2), "eA==");
    client.expect_served(1, b"x");
    assert_eq!(late.next_response(), Some(served(1, b"x")));
    scheduler.expect_successful_exit();
    assert!(scheduler.wait_for_log("ended").contains(" responses_served=2 "));
}

/// SIGHUP and SIGTERM arrive in the same turn of the event loop, in either order. The reload changes the
/// address of the discovery service.
#[test]
fn reload_and_shutdown_in_one_event_loop_turn_both_take_effect() {
    for signals in [["HUP", "TERM"], ["TERM", "HUP"]] {
        let (worker, _discovery, mut scheduler, mut old_watch) = deploy_with_discovery(default_settings());
        let new_discovery = StandInDiscovery::new();
        let mut client = FrameClient::connect(&scheduler);
        let mut command = client.send_request_to(&worker, 1);
        let mut config = scheduler.config.clone();
        config["bus"] = json!(new_discovery.address().to_string());
        scheduler.write_config(&config.to_string());
        scheduler.signal("STOP");
        signals.iter().for_each(|signal| scheduler.signal(signal));
        scheduler.signal("CONT");
        let _watch = new_discovery.accept_from(1);
        old_watch.wait_for_close();
        assert_eq!(client.next_frame(), Some(go_away()));
        command.succeed("eA==");
        client.expect_served(1, b"x");
        assert!(scheduler.wait_for_exit().success(), "{signals:?}");
    }
}

/// Asserts that the scheduler responds to all requests and exits before it may be killed, although a client
/// ignores the GOAWAY frame and keeps sending requests to a worker that never responds.
fn assert_shutdown_before_kill(deadline_ms: u64) {
    const INTERVAL: Duration = Duration::from_millis(50);
    const REQUESTS: u32 = 120;
    /// Time before the close of the connection within which a request may get no response. Clients send such
    /// requests again.
    const CLOSE_RACE_WINDOW: Duration = Duration::from_millis(50);
    // The process may be killed after the longest deadline, capped at 3 s, plus 0.7 s (page PROTOCOL).
    let killed_after = Duration::from_millis(deadline_ms.min(3_000) + 700);
    let mut settings = default_settings();
    for class in settings["classes"]
        .as_array_mut()
        .expect("the settings have classes")
    {
        class["deadlineNs"] = json!(deadline_ms * 1_000_000);
        class["objectiveNs"] = json!(deadline_ms * 500_000);
    }
    let (worker, mut scheduler, mut client) = deploy_with_settings(settings);
    let mut output = client.stream.try_clone().unwrap();
    let sender = thread::spawn(move || {
        let mut sent = Vec::new();
        for n in 1..=REQUESTS {
            if output.write_all(&idempotent_frame(n, deadline_ms, b"")).is_err() {
                return sent;
            }
            sent.push((n, Instant::now()));
            thread::sleep(INTERVAL);
        }
        sent
    });
    worker.next_request();
    scheduler.signal("TERM");
    let began_at = Instant::now();
    let frames = client.frames_until_close();
    let ended_at = Instant::now();
    scheduler.expect_successful_exit();
    assert!(began_at.elapsed() < killed_after, "{:?}", began_at.elapsed());
    let responses = frames
        .iter()
        .filter(|frame| frame.frame_type == frame_type::RESPONSE);
    let streams_with_response: BTreeSet<u32> = responses.map(|frame| frame.stream).collect();
    for (n, sent_at) in sender.join().unwrap() {
        let sent_while_closing = ended_at.saturating_duration_since(sent_at) < CLOSE_RACE_WINDOW;
        assert!(
            sent_while_closing || streams_with_response.contains(&n),
            "request {n} has no response"
        );
    }
}

#[test]
fn client_that_keeps_sending_does_not_delay_shutdown() {
    assert_shutdown_before_kill(3_000);
}

/// The longest deadline counts as 3 s at most. If it counted as 3 s at least, a process with deadlines of
/// 0.3 s would exit later than 1.0 s after SIGTERM, when it may be killed.
#[test]
fn shutdown_with_short_deadlines_ends_before_the_kill() {
    assert_shutdown_before_kill(300);
}

/// Guards against requests that keep a deadline which is longer than the time until the kill, and then get no
/// response.
#[test]
fn shutdown_with_long_deadlines_ends_before_the_kill() {
    assert_shutdown_before_kill(8_000);
}
