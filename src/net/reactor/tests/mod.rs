//! Tests of the reactor with connections that echo their input, close or panic.

mod deferred_output;
mod fair_queue;
mod input_scheduling;
mod memory;
mod polling;

use super::token::EventSource;
use super::*;
use crate::model::Span;
use crate::net::{BufferLimits, BufferedStream, CloseCause, Connection, ConnectionFlow, Context, LongTurn};
use std::io::{Read, Write};
use std::time::Duration;

/// Limits of buffers that hold a few bytes.
const LIMITS: BufferLimits = BufferLimits {
    input: 100,
    output: 100,
};

/// Shared state that counts the reactor's reports.
#[derive(Default)]
struct ReportCounts {
    panics: u32,
    failed_registrations: u32,
}

impl SharedState for ReportCounts {
    fn panic_caught(&mut self) {
        self.panics += 1;
    }

    fn registration_failed(&mut self) {
        self.failed_registrations += 1;
    }

    fn connection_rechecked(&mut self) {}

    fn long_turn_ended(&mut self, _now: Time, _turn: &LongTurn) {}
}

/// A connection that echoes its input, and panics if the input contains `!`.
struct PanickingEcho;

impl Connection<ReportCounts> for PanickingEcho {
    fn opened(
        &mut self,
        _socket: &mut BufferedStream,
        _context: &mut Context<ReportCounts>,
    ) -> ConnectionFlow {
        ConnectionFlow::Continue
    }

    fn received(
        &mut self,
        socket: &mut BufferedStream,
        _context: &mut Context<ReportCounts>,
    ) -> ConnectionFlow {
        let bytes = std::mem::take(&mut socket.input);
        assert!(!bytes.contains(&b'!'), "intentional panic");
        socket.enqueue(&bytes);
        ConnectionFlow::Continue
    }

    fn closed(&mut self, _socket: &BufferedStream, _cause: CloseCause, _context: &mut Context<ReportCounts>) {
    }
}

/// A connection that echoes its input. It is idle from the start and closes at the given time, unless it has
/// received input before.
struct ClosingEcho {
    closes_at: Option<Time>,
}

impl Connection<ReportCounts> for ClosingEcho {
    fn opened(
        &mut self,
        _socket: &mut BufferedStream,
        _context: &mut Context<ReportCounts>,
    ) -> ConnectionFlow {
        ConnectionFlow::Continue
    }

    fn received(
        &mut self,
        socket: &mut BufferedStream,
        _context: &mut Context<ReportCounts>,
    ) -> ConnectionFlow {
        let bytes = std::mem::take(&mut socket.input);
        socket.enqueue(&bytes);
        self.closes_at = None;
        ConnectionFlow::Continue
    }

    fn timer_expired(
        &mut self,
        _socket: &mut BufferedStream,
        context: &mut Context<ReportCounts>,
    ) -> ConnectionFlow {
        match self.closes_at {
            Some(time) if time <= context.now => ConnectionFlow::Close,
            _ => ConnectionFlow::Continue,
        }
    }

    fn deadline(&self) -> Option<Time> {
        self.closes_at
    }

    fn closed(&mut self, _socket: &BufferedStream, _cause: CloseCause, _context: &mut Context<ReportCounts>) {
    }

    fn idle_since(&self) -> Option<Time> {
        self.closes_at
    }
}

/// A connection that handles its input for longer than a poll counts as recent, while a peer sends.
struct SlowConnection {
    peer: UnixStream,
}

impl Connection<ReportCounts> for SlowConnection {
    fn opened(
        &mut self,
        _socket: &mut BufferedStream,
        _context: &mut Context<ReportCounts>,
    ) -> ConnectionFlow {
        ConnectionFlow::Continue
    }

    fn received(
        &mut self,
        socket: &mut BufferedStream,
        _context: &mut Context<ReportCounts>,
    ) -> ConnectionFlow {
        socket.input.clear();
        self.peer.write_all(b"x").unwrap();
        std::thread::sleep(Duration::from_millis(50));
        ConnectionFlow::Continue
    }

    fn closed(&mut self, _socket: &BufferedStream, _cause: CloseCause, _context: &mut Context<ReportCounts>) {
    }
}

/// A client's connection that panics on any input and then has output for its client.
struct PanickingClient;

impl Connection<ReportCounts> for PanickingClient {
    fn opened(
        &mut self,
        _socket: &mut BufferedStream,
        _context: &mut Context<ReportCounts>,
    ) -> ConnectionFlow {
        ConnectionFlow::Continue
    }

    fn received(
        &mut self,
        _socket: &mut BufferedStream,
        _context: &mut Context<ReportCounts>,
    ) -> ConnectionFlow {
        panic!("intentional panic");
    }

    fn closed(&mut self, _socket: &BufferedStream, _cause: CloseCause, _context: &mut Context<ReportCounts>) {
    }

