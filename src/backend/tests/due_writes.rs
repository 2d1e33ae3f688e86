//! Tests that what a client did since the last poll is known before an attempt is written.

use crate::backend::{Limits, Pool, WorkerAddress};
use crate::config::parse_site;
use crate::frontend::FrameConnection;
use crate::frontend::frame_codec::{FrameType, encode_fields, encode_frame};
use crate::model::{Endpoint, EndpointUpdateKind, Site, Span, WorkerId};
use crate::net::Stream;
use crate::runtime::{self, Reactor};
use crate::scheduler::Scheduler;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

const SITE: &[u8] = br#"{"fleetSize": 100, "index": 0, "tickNs": 2000000, "classes": [
    {"name": "check", "deadlineNs": 60000000000, "effect": "retryable", "objectiveNs": 1000000000}],
  "bounds": {"mostTries": 3, "mayCancel": true, "multiplex": 100, "idleCloseNs": 15000000000,
    "connectTimeoutNs": 15000000000},
  "contract": {"coldFrom": 0.2, "coldNs": 9000000000, "fallMultiple": 3, "fallNs": 2000000000},
  "familyInfo": {"keepNs": 9000000000, "notLoaded": "load", "loadSpanNs": 0}}"#;
const WORKER: WorkerId = WorkerId(1);
const MAX_CONNECTIONS: usize = 64;
/// Number of readiness requests that a client sends at once, more than it has credit for in a turn.
const READINESS_REQUESTS: usize = 10_000;
/// Longer than the age of a poll at which clients are checked again.
const SUSPENSION: Duration = Duration::from_millis(60);
const POLL_TIME: Span = Span::from_millis(50);

/// A scheduler with one worker, and a client that is connected to it.
struct Deployment {
    reactor: Reactor,
    pool: Pool,
    worker: BufReader<TcpStream>,
    client: TcpStream,
}

impl Deployment {
    /// Connects the client, and the scheduler to its worker, which has received the request with number 1.
    fn new() -> Deployment {
        let site: Site = parse_site(SITE).unwrap();
        let limits = Limits::for_site(&site, MAX_CONNECTIONS);
        let mut reactor = runtime::reactor(Scheduler::new(site, 7)).unwrap();
        let mut pool = Pool::new(limits);
        let workers = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = WorkerAddress::NodeAgent(workers.local_addr().unwrap());
        pool.set_address(WORKER, address, None);
        let endpoint = Endpoint {
            worker: WORKER,
            weight: 1.0,
            ..Endpoint::default()
        };
        let now = reactor.now();
        reactor
            .shared
            .scheduler
            .update_endpoints(now, EndpointUpdateKind::Snapshot, vec![endpoint]);
        let client = connect_client(&mut reactor);
        let mut deployment = Deployment {
            reactor,
            pool,
            client,
            worker: BufReader::new(loopback_pair().0),
        };
        deployment.send_request(1);
        deployment.run_until_submitted(1);
        deployment.execute_commands();
        deployment.worker = BufReader::new(workers.accept().unwrap().0);
        while deployment.attempts_written() == 0 {
            deployment.poll();
            deployment.execute_commands();
        }
        deployment.read_request(1);
        deployment
    }

    fn send_request(&mut self, number: u32) {
        let fields = [
            ("service", "check"),
            ("ref", &format!("{number:016x}")),
            ("allow", "20000"),
            ("lookup", "0000000000000001"),
        ];
        let frame = encode_frame(FrameType::Request, number, &[&encode_fields(&fields)]);
        self.client.write_all(&frame).unwrap();
    }

    /// Polls until the scheduler has received this number of requests, without executing its commands.
    fn run_until_submitted(&mut self, requests: u64) {
        while self.reactor.shared.scheduler.counters().requests_received < requests {
            self.poll();
        }
    }

    fn poll(&mut self) {
        let until = self.reactor.now() + POLL_TIME;
        self.reactor.poll(Some(until)).unwrap();
    }

    fn execute_commands(&mut self) {
        while let Some(command) = self.reactor.shared.scheduler.next_command() {
            self.pool.execute(command, &mut self.reactor);
        }
        self.reactor.run_due_writes();
    }

    fn attempts_written(&mut self) -> u64 {
        self.reactor.shared.scheduler.counters().attempts_written
    }

    fn read_request(&mut self, number: u32) {
        let mut line = String::new();
        self.worker.read_line(&mut line).unwrap();
        assert!(line.contains(&format!("{number:016x}")), "{line}");
    }
}

/// Adds a connected client to the reactor and returns its end of the connection.
fn connect_client(reactor: &mut Reactor) -> TcpStream {
    let (client, accepted) = loopback_pair();
    accepted.set_nonblocking(true).unwrap();
    let stream = Stream::Tcp(mio::net::TcpStream::from_std(accepted));
    let connection = FrameConnection::new(reactor.now());
    reactor
        .add_connected(stream, Box::new(connection), FrameConnection::buffer_limits())
        .unwrap();
    client
}

fn loopback_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (client, listener.accept().unwrap().0)
}

/// Guards against an attempt for a client that left while the process was suspended between a poll and the
/// write.
#[test]
fn an_attempt_is_not_written_if_its_client_has_left_since_the_last_poll() {
    let leave: [fn(&mut TcpStream); 2] = [
        |client| client.shutdown(std::net::Shutdown::Both).unwrap(),
        |client| {
            client
                .write_all(&encode_frame(FrameType::Cancel, 2, &[]))
                .unwrap()
        },
    ];
    for leave in leave {
        let mut deployment = Deployment::new();
        deployment.send_request(2);
        deployment.run_until_submitted(2);
        leave(&mut deployment.client);
        thread::sleep(SUSPENSION);
        deployment.execute_commands();
        assert_eq!(deployment.attempts_written(), 1);
        let counters = deployment.reactor.shared.scheduler.counters();
        assert!(counters.requests_cancelled > 0);
        assert!(counters.clients_rechecked > 0);
    }
}

#[test]
fn an_attempt_is_written_if_its_client_still_waits_after_a_suspension() {
    let mut deployment = Deployment::new();
    deployment.send_request(2);
    deployment.run_until_submitted(2);
    thread::sleep(SUSPENSION);
    deployment.execute_commands();
    assert_eq!(deployment.attempts_written(), 2);
    deployment.read_request(2);
}

/// Guards against an attempt for a client that has left, if the cancellation waits unread behind much other input
/// of that client; and against a delay of the attempts of other clients behind it.
#[test]
fn an_attempt_waits_while_its_client_has_old_input_that_is_not_handled() {
    let mut deployment = Deployment::new();
    deployment.send_request(2);
    let readiness_request = encode_frame(FrameType::ReadinessRequest, 1, &[&[0]]);
    deployment
        .client
        .write_all(&readiness_request.repeat(READINESS_REQUESTS))
        .unwrap();
    let cancel = encode_frame(FrameType::Cancel, 2, &[]);
    deployment.client.write_all(&cancel).unwrap();
    deployment.run_until_submitted(2);
    let mut other_client = connect_client(&mut deployment.reactor);
    std::mem::swap(&mut deployment.client, &mut other_client);
    deployment.send_request(3);
    deployment.run_until_submitted(3);
    thread::sleep(SUSPENSION);
    deployment.execute_commands();
    assert_eq!(
        deployment.attempts_written(),
        2,
        "the first and that of the other client"
    );
    deployment.read_request(3);
    while deployment.reactor.shared.scheduler.counters().requests_cancelled == 0 {
        deployment.poll();
    }
    deployment.execute_commands();
    assert_eq!(deployment.attempts_written(), 2);
}
