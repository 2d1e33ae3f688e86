//! The watch: its queue of events, its backoff and its move to another address.

use super::{delta, endpoint, full_list, record};
use crate::config::parse_site;
use crate::discovery::Discovery;
use crate::discovery::watch_connection::{WatchConnection, WatchQueue};
use crate::model::{ConnectionId, EndpointState, Span, Time};
use crate::net::Connection;
use crate::runtime::{self, Reactor};
use crate::scheduler::Scheduler;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// The system refuses at once to begin a TCP connection to a broadcast address.
const REFUSED_AT_ONCE: &str = "127.255.255.255:1";
/// Bounds a wait on a socket; no test depends on its length.
const SOCKET_TIMEOUT: Duration = Duration::from_secs(20);
const SITE: &[u8] = br#"{"fleetSize": 1, "index": 0, "classes": [], "bounds": {"mostTries": 1},
    "contract": {"coldFrom": 1, "coldNs": 1, "fallMultiple": 1, "fallNs": 1},
    "familyInfo": {"keepNs": 1, "notLoaded": "load", "loadSpanNs": 0}}"#;

struct Watch {
    discovery: Discovery,
    reactor: Reactor,
}

impl Watch {
    fn new(address: Option<SocketAddr>) -> Watch {
        let scheduler = Scheduler::new(parse_site(SITE).unwrap(), 1);
        let reactor = runtime::reactor(scheduler).unwrap();
        Watch {
            discovery: Discovery::new(address, Vec::new(), Vec::new(), reactor.now()),
            reactor,
        }
    }

    fn poll(&mut self, now: Time) {
        self.discovery.poll_watch(now, &mut self.reactor);
    }

    /// Polls, and gives the delay until the next connection.
    fn delay_after_poll(&mut self, now: Time) -> Option<Span> {
        self.poll(now);
        self.discovery.next_timer().map(|at| at - now)
    }

    /// Lets connections call back until the present one has ended.
    fn run_until_disconnected(&mut self) {
        while !self.discovery.queue.borrow().disconnected {
            self.reactor.poll(None).unwrap();
        }
    }

    /// Lets connections call back until one has connected to the listener; the other end, and the offset
    /// after which events are asked for.
    fn run_until_accepted(&mut self, listener: &TcpListener) -> (TcpStream, u64) {
        while self.reactor.has_connection(self.connection()) {
            let soon = self.reactor.now() + Span::from_millis(10);
            self.reactor.poll(Some(soon)).unwrap();
            if let Ok((mut stream, _)) = listener.accept() {
                stream.set_nonblocking(false).unwrap();
                stream.set_read_timeout(Some(SOCKET_TIMEOUT)).unwrap();
                self.reactor.poll(Some(soon)).unwrap();
                let mut offset = [0; 8];
                stream.read_exact(&mut offset).unwrap();
                return (stream, u64::from_be_bytes(offset));
            }
        }
        panic!("the connection has ended");
    }

    fn connection(&self) -> ConnectionId {
        self.discovery.connection.expect("a connection was begun")
    }