    fn is_client(&self) -> bool {
        true
    }

    fn fail_open_requests(
        &mut self,
        socket: &mut BufferedStream,
        _context: &mut Context<ReportCounts>,
    ) -> ConnectionFlow {
        socket.enqueue(b"failed");
        ConnectionFlow::Finish
    }
}

fn reactor() -> Reactor<ReportCounts> {
    Reactor::new(SystemClock::new(), ReportCounts::default()).unwrap()
}

/// Adds a connection. Returns its id and the other end of its stream.
fn add(
    connection: impl Connection<ReportCounts>,
    reactor: &mut Reactor<ReportCounts>,
    limits: BufferLimits,
) -> (ConnectionId, UnixStream) {
    let (near, far) = UnixStream::pair().unwrap();
    near.set_nonblocking(true).unwrap();
    let stream = Stream::Unix(mio::net::UnixStream::from_std(near));
    let id = reactor.add_connected(stream, Box::new(connection), limits);
    (id.unwrap(), far)
}

fn add_echo(reactor: &mut Reactor<ReportCounts>, limits: BufferLimits) -> (ConnectionId, UnixStream) {
    add(PanickingEcho, reactor, limits)
}

/// Input may arrive after the last poll. Closing the connection as idle would lose the request that it
/// carries.
#[test]
fn a_connection_on_which_input_waits_is_not_closed_as_idle() {
    let mut reactor = reactor();
    let closes_at = Some(reactor.now());
    let (_, mut timed) = add(ClosingEcho { closes_at }, &mut reactor, LIMITS);
    timed.write_all(b"x").unwrap();
    reactor.fire_timers();
    assert_eq!(reactor.connection_count(), 1, "its timer closed it");
    let (_, mut idle) = add(ClosingEcho { closes_at }, &mut reactor, LIMITS);
    idle.write_all(b"y").unwrap();
    assert!(!reactor.close_longest_idle(), "closed to free its descriptor");
    for (mut far, expected) in [(timed, b'x'), (idle, b'y')] {
        let mut byte = [0];
        far.read_exact(&mut byte).unwrap();
        assert_eq!(byte, [expected]);
    }
}

/// Guards against timers that act on outdated knowledge: what comes while the process is busy for long is
/// handled before `poll` returns, and so before the caller's timers.
#[test]
fn input_that_arrives_while_events_are_handled_for_long_is_handled_before_the_poll_returns() {
    let mut reactor = reactor();
    let (_, peer) = add_echo(&mut reactor, LIMITS);
    let mut responses = peer.try_clone().unwrap();
    let (_, mut slow) = add(SlowConnection { peer }, &mut reactor, LIMITS);
    slow.write_all(b"y").unwrap();
    reactor.poll(None).unwrap();
    responses.set_nonblocking(true).unwrap();
    assert_eq!(responses.read(&mut [0]).expect("the echo has been written"), 1);
}

#[test]
fn a_panic_closes_its_connection_and_no_other() {
    let mut reactor = reactor();
    let (_, mut first) = add_echo(&mut reactor, LIMITS);
    let (_, mut second) = add_echo(&mut reactor, LIMITS);
    first.write_all(b"!").unwrap();
    second.write_all(b"x").unwrap();
    while reactor.shared.panics == 0 || reactor.connection_count() > 1 {
        reactor.poll(None).unwrap();
    }
    let mut byte = [0];
    assert_eq!(first.read(&mut byte).unwrap(), 0, "closed");
    let soon = Some(reactor.now() + Span::from_millis(100));
    reactor.poll(soon).unwrap();
    second.read_exact(&mut byte).unwrap();
    assert_eq!(byte, [b'x']);
    assert_eq!(reactor.shared.panics, 1);
    assert_eq!(reactor.shared.failed_registrations, 0);
}

#[test]
fn open_requests_are_failed_before_a_panic_closes_their_connection() {
    let mut reactor = reactor();
    let (_, mut far) = add(PanickingClient, &mut reactor, LIMITS);
    far.write_all(b"x").unwrap();
    reactor.poll(None).unwrap();
    let mut response = Vec::new();
    far.read_to_end(&mut response).unwrap();
    assert_eq!(response, b"failed");
    assert_eq!(reactor.shared.panics, 1);
}

#[test]
fn each_event_source_is_found_again_by_its_token() {
    let sources = [
        EventSource::Listener(ListenerId(0)),
        EventSource::Listener(ListenerId(255)),
        EventSource::Pipe(PipeId(0)),
        EventSource::Pipe(PipeId(255)),
        EventSource::UdpSocket(UdpSocketId(0)),
        EventSource::UdpSocket(UdpSocketId(511)),
        EventSource::Connection(token::FIRST_CONNECTION),
        EventSource::Connection(ConnectionId(1 << 40)),
    ];
    for source in sources {
        assert_eq!(EventSource::from_token(source.token()), source);
    }
}
