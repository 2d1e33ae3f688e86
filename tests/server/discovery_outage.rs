//! Workers that drain while the discovery service is out of reach.
//!
//! What was seen: in a validation with faults, discovery was out of reach of every scheduler for longer than its clocks
//! for silence. Two busy workers began to drain just after the outage had begun, and stayed up. The schedulers went on
//! sending them attempts and load orders long after the drain counted as notified and the grace period was over.
//!
//! How it came about: a change that discovery cannot deliver counts as notified all the same, 4 s after the outage began
//! at the latest. A draining worker rejects what is new, which looks like a worker at capacity: it is tried again after
//! a short pause.
//!
//! Cause: the endpoint list was kept without its age. Placement, load orders and the check before a write asked only
//! what the list had last said, however long ago that was.
//!
//! Proof: with nothing else at fault, on real processes, these tests send to the draining workers for as long as the
//! outage lasts, and stop doing so where the age of the list is asked, too.

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
/// Functions that the clients call, each with another home among the workers.
const FUNCTIONS: u32 = 12;
/// What the settings allow after a drain has been notified.
const DRAIN_GRACE_PERIOD: Duration = Duration::from_millis(500);
/// A change counts as notified so long after the beginning of the outage, at the latest (page PROTOCOL, "Figures").
const MAX_NOTIFICATION_DELAY: Duration = Duration::from_secs(4);
/// How much longer every time limit is on real sockets (page PROTOCOL).
const SLACK: Duration = Duration::from_millis(50);
/// Traffic before the outage: the schedulers know which workers have which functions.
const WARM_UP: Duration = Duration::from_millis(1_000);
const DRAIN_DELAY: Duration = Duration::from_millis(200);
const OUTAGE: Duration = Duration::from_millis(8_000);
/// How long a client waits for a response.
const REQUEST_TIMEOUT_MS: u64 = 2_000;
/// Time for the last responses, before the client leaves.
const FINAL_RESPONSE_WAIT: Duration = Duration::from_millis(REQUEST_TIMEOUT_MS);
/// The fraction of the requests, 0 to 1, that the remaining workers have to serve late in the outage.
const MIN_SERVED_FRACTION: f64 = 0.95;

/// A worker that can be told to drain: it then rejects new work, and keeps the times at which that came.
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

    /// New work that came later than this.
    fn received_after(&self, limit: Instant) -> Vec<(Instant, Value)> {
        let mut new_work = self.new_work.lock().unwrap().clone();
        new_work.retain(|(at, _)| *at > limit);
        new_work
    }
}

/// Six workers, of which two can drain, a discovery service, and a scheduler that watches it.
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

/// Requests at a steady rate on one connection.
struct Traffic {
    sender: thread::JoinHandle<Vec<(u32, Instant)>>,
    receiver: thread::JoinHandle<BTreeSet<u32>>,
}

impl Traffic {
    /// Sends requests for so long; each function in turn.
    fn start(scheduler: &SchedulerProcess, interval: Duration, length: Duration) -> Traffic {
        let mut client = FrameClient::connect(scheduler);
        let mut output = client.stream.try_clone().unwrap();
        let began_at = Instant::now();
        let sender = thread::spawn(move || {
            let mut sent = Vec::new();
            for n in 1.. {
                let at = began_at + interval * n;
                if at > began_at + length {
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

    /// The fraction, 0 to 1, of the requests sent from then on that were served, once all have ended.
    fn served_fraction_since(self, since: Instant) -> f64 {
        let mut sent = self.sender.join().unwrap();
        let served = self.receiver.join().unwrap();
        sent.retain(|(_, at)| *at >= since);
        assert!(!sent.is_empty(), "requests are sent until the end");
        let served_late = sent.iter().filter(|(n, _)| served.contains(n)).count();
        served_late as f64 / sent.len() as f64
    }
}

/// What discovery does while it is out of reach.
enum OutageMode {
    /// Connections stay open and silent, new ones too.
    Silent,
    /// Connections are closed, and new ones are refused.
    Refusing,
}

/// Two of six workers begin to drain in an outage of discovery, with a request in each interval.
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
    // In the silent case both stay open to the end of the test.
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
        "{} to draining workers, first {first:?}",
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

/// Settings under which the endpoint list is stale soon after the start, unless discovery confirms it.
fn short_grace_settings() -> Value {
    let mut settings = default_settings();
    settings["contract"]["drainGraceNs"] = json!(100_000_000);
    settings
}

/// Whether a response has a field of this name.
fn has_field(response: &ReceivedFrame, name: &str) -> bool {
    let name = [&[name.len() as u8][..], name.as_bytes()].concat();
    response.payload.windows(name.len()).any(|bytes| bytes == name)
}

/// Without evidence the rule goes before the request: the client is told at once when to come back. The log alone says
/// what happened, and service comes back with the next heartbeat.
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
        let response = client.next_response().expect("a response comes");
        assert_eq!((response.stream, response.code()), (n, code::REJECTED));
        assert!(has_field(&response, "cooldown"), "{response:?}");
        assert!(sent_at.elapsed() < Duration::from_millis(900), "at once");
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

/// Workers of the operator's file are not published by discovery, so their entries do not age.
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