    fn restart(&mut self, now: Time) {
        self.discovery.restart_watch(now, &mut self.reactor);
    }
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn unused_address() -> SocketAddr {
    listen().1
}

fn refused_at_once() -> SocketAddr {
    REFUSED_AT_ONCE.parse().unwrap()
}

#[test]
fn without_an_address_nothing_is_due() {
    let mut watch = Watch::new(None);
    let now = watch.reactor.now();
    assert_eq!(watch.delay_after_poll(now), None);
    assert_eq!(watch.reactor.connection_count(), 0);
}

#[test]
fn the_first_connection_is_begun_at_once() {
    let (_listener, address) = listen();
    let mut watch = Watch::new(Some(address));
    let now = watch.reactor.now();
    assert_eq!(watch.delay_after_poll(now), None, "a connection is coming up");
    assert_eq!(watch.reactor.connection_count(), 1);
    watch.poll(now + Span::from_millis(60_000));
    assert_eq!(watch.reactor.connection_count(), 1, "one at a time");
}

#[test]
fn delays_double_up_to_a_limit_while_connections_are_refused() {
    let mut watch = Watch::new(Some(unused_address()));
    let mut now = watch.reactor.now();
    watch.poll(now);
    for expected in [100, 200, 400, 400] {
        watch.run_until_disconnected();
        let delay = watch.delay_after_poll(now);
        assert_eq!(delay, Some(Span::from_millis(expected)));
        now = now + Span::from_millis(expected);
        assert_eq!(watch.delay_after_poll(now), None, "the next one is begun");
    }
}

#[test]
fn a_connection_that_fails_at_once_is_retried_one_step_later() {
    let mut watch = Watch::new(Some(refused_at_once()));
    let mut now = watch.reactor.now();
    for expected in [200, 400, 400] {
        let delay = watch.delay_after_poll(now);
        assert_eq!(delay, Some(Span::from_millis(expected)));
        assert_eq!(watch.reactor.connection_count(), 0);
        now = now + Span::from_millis(expected);
    }
}

#[test]
fn a_frame_ends_the_row_of_failures() {
    let (listener, address) = listen();
    let mut watch = Watch::new(Some(refused_at_once()));
    let mut now = watch.reactor.now();
    for expected in [200, 400] {
        assert_eq!(watch.delay_after_poll(now), Some(Span::from_millis(expected)));
        now = now + Span::from_millis(expected);
    }
    watch.discovery.set_address(Some(address));
    watch.poll(now);
    let (mut stream, _) = watch.run_until_accepted(&listener);
    stream.write_all(&heartbeat()).unwrap();
    drop(stream);
    watch.run_until_disconnected();
    assert_eq!(watch.delay_after_poll(now), Some(Span::from_millis(100)));
}

#[test]
fn a_move_is_followed_at_once_and_the_old_end_does_not_count() {
    let (old, old_address) = listen();
    let (new, new_address) = listen();
    let mut watch = Watch::new(Some(old_address));
    let now = watch.reactor.now();
    watch.poll(now);
    let (mut stream, offset) = watch.run_until_accepted(&old);
    assert_eq!(offset, 0);
    watch.discovery.offer_known(vec![full_list(5, vec![])]);
    assert!(watch.discovery.set_address(Some(new_address)));
    watch.restart(now);
    assert_eq!(
        stream.read(&mut [0; 8]).unwrap(),
        0,
        "the old connection is closed"
    );
    assert_eq!(watch.delay_after_poll(now), None, "the new one is begun");
    let (_stream, offset) = watch.run_until_accepted(&new);
    assert_eq!(offset, 5, "it continues after the last event");
    let queue = watch.discovery.queue.borrow();
    assert_eq!(queue.failed_connections, 0);
    assert!(!queue.disconnected);
}

#[test]
fn a_move_ends_the_row_of_failures() {
    let mut watch = Watch::new(Some(refused_at_once()));
    let now = watch.reactor.now();
    assert_eq!(watch.delay_after_poll(now), Some(Span::from_millis(200)));
    assert!(watch.discovery.set_address(Some(unused_address())));
    watch.restart(now);
    assert_eq!(watch.delay_after_poll(now), None, "begun at once");
    watch.run_until_disconnected();
    assert_eq!(watch.delay_after_poll(now), Some(Span::from_millis(100)));
}

#[test]
fn events_that_wait_are_kept_through_a_move() {
    let mut watch = Watch::new(None);
    let event = delta(1, vec![record(endpoint(1, EndpointState::Ready), 81)]);
    watch.discovery.offer_known(vec![event]);
    watch.restart(Time(1));
    assert_eq!(watch.discovery.last_offset(), 1);
    assert!(watch.discovery.next_change().is_some());
    assert!(watch.discovery.next_change().is_none());
}

#[test]
fn an_unchanged_address_is_no_move() {
    let address = unused_address();
    let mut watch = Watch::new(Some(address));
    assert!(!watch.discovery.set_address(Some(address)));
    assert!(watch.discovery.set_address(None));
    assert!(watch.discovery.set_address(Some(address)));
}

#[test]
fn known_events_are_taken_if_complete_or_next() {
    let mut watch = Watch::new(None);
    let next_change = |watch: &mut Watch| watch.discovery.next_change().is_some();
    watch.discovery.offer_known(vec![delta(2, vec![])]);
    assert!(!next_change(&mut watch), "event 1 is missing");
    watch.discovery.offer_known(vec![full_list(2, vec![])]);
    assert!(
        next_change(&mut watch),
        "a complete list needs no event before it"
    );
    let repeated = vec![full_list(1, vec![]), full_list(2, vec![]), delta(2, vec![])];
    watch.discovery.offer_known(repeated);
    assert!(!next_change(&mut watch), "received before");
    watch
        .discovery
        .offer_known(vec![delta(3, vec![]), delta(4, vec![]), delta(6, vec![])]);
    assert_eq!(watch.discovery.last_offset(), 4);
    assert!(next_change(&mut watch) && next_change(&mut watch));
    assert!(!next_change(&mut watch), "event 5 is missing");
}

#[test]
fn all_known_events_are_taken_at_the_start() {
    let known = vec![full_list(3, vec![]), delta(7, vec![])];
    let mut discovery = Discovery::new(None, known, Vec::new(), Time(0));
    assert_eq!(discovery.last_offset(), 7);
    assert!(discovery.next_change().is_some());
    assert!(discovery.next_change().is_some());
    assert!(discovery.next_change().is_none());
}

#[test]
fn repeated_events_are_dropped() {
    let (listener, address) = listen();
    let mut watch = Watch::new(Some(address));
    watch.discovery.offer_known(vec![full_list(5, vec![])]);
    assert!(watch.discovery.next_change().is_some());
    watch.poll(watch.reactor.now());
    let (mut stream, offset) = watch.run_until_accepted(&listener);
    assert_eq!(offset, 5);
    stream
        .write_all(&[empty_delta(5), empty_delta(6), empty_delta(6)].concat())
        .unwrap();
    drop(stream);
    watch.run_until_disconnected();
    assert_eq!(watch.discovery.last_offset(), 6);
    assert!(watch.discovery.next_change().is_some());
    assert!(watch.discovery.next_change().is_none());
}

#[test]
fn an_unreadable_frame_ends_the_connection_and_counts() {
    let (listener, address) = listen();
    let mut watch = Watch::new(Some(address));
    watch.poll(watch.reactor.now());
    let (mut stream, _) = watch.run_until_accepted(&listener);
    let unreadable = vec![0; 8];
    stream.write_all(&[empty_delta(1), unreadable].concat()).unwrap();
    watch.run_until_disconnected();
    assert_eq!(watch.reactor.shared.scheduler.counters().decode_errors, 1);
    assert_eq!(watch.discovery.last_offset(), 1, "what came before it is used");
}

#[test]
fn a_silent_connection_is_ended_after_its_timeout() {
    let now = Time(1_000_000_000);
    let queue = Rc::new(RefCell::new(WatchQueue::new(VecDeque::new(), 0)));
    let connection = WatchConnection::new(queue, now);
    assert_eq!(connection.deadline(), Some(now + Span::from_millis(2_500)));
}

fn heartbeat() -> Vec<u8> {
    encode_frame(0, 0)
}

fn empty_delta(offset: u64) -> Vec<u8> {
    encode_frame(offset, 2)
}

fn encode_frame(offset: u64, kind: u8) -> Vec<u8> {
    let mut bytes = 9u32.to_be_bytes().to_vec();
    bytes.extend(offset.to_be_bytes());
    bytes.push(kind);
    bytes
}
