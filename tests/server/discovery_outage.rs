//! Tests with workers that drain while the discovery service is unreachable.
//!
//! A change that discovery cannot deliver counts as notified anyway, at most 4 s after the outage began. A
//! draining worker rejects new work with the status of a worker at capacity, so the scheduler retries after a
//! short pause. A scheduler that ignores the age of its endpoint list therefore keeps sending attempts and
//! load orders to draining workers after the grace period, for as long as the outage lasts. Placement, load
//! orders and the check before a write must all consider the age of the list.

use crate::support::configuration::Configuration;
use crate::support::discovery::{StandInDiscovery, WatchConnection, heartbeat_frame};
use crate::support::frame_client::{
    FrameClient, ReceivedFrame, code, frame, frame_type, request_to_function,
};
use crate::support::jsonrpc_client::operator_file;
use crate::support::raw_worker::FullBacklogWorker;
use crate::support::request_id;
use crate::support::scheduler_process::SchedulerProcess;
use crate::support::settings::default_settings;
use crate::support::temp_folder::TempFolder;
use crate::support::worker::{StandInWorker, echo};
use crate::support::worker_command::{CommandKind, ReceivedCommand, WorkerReply, WorkerStatus};
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::io::Write;
use std::net::Shutdown;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const WORKERS: usize = 6;
const DRAINING_WORKERS: usize = 2;
/// Number of functions that the clients call. Their primary workers differ.
const FUNCTIONS: u32 = 12;
/// Grace period after the notification of a drain, as configured in the settings.
const DRAIN_GRACE_PERIOD: Duration = Duration::from_millis(500);
/// Time after the start of an outage by which a change counts as notified (page PROTOCOL, "Figures").
const MAX_NOTIFICATION_DELAY: Duration = Duration::from_secs(4);
/// Tolerance added to each time limit on real sockets (page PROTOCOL).
const SLACK: Duration = Duration::from_millis(50);
/// Duration of the traffic before the outage, in which the scheduler learns where functions are loaded.
const WARM_UP: Duration = Duration::from_millis(1_000);
/// Time from the start of the outage to the start of the drain.
const DRAIN_DELAY: Duration = Duration::from_millis(200);
const OUTAGE: Duration = Duration::from_millis(8_000);
const REQUEST_TIMEOUT_MS: u64 = 2_000;
/// Time that the client waits for the final responses before it closes its connection.
const FINAL_RESPONSE_WAIT: Duration = Duration::from_millis(REQUEST_TIMEOUT_MS);
/// Minimum fraction, from 0 to 1, of the requests late in the outage that the remaining workers must serve.
const MIN_SERVED_FRACTION: f64 = 0.95;

/// Switch that makes a worker drain. A draining worker rejects new work and records when it arrived.
#[derive(Clone, Default)]
struct DrainSwitch {
    is_draining: Arc<AtomicBool>,
    new_work: Arc<Mutex<Vec<(Instant, Value)>>>,
}

impl DrainSwitch {
    fn start_draining(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
    }

    fn reply_to(&self, command: &ReceivedCommand) -> Option<WorkerReply> {
        let is_query = command.message["attrs"]["replicas"] == 0;
        let is_new_work = matches!(command.kind(), CommandKind::Run | CommandKind::Load) && !is_query;
        if !is_new_work || !self.is_draining.load(Ordering::SeqCst) {
            return echo(command);
        }
        let arrival = (Instant::now(), command.message.clone());
        self.new_work.lock().unwrap().push(arrival);
        Some(WorkerReply::failure(WorkerStatus::AtCapacity))
    }

    /// Returns the new work that arrived after `limit`.
    fn received_after(&self, limit: Instant) -> Vec<(Instant, Value)> {
        let mut new_work = self.new_work.lock().unwrap().clone();
        new_work.retain(|(at, _)| *at > limit);
        new_work
    }
}

/// Six workers, two of which can drain, a discovery service, and a scheduler that watches it.
struct Deployment {
    draining: Vec<DrainSwitch>,
    discovery: StandInDiscovery,
    watch: WatchConnection,
    scheduler: SchedulerProcess,
}

