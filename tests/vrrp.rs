//! Tests of VRRP over UDP with scheduler processes: the active scheduler accepts new requests on the JSON-RPC
//! frontend, and the backup rejects them.

#[allow(dead_code, reason = "each test crate uses a part of the support code")]
mod support;

use function_scheduler::vrrp::packet::Advertisement;
use serde_json::json;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use support::configuration::Configuration;
use support::jsonrpc_client::{JsonRpcClient, operator_file, request};
use support::scheduler_process::SchedulerProcess;
use support::worker::StandInWorker;
use support::{IDEMPOTENT_CLASS, REQUEST_ID, WAIT_LIMIT};

const VIRTUAL_ROUTER_ID: u8 = 7;
const VIRTUAL_ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 100);
/// Priority of the scheduler under test, lower than the priorities that its peer advertises.
const PRIORITY: u8 = 100;
const HIGHER_PRIORITY: u8 = 250;
/// Priority in the last advertisement of a router that shuts down.
const STOPPED: u8 = 0;
/// Intervals between advertisements, in centiseconds.
const SHORT_INTERVAL: u16 = 10;
const MEDIUM_INTERVAL: u16 = 50;
const LONG_INTERVAL: u16 = 4000;

/// JSON-RPC error code of a rejected request.
const REJECTED: i64 = -32001;
/// Time for which the client waits for the response to a request, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 2900;

const BECAME_ACTIVE: &str = "state=Active was=Backup";
const BECAME_BACKUP: &str = "state=Backup was=Active";

/// VRRP configuration of a scheduler.
struct RouterConfiguration {
    priority: u8,
    interval_centiseconds: u16,
    bind: SocketAddr,
    peer: SocketAddr,
}

impl RouterConfiguration {
    /// Starts a scheduler that has this configuration and this worker.
    fn start(&self, worker: &StandInWorker) -> SchedulerProcess {
        let RouterConfiguration {
            priority,
            interval_centiseconds,
            bind,
            peer,
        } = self;
        let vrrp = format!(
            "[vrrp]\nvrid = {VIRTUAL_ROUTER_ID}\npriority = {priority}\n\
             interval_cs = {interval_centiseconds}\nbind = \"{bind}\"\n\
             peers = [\"{peer}\"]\naddress = \"{VIRTUAL_ADDRESS}\"\n"
        );
        Configuration::new(&[worker.address()])
            .operator_file(|folder| operator_file(folder) + &vrrp)
            .start()
    }
}

/// A stand-in for another router, with its own socket.
struct StandInRouter {
    socket: UdpSocket,
}

impl StandInRouter {
    fn bind() -> StandInRouter {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        StandInRouter { socket }
    }

    /// Starts a scheduler whose only peer is this router.
    fn start_scheduler(&self, worker: &StandInWorker) -> SchedulerProcess {
        let configuration = RouterConfiguration {
            priority: PRIORITY,
            interval_centiseconds: SHORT_INTERVAL,
            bind: "127.0.0.1:0".parse().unwrap(),
            peer: self.socket.local_addr().unwrap(),
        };
        configuration.start(worker)
    }

    fn send(&self, to: SocketAddr, datagram: &[u8]) {
        self.socket.send_to(datagram, to).unwrap();
    }

    /// Sends an advertisement for the virtual router.
    fn advertise(&self, to: SocketAddr, priority: u8, interval_centiseconds: u16) {
        self.advertise_for(VIRTUAL_ROUTER_ID, to, priority, interval_centiseconds);
    }

    /// Sends an advertisement for the given virtual router.
    fn advertise_for(&self, virtual_router_id: u8, to: SocketAddr, priority: u8, interval_centiseconds: u16) {
        let addresses = vec![VIRTUAL_ADDRESS];
        let advertisement = Advertisement {
            virtual_router_id,
            priority,
            interval_centiseconds,
            addresses,
        };
        self.send(to, &advertisement.encode());
    }

    /// Waits for an advertisement and returns it with its sender.
    fn receive(&self) -> (Advertisement, SocketAddr) {
        let mut datagram = [0; 1500];
        let (length, sender) = self.socket.recv_from(&mut datagram).unwrap();
        (Advertisement::decode(&datagram[..length]).unwrap(), sender)
    }
}

fn send_request(client: &mut JsonRpcClient, id: u32) {
    client.send(&request(
        &json!(id),
        IDEMPOTENT_CLASS,
        REQUEST_ID,
        REQUEST_TIMEOUT_MS,
        "",
    ));
}

