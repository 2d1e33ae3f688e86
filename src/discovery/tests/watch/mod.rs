//! Tests of the watch, with listeners of the test in place of the discovery service.

mod address_change;
mod events;
mod reconnect;
mod status;

use crate::config::parse_site;
use crate::discovery::Discovery;
use crate::model::{ConnectionId, Span, Time};
use crate::runtime::{self, Reactor};
use crate::scheduler::Scheduler;
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// A broadcast address, to which the operating system refuses TCP connections immediately.
const BROADCAST_ADDRESS: &str = "127.255.255.255:1";
/// Upper bound on waiting for a socket; no test depends on its value.
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

    /// Polls and returns the delay until the next connection, if one is scheduled.
    fn delay_after_poll(&mut self, now: Time) -> Option<Span> {
        self.poll(now);
        self.discovery.next_timer().map(|at| at - now)
    }

    /// Polls the reactor until the current connection has closed.
    fn run_until_disconnected(&mut self) {
        while !self.discovery.queue.borrow().disconnected {
            self.reactor.poll(None).unwrap();
        }
    }

    /// Polls the reactor until the listener accepts a connection; returns the accepted stream and the offset
    /// after which the watch requests events.
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
        panic!("the connection has closed");
    }

    fn connection(&self) -> ConnectionId {
        self.discovery.connection.expect("no connection has been opened")
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

fn immediately_refused_address() -> SocketAddr {
    BROADCAST_ADDRESS.parse().unwrap()
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