impl Deployment {
    fn start() -> Deployment {
        let mut addresses = Vec::new();
        let mut switches = Vec::new();
        for _ in 0..WORKERS {
            let worker = StandInWorker::node_agent();
            let switch = DrainSwitch::default();
            addresses.push(worker.address());
            switches.push(switch.clone());
            worker.serve(move |command| switch.reply_to(command));
        }
        let discovery = StandInDiscovery::new();
        let mut settings = default_settings();
        settings["contract"]["drainGraceNs"] = json!(DRAIN_GRACE_PERIOD.as_nanos() as u64);
        let scheduler = Configuration::new(&addresses)
            .settings(settings)
            .discovery(discovery.address())
            .start();
        let watch = discovery.accept_from(1);
        switches.truncate(DRAINING_WORKERS);
        Deployment {
            draining: switches,
            discovery,
            watch,
            scheduler,
        }
    }
}

/// Traffic at a constant rate on one connection.
struct Traffic {
    sender: thread::JoinHandle<Vec<(u32, Instant)>>,
    receiver: thread::JoinHandle<BTreeSet<u32>>,
}

impl Traffic {
    /// Sends one request per `interval` until `duration` has passed, to each of the functions in turn.
    fn start(scheduler: &SchedulerProcess, interval: Duration, duration: Duration) -> Traffic {
        let mut client = FrameClient::connect(scheduler);
        let mut output = client.stream.try_clone().unwrap();
        let began_at = Instant::now();
        let sender = thread::spawn(move || {
            let mut sent = Vec::new();
            for n in 1.. {
                let at = began_at + interval * n;
                if at > began_at + duration {
                    break;
                }
                thread::sleep(at.saturating_duration_since(Instant::now()));
                let payload = request_to_function(n % FUNCTIONS + 1, &request_id(n), REQUEST_TIMEOUT_MS);
                output
                    .write_all(&frame(frame_type::REQUEST, n, &payload))
                    .unwrap();
                sent.push((n, Instant::now()));
            }
            thread::sleep(FINAL_RESPONSE_WAIT);
            output.shutdown(Shutdown::Write).unwrap();
            sent
        });
        let receiver = thread::spawn(move || {
            let mut served = BTreeSet::new();
            while let Some(response) = client.next_response() {
                if response.code() == code::SERVED {
                    served.insert(response.stream);
                }
            }
            served
        });
        Traffic { sender, receiver }
    }

    /// Waits for all requests to end. Returns the served fraction, 0 to 1, of those sent from `since` on.
    fn served_fraction_since(self, since: Instant) -> f64 {
        let mut sent = self.sender.join().unwrap();
        let served = self.receiver.join().unwrap();
        sent.retain(|(_, at)| *at >= since);
        assert!(!sent.is_empty(), "no request was sent late in the outage");
        let served_late = sent.iter().filter(|(n, _)| served.contains(n)).count();
        served_late as f64 / sent.len() as f64
    }
}

/// Behaviour of the discovery service in an outage.
enum OutageMode {
    /// Open and new connections stay open but carry nothing.
    Silent,
    /// Open connections are closed, and new ones are refused.
    Refusing,
}

/// Asserts that draining workers get no new work after the grace period, and that the others serve requests.
fn assert_draining_workers_get_no_new_work(mode: &OutageMode, interval: Duration) {
    let Deployment {
        draining,
        discovery,
        mut watch,
        scheduler,
    } = Deployment::start();
    let traffic = Traffic::start(&scheduler, interval, WARM_UP + OUTAGE);
    thread::sleep(WARM_UP);
    watch.send(&heartbeat_frame(1));
    let outage_began_at = Instant::now();
    // In silent mode, the listener and the watch connection stay open until the traffic has ended.
    let mut open = Some((discovery, watch));
    if matches!(mode, OutageMode::Refusing) {
        open = None;
    }
    thread::sleep(DRAIN_DELAY);
    draining.iter().for_each(DrainSwitch::start_draining);
    let served = traffic.served_fraction_since(outage_began_at + MAX_NOTIFICATION_DELAY + DRAIN_GRACE_PERIOD);
    drop(open);

    let limit = outage_began_at + MAX_NOTIFICATION_DELAY + DRAIN_GRACE_PERIOD + SLACK;
    let late: Vec<(Instant, Value)> = draining
        .iter()
        .flat_map(|worker| worker.received_after(limit))
        .collect();
    let first = late.first().map(|(at, work)| (*at - outage_began_at, work));
    assert!(
        late.is_empty(),
        "draining workers received {} commands too late, the first was {first:?}",
        late.len()
    );
    assert!(
        served >= MIN_SERVED_FRACTION,
        "only {served:.3} of the requests were served"
    );
}