/// Sends a request and expects this worker to serve it.
fn expect_served(client: &mut JsonRpcClient, worker: &StandInWorker, id: u32) {
    send_request(client, id);
    worker.next_command().succeed("eQ==");
    client.expect_body("eQ==");
}

/// Returns an address of this loopback host with a free port.
///
/// Each scheduler must know its peer's port before it starts. No other test binds to these hosts, so the
/// ports stay free.
fn free_address(host: Ipv4Addr) -> SocketAddr {
    UdpSocket::bind((host, 0)).unwrap().local_addr().unwrap()
}

#[test]
fn malformed_advertisements_and_those_of_other_routers_are_dropped() {
    let worker = StandInWorker::node_agent();
    let peer = StandInRouter::bind();
    let scheduler = peer.start_scheduler(&worker);
    let (advertisement, address) = peer.receive();
    assert_eq!(advertisement.virtual_router_id, VIRTUAL_ROUTER_ID);
    assert_eq!(advertisement.priority, PRIORITY);
    assert_eq!(advertisement.interval_centiseconds, SHORT_INTERVAL);
    scheduler.wait_for_log(BECAME_ACTIVE);
    let mut client = JsonRpcClient::connect(&scheduler);
    send_request(&mut client, 1);
    let mut command = worker.next_command();
    peer.send(address, b"\x31\x07\xff");
    peer.advertise_for(VIRTUAL_ROUTER_ID + 1, address, HIGHER_PRIORITY, LONG_INTERVAL);
    let unknown_peer = StandInRouter::bind();
    unknown_peer.advertise(address, HIGHER_PRIORITY, LONG_INTERVAL);
    scheduler.wait_for_counter("vrrp_advertisements_dropped", 3);
    assert!(!scheduler.wait_for_log("vrrp").contains(BECAME_BACKUP));
    command.succeed("eA==");
    client.expect_body("eA==");
    expect_served(&mut client, &worker, 2);
}

#[test]
fn only_the_active_scheduler_accepts_new_requests_and_one_that_returns_to_backup_finishes_its_own() {
    let worker = StandInWorker::node_agent();
    let peer = StandInRouter::bind();
    let scheduler = peer.start_scheduler(&worker);
    let (_, address) = peer.receive();
    scheduler.wait_for_log(BECAME_ACTIVE);
    let mut client = JsonRpcClient::connect(&scheduler);
    send_request(&mut client, 1);
    let mut command = worker.next_command();
    // The scheduler returns to backup for three of the peer's long intervals.
    peer.advertise(address, HIGHER_PRIORITY, LONG_INTERVAL);
    scheduler.wait_for_log(BECAME_BACKUP);
    send_request(&mut client, 2);
    client.expect_error(REJECTED);
    command.succeed("eA==");
    assert_eq!(
        client.next_message(),
        json!({"jsonrpc": "2.0", "id": 1, "result": {"body": "eA=="}})
    );
    // The scheduler takes over after its skew time, which is a fraction of the peer's interval.
    peer.advertise(address, HIGHER_PRIORITY, SHORT_INTERVAL);
    peer.advertise(address, STOPPED, SHORT_INTERVAL);
    scheduler.wait_for_log_occurrences(BECAME_ACTIVE, 2);
    expect_served(&mut client, &worker, 3);
}

#[test]
fn a_scheduler_that_shuts_down_hands_over_to_the_backup() {
    let backup_worker = StandInWorker::node_agent();
    let active_worker = StandInWorker::node_agent();
    let backup_address = free_address(Ipv4Addr::new(127, 0, 0, 61));
    let active_address = free_address(Ipv4Addr::new(127, 0, 0, 62));
    let backup_configuration = RouterConfiguration {
        priority: 100,
        interval_centiseconds: MEDIUM_INTERVAL,
        bind: backup_address,
        peer: active_address,
    };
    let active_configuration = RouterConfiguration {
        priority: 200,
        interval_centiseconds: MEDIUM_INTERVAL,
        bind: active_address,
        peer: backup_address,
    };
    let backup = backup_configuration.start(&backup_worker);
    backup.wait_for_log("state=Active");
    let mut active = active_configuration.start(&active_worker);
    active.wait_for_log("state=Active");
    backup.wait_for_log(BECAME_BACKUP);
    let mut client = JsonRpcClient::connect(&backup);
    send_request(&mut client, 1);
    client.expect_error(REJECTED);
    active.signal("TERM");
    active.wait_for_exit();
    let log = active.wait_for_log("ended");
    assert!(log.contains("state=Initialize was=Active"), "{log}");
    backup.wait_for_log_occurrences(BECAME_ACTIVE, 2);
    expect_served(&mut client, &backup_worker, 2);
}