#[test]
fn draining_workers_get_no_new_work_while_discovery_is_silent() {
    assert_draining_workers_get_no_new_work(&OutageMode::Silent, Duration::from_millis(10));
}

#[test]
fn draining_workers_get_no_new_work_at_a_low_request_rate() {
    assert_draining_workers_get_no_new_work(&OutageMode::Refusing, Duration::from_millis(250));
}

/// Returns settings under which the endpoint list soon becomes stale unless discovery confirms it.
fn short_grace_settings() -> Value {
    let mut settings = default_settings();
    settings["contract"]["drainGraceNs"] = json!(100_000_000);
    settings
}

/// Returns whether a response has a field with this name.
fn has_field(response: &ReceivedFrame, name: &str) -> bool {
    let name = [&[name.len() as u8][..], name.as_bytes()].concat();
    response.payload.windows(name.len()).any(|bytes| bytes == name)
}

/// While no worker is confirmed, requests are rejected at once with a retry delay. The log states the cause,
/// and service resumes once a new discovery service confirms the list.
#[test]
fn requests_are_rejected_at_once_while_no_worker_is_confirmed() {
    let worker = StandInWorker::node_agent();
    let address = worker.address();
    worker.serve(echo);
    let unresponsive = FullBacklogWorker::new();
    let scheduler = Configuration::new(&[address])
        .settings(short_grace_settings())
        .discovery(unresponsive.address())
        .start();
    scheduler.wait_for_log("endpoint list stale");
    let mut client = FrameClient::connect(&scheduler);
    for n in 1..=3 {
        let sent_at = Instant::now();
        client.send_idempotent(n, 2_900, b"x");
        let response = client.next_response().expect("a response");
        assert_eq!((response.stream, response.code()), (n, code::REJECTED));
        assert!(has_field(&response, "cooldown"), "{response:?}");
        assert!(sent_at.elapsed() < Duration::from_millis(900), "rejected late");
    }
    scheduler.assert_counters([
        ("endpoint_list_stale", 1),
        ("worker_leases_expired", 1),
        ("requests_rejected_unconfirmed", 3),
        ("attempts_written", 0),
    ]);
    let discovery = StandInDiscovery::new();
    scheduler.apply_change(|config| config["bus"] = json!(discovery.address().to_string()));
    let _watch = discovery.accept_from(1);
    let log = scheduler.wait_for_log("endpoint list confirmed");
    assert!(log.contains("requests_rejected=3"), "{log}");
    client.send_idempotent(4, 2_900, b"x");
    client.expect_served(4, b"x");
}

/// Discovery does not publish changes of the workers in the operator's file, so these workers need no lease.
#[test]
fn a_worker_of_the_operators_file_serves_without_discovery() {
    let folder = TempFolder::new();
    let path = folder.file("worker.sock");
    StandInWorker::jsonrpc(&path).serve(echo);
    let unresponsive = FullBacklogWorker::new();
    let scheduler = Configuration::new(&[])
        .settings(short_grace_settings())
        .discovery(unresponsive.address())
        .operator_file(|folder| {
            operator_file(folder) + &format!("[[checkers]]\nid = \"s-0000c001\"\nsocket = {path:?}\n")
        })
        .start();
    scheduler.wait_for_log("endpoint list stale");
    let mut client = FrameClient::connect(&scheduler);
    client.send_idempotent(1, 2_900, b"x");
    client.expect_served(1, b"x");
    scheduler.assert_counters([("worker_leases_expired", 0)]);
}
