//! The reactor: one poll, all connections, their timers. Connections are objects that it calls back.

use super::{
    BufferLimits, BufferedStream, ClientConnection, Connection, ConnectionFlow, Context, Stream, SystemClock,
};
use crate::model::Time;
use crate::scheduler::Scheduler;
use mio::net::{TcpListener, TcpStream, UdpSocket, UnixListener, UnixStream};
use mio::{Events, Interest, Poll, Token};
use std::any::Any;
use std::collections::{BTreeSet, HashMap};
use std::io;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream as StdUnixStream;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;
use std::time::Duration;

/// A listener of the reactor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListenerId(usize);

/// A pipe that the reactor watches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PipeId(usize);

/// A UDP socket of the reactor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UdpSocketId(usize);

/// An event that the reactor leaves to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReactorEvent {
    /// A client waits to be accepted at a listener.
    ClientWaiting(ListenerId),
    /// Something was written to a pipe.
    PipeReadable(PipeId),
    /// A UDP socket has datagrams to read.
    DatagramWaiting(UdpSocketId),
}

struct Entry {
    socket: BufferedStream,
    connection: Box<dyn Connection>,
    due: Option<Time>,
    finishing: bool,
    shut: bool,
    /// Bytes that have come and were thrown away since the connection is to end.
    wasted: usize,
}

enum Listener {
    Tcp(TcpListener),
    Unix(UnixListener),
}

/// Bytes taken from one connection in one turn of the loop, and those still taken from one that is to end: a
/// sender at full speed must not keep the others waiting, nor the processor busy with what nobody wants.
const TURN: usize = 256 << 10;
const WASTE: usize = 1 << 20;
/// Output that a connection may always have waiting.
const CLOGGED: usize = 64 << 10;

const PIPES: usize = 1 << 8;
const SOCKETS: usize = 1 << 9;
const FIRST: usize = 1 << 10;

/// See the module's page.
pub struct Reactor {
    poll: Poll,
    events: Events,
    clock: SystemClock,
    listeners: Vec<Option<Listener>>,
    pipes: Vec<mio::net::UnixStream>,
    sockets: Vec<UdpSocket>,
    entries: HashMap<Token, Entry>,
    next: usize,
    timers: BTreeSet<(Time, Token)>,
    /// Nothing happened in the last turn: no socket has anything that has not been looked at.
    quiet: bool,
    /// Bytes of output that wait to be written, on all connections together.
    unsent: usize,
    /// Beyond so many bytes of unsent output a connection that adds to it is closed, if its peer reads nothing.
    pub unsent_limit: usize,
    /// Callbacks are handed this; false while the scheduler is not ready.
    pub ready: bool,
    /// Callbacks are handed this too; false while another daemon is the active one.
    pub active: bool,
}

impl Reactor {
    /// A reactor without connections.
    pub fn new(clock: SystemClock) -> io::Result<Reactor> {
        Ok(Reactor {
            poll: Poll::new()?,
            events: Events::with_capacity(1024),
            clock,
            listeners: vec![],
            pipes: vec![],
            sockets: vec![],
            entries: HashMap::new(),
            next: FIRST,
            timers: BTreeSet::new(),
            quiet: false,
            unsent: 0,
            unsent_limit: usize::MAX,
            ready: false,
            active: true,
        })
    }

    /// The present time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// How many connections are open or being opened.
    pub fn connection_count(&self) -> usize {
        self.entries.len()
    }

    /// Listens on a TCP address; the address, with its port where any would do.
    pub fn listen_tcp(&mut self, at: SocketAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(at)?;
        let at = listener.local_addr()?;
        self.add_listener(Listener::Tcp(listener))?;
        Ok(at)
    }

    /// Listens on a Unix socket that is bound already.
    pub fn listen_unix(&mut self, listener: std::os::unix::net::UnixListener) -> io::Result<ListenerId> {
        listener.set_nonblocking(true)?;
        self.add_listener(Listener::Unix(UnixListener::from_std(listener)))
    }

    fn add_listener(&mut self, mut listener: Listener) -> io::Result<ListenerId> {
        let number = self.listeners.len();
        let registry = self.poll.registry();
        match &mut listener {
            Listener::Tcp(l) => registry.register(l, Token(number), Interest::READABLE)?,
            Listener::Unix(l) => registry.register(l, Token(number), Interest::READABLE)?,
        }
        self.listeners.push(Some(listener));
        Ok(ListenerId(number))
    }

    /// Closes a listener.
    pub fn close_listener(&mut self, listener: ListenerId) {
        let gone = self.listeners.get_mut(listener.0).and_then(Option::take);
        let _ = match gone {
            Some(Listener::Tcp(mut l)) => self.poll.registry().deregister(&mut l),
            Some(Listener::Unix(mut l)) => self.poll.registry().deregister(&mut l),
            None => Ok(()),
        };
    }

    /// Watches the reading end of a pipe.
    pub fn watch_pipe(&mut self, pipe: StdUnixStream) -> io::Result<PipeId> {
        pipe.set_nonblocking(true)?;
        let mut pipe = UnixStream::from_std(pipe);
        let number = self.pipes.len();
        self.poll.registry().register(&mut pipe, Token(PIPES + number), Interest::READABLE)?;
        self.pipes.push(pipe);
        Ok(PipeId(number))
    }

    /// Binds a UDP socket; its id, and the address with its port.
    pub fn bind_udp(&mut self, at: SocketAddr) -> io::Result<(UdpSocketId, SocketAddr)> {
        let mut socket = UdpSocket::bind(at)?;
        let (number, at) = (self.sockets.len(), socket.local_addr()?);
        self.poll.registry().register(&mut socket, Token(SOCKETS + number), Interest::READABLE)?;
        self.sockets.push(socket);
        Ok((UdpSocketId(number), at))
    }

    /// Reads the next datagram of a socket, if there is one; its size and sender.
    pub fn receive_datagram(&self, socket: UdpSocketId, into: &mut [u8]) -> Option<(usize, SocketAddr)> {
        loop {
            match self.sockets[socket.0].recv_from(into) {
                Ok(taken) => return Some(taken),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return None,
                // A peer that is down shows as an error of the socket; what else waits is still there.
                Err(e)
                    if matches!(e.kind(), io::ErrorKind::ConnectionRefused | io::ErrorKind::Interrupted) => {}
                Err(_) => return None,
            }
        }
    }

    /// Sends a datagram; what the system does not take is lost, as datagrams may be.
    pub fn send_datagram(&self, socket: UdpSocketId, bytes: &[u8], to: SocketAddr) {
        let _ = self.sockets[socket.0].send_to(bytes, to);
    }

    /// All listeners, closed ones included.
    pub fn listener_ids(&self) -> Vec<ListenerId> {
        (0..self.listeners.len()).map(ListenerId).collect()
    }

    /// Takes the next client of a listener, if one waits.
    pub fn accept(&mut self, listener: ListenerId) -> io::Result<Option<Stream>> {
        let taken = match &self.listeners[listener.0] {
            None => return Ok(None),
            Some(Listener::Tcp(l)) => l.accept().map(|(stream, _)| {
                let _ = stream.set_nodelay(true);
                Stream::Tcp(stream)
            }),
            Some(Listener::Unix(l)) => l.accept().map(|(stream, _)| Stream::Unix(stream)),
        };
        match taken {
            Ok(stream) => Ok(Some(stream)),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// Begins a TCP connection.
    pub fn connect(&self, to: SocketAddr) -> io::Result<Stream> {
        let stream = TcpStream::connect(to)?;
        let _ = stream.set_nodelay(true);
        Ok(Stream::Tcp(stream))
    }

    /// Begins a connection to a Unix socket.
    pub fn connect_unix(&self, to: &Path) -> io::Result<Stream> {
        UnixStream::connect(to).map(Stream::Unix)
    }

    /// Adds a connection whose stream is connected; its id, or none where it closed at once.
    pub fn add_connected(
        &mut self,
        stream: Stream,
        connection: Box<dyn Connection>,
        limits: BufferLimits,
        scheduler: &mut Scheduler,
    ) -> Option<u64> {
        self.add_connection(stream, connection, true, limits, scheduler)
    }

    /// Adds a connection whose stream is still connecting; its id, or none where it closed at once.
    pub fn add_connecting(
        &mut self,
        stream: Stream,
        connection: Box<dyn Connection>,
        limits: BufferLimits,
        scheduler: &mut Scheduler,
    ) -> Option<u64> {
        self.add_connection(stream, connection, false, limits, scheduler)
    }

    fn add_connection(
        &mut self,
        stream: Stream,
        connection: Box<dyn Connection>,
        connected: bool,
        limits: BufferLimits,
        scheduler: &mut Scheduler,
    ) -> Option<u64> {
        let token = Token(self.next);
        self.next += 1;
        let socket = BufferedStream::new(stream, token, connected, limits);
        self.entries
            .insert(token, Entry { socket, connection, due: None, finishing: false, shut: false, wasted: 0 });
        self.call(token, scheduler, |entry, context| match entry.socket.connected {
            true => entry.connection.opened(&mut entry.socket, context),
            false => ConnectionFlow::Continue,
        });
        self.entries.contains_key(&token).then_some(token.0 as u64)
    }

    /// Calls a connection back, with panics caught: they end this connection alone.
    fn call(
        &mut self,
        token: Token,
        scheduler: &mut Scheduler,
        what: impl FnOnce(&mut Entry, &mut Context) -> ConnectionFlow,
    ) {
        let (now, ready, active) = (self.clock.now(), self.ready, self.active);
        let Some(entry) = self.entries.get_mut(&token) else { return };
        let context = &mut Context { scheduler, now, ready, active };
        let before = entry.socket.unsent();
        let flow = catch_unwind(AssertUnwindSafe(|| {
            let mut flow = what(entry, context);
            // What was put in line goes out at once; a connection may put more whenever all has gone.
            while flow != ConnectionFlow::Close && entry.socket.connected && entry.socket.unsent() > 0 {
                match entry.socket.flush() {
                    Ok(true) => flow = flow.and(entry.connection.flushed(&mut entry.socket, context)),
                    Ok(false) => break,
                    Err(_) => flow = ConnectionFlow::Close,
                }
            }
            flow
        }));
        let flow = flow.unwrap_or_else(|_| {
            context.scheduler.counters().panics += 1;
            eprintln!("function-scheduler: panic connection={} closed", token.0);
            ConnectionFlow::Close
        });
        let after = entry.socket.unsent();
        self.unsent = (self.unsent + after).saturating_sub(before);
        // Memory is bounded, and so is what those who do not read may hold of it.
        let clogged = self.unsent > self.unsent_limit && after > before && after > CLOGGED;
        let flow = if clogged { ConnectionFlow::Close } else { flow };
        entry.finishing |= flow == ConnectionFlow::Finish;
        // Closed with input unread, the system would throw away what the other side has not read yet: this
        // half is shut, and the rest waits for the other side's end or the connection's own deadline.
        if entry.finishing && entry.socket.unsent() == 0 && !std::mem::replace(&mut entry.shut, true) {
            entry.socket.stream.shut();
        }
        let done = flow == ConnectionFlow::Close || entry.shut && entry.socket.input_ended;
        if done || entry.socket.register(self.poll.registry()).is_err() {
            return self.close(token, context.scheduler);
        }
        let due = entry.connection.deadline();
        if due != entry.due {
            if let Some(at) = entry.due.take() {
                self.timers.remove(&(at, token));
            }
            if let Some(at) = due {
                self.timers.insert((at, token));
            }
            entry.due = due;
        }
    }

    fn close(&mut self, token: Token, scheduler: &mut Scheduler) {
        let Some(mut entry) = self.entries.remove(&token) else { return };
        self.unsent = self.unsent.saturating_sub(entry.socket.unsent());
        if let Some(at) = entry.due {
            self.timers.remove(&(at, token));
        }
        let context =
            &mut Context { scheduler, now: self.clock.now(), ready: self.ready, active: self.active };
        let closed = catch_unwind(AssertUnwindSafe(|| entry.connection.closed(&entry.socket, context)));
        if closed.is_err() {
            context.scheduler.counters().panics += 1;
        }
        let _ = self.poll.registry().deregister(entry.socket.stream.source());
    }

    /// Closes a connection.
    pub fn close_connection(&mut self, id: u64, scheduler: &mut Scheduler) {
        self.close(Token(id as usize), scheduler);
    }

    /// Calls a connection, as the reactor itself does with an event; false if it is closed.
    pub fn with_connection(
        &mut self,
        id: u64,
        scheduler: &mut Scheduler,
        what: impl FnOnce(&mut dyn Connection, &mut BufferedStream, &mut Context) -> ConnectionFlow,
    ) -> bool {
        let token = Token(id as usize);
        let there = self.entries.contains_key(&token);
        self.call(token, scheduler, |entry, context| {
            what(entry.connection.as_mut(), &mut entry.socket, context)
        });
        there
    }

    /// Like [`Reactor::with_connection`], for a connection that was added as a `C`; false also for another type.
    pub fn with_connection_of<C: Connection>(
        &mut self,
        id: u64,
        scheduler: &mut Scheduler,
        callback: impl FnOnce(&mut C, &mut BufferedStream, &mut Context) -> ConnectionFlow,
    ) -> bool {
        let mut found = false;
        self.with_connection(id, scheduler, |connection, socket, context| {
            let connection: &mut dyn Any = connection;
            let Some(connection) = connection.downcast_mut::<C>() else { return ConnectionFlow::Continue };
            found = true;
            callback(connection, socket, context)
        });
        found
    }

    /// Like [`Reactor::with_connection`], for a connection with a client at its other end; false also for another.
    pub fn with_client(
        &mut self,
        id: u64,
        scheduler: &mut Scheduler,
        callback: impl FnOnce(&mut dyn ClientConnection, &mut BufferedStream, &mut Context) -> ConnectionFlow,
    ) -> bool {
        let mut found = false;
        self.with_connection(id, scheduler, |connection, socket, context| {
            let Some(client) = connection.as_client() else { return ConnectionFlow::Continue };
            found = true;
            callback(client, socket, context)
        });
        found
    }

    /// Whether a connection is open or being opened.
    pub fn has_connection(&self, id: u64) -> bool {
        self.entries.contains_key(&Token(id as usize))
    }

    /// Since when a connection has been idle; see [`Connection::idle_since`].
    pub fn idle_since(&self, id: u64) -> Option<Time> {
        self.entries.get(&Token(id as usize))?.connection.idle_since()
    }

    /// The connection of this id, if it was added as a `C` and is still there.
    pub fn connection<C: Connection>(&self, id: u64) -> Option<&C> {
        let connection: &dyn Any = self.entries.get(&Token(id as usize))?.connection.as_ref();
        connection.downcast_ref()
    }

    /// The ids of all connections.
    pub fn connection_ids(&self) -> Vec<u64> {
        self.entries.keys().map(|token| token.0 as u64).collect()
    }

    /// Whether any connection still has output to write.
    pub fn has_unsent_output(&self) -> bool {
        self.entries.values().any(|entry| entry.socket.connected && entry.socket.unsent() > 0)
    }

    /// Whether the last [`Reactor::poll`] found no event.
    pub fn last_poll_was_empty(&self) -> bool {
        self.quiet
    }

    /// Waits until something happens or `until` comes, calls connections back, and returns the rest.
    pub fn poll(&mut self, until: Option<Time>, scheduler: &mut Scheduler) -> io::Result<Vec<ReactorEvent>> {
        let due = self.timers.first().map(|(at, _)| *at).into_iter().chain(until).min();
        // Rounded up, so that a timer is not asked for a little early again and again.
        let mut rest = due.map(|at| Duration::from_nanos((at - self.clock.now()).0 + 50_000));
        self.quiet = false;
        // A signal ends the wait and hides what the sockets have: that goes before timers and the signal itself.
        while let Err(e) = self.poll.poll(&mut self.events, rest) {
            if e.kind() != io::ErrorKind::Interrupted {
                return Err(e);
            }
            rest = Some(Duration::ZERO);
        }
        let mut signals = Vec::new();
        let ready: Vec<_> = self
            .events
            .iter()
            .map(|e| (e.token(), e.is_readable() || e.is_read_closed() || e.is_error()))
            .collect();
        self.quiet = ready.is_empty();
        for (token, readable) in ready {
            match token.0 {
                number if number < PIPES => signals.push(ReactorEvent::ClientWaiting(ListenerId(number))),
                number if (SOCKETS..FIRST).contains(&number) => {
                    signals.push(ReactorEvent::DatagramWaiting(UdpSocketId(number - SOCKETS)))
                }
                number if number < FIRST => {
                    self.empty(number - PIPES);
                    signals.push(ReactorEvent::PipeReadable(PipeId(number - PIPES)));
                }
                _ => self.happened(token, readable, scheduler),
            }
        }
        let now = self.clock.now();
        while let Some(&(at, token)) = self.timers.first().filter(|(at, _)| *at <= now) {
            self.timers.remove(&(at, token));
            if let Some(entry) = self.entries.get_mut(&token) {
                entry.due = None;
            }
            self.call(token, scheduler, |entry, context| {
                entry.connection.timer_expired(&mut entry.socket, context)
            });
        }
        Ok(signals)
    }

    fn empty(&mut self, pipe: usize) {
        let mut bytes = [0; 64];
        while let Some(pipe) = self.pipes.get_mut(pipe)
            && matches!(io::Read::read(pipe, &mut bytes), Ok(n) if n > 0)
        {}
    }

    fn happened(&mut self, token: Token, readable: bool, scheduler: &mut Scheduler) {
        self.call(token, scheduler, |entry, context| {
            let Entry { socket, connection, finishing, wasted, .. } = entry;
            if !socket.connected {
                match socket.stream.connected() {
                    Ok(true) => socket.connected = true,
                    Ok(false) => return ConnectionFlow::Continue,
                    Err(_) => return ConnectionFlow::Close,
                }
                let flow = connection.opened(socket, context);
                if flow != ConnectionFlow::Continue {
                    return flow;
                }
            }
            let mut flow = ConnectionFlow::Continue;
            if socket.unsent() > 0 {
                match socket.flush() {
                    Ok(true) => flow = connection.flushed(socket, context),
                    Ok(false) => {}
                    Err(_) => return ConnectionFlow::Close,
                }
            }
            if !readable {
                return flow;
            }
            // Edge-triggered: read until the socket has no more, in turns with the connection's own work and
            // with other connections.
            let mut taken = 0;
            loop {
                let held = socket.input.len();
                let all = match socket.fill() {
                    Ok(all) => all,
                    Err(_) => return ConnectionFlow::Close,
                };
                taken += socket.input.len() - held;
                if *finishing {
                    *wasted += socket.input.len();
                    socket.input.clear();
                    if *wasted > WASTE {
                        return ConnectionFlow::Close;
                    }
                } else if socket.input.len() > held || socket.input_ended {
                    flow = flow.and(connection.received(socket, context));
                }
                if all || flow != ConnectionFlow::Continue || socket.reading_paused() {
                    return flow;
                }
                if taken > TURN {
                    socket.hold();
                    return flow;
                }
            }
        });
    }

    /// Closes the connection that has had nothing open for longest, if there is one: whoever will use it again
    /// has most likely done so before.
    pub fn close_longest_idle(&mut self, scheduler: &mut Scheduler) -> bool {
        let idle =
            self.entries.iter().filter_map(|(token, entry)| Some((entry.connection.idle_since()?, *token)));
        idle.min().map(|(_, token)| token).map(|token| self.close(token, scheduler)).is_some()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::{Read, Write};

    /// Echoes, and panics at an `!`.
    struct Fragile;

    impl Connection for Fragile {
        fn opened(&mut self, _socket: &mut BufferedStream, _context: &mut Context) -> ConnectionFlow {
            ConnectionFlow::Continue
        }
        fn received(&mut self, socket: &mut BufferedStream, _context: &mut Context) -> ConnectionFlow {
            let bytes = std::mem::take(&mut socket.input);
            assert!(!bytes.contains(&b'!'), "as the test wants");
            socket.enqueue(&bytes);
            ConnectionFlow::Continue
        }
        fn closed(&mut self, _socket: &BufferedStream, _context: &mut Context) {}
    }

    /// Whoever reads nothing must not hold memory without bound.
    #[test]
    fn output_beyond_the_limit_ends_the_connection_that_adds_to_it() {
        let site = br#"{"fleetSize": 1, "index": 0, "classes": [], "bounds": {"mostTries": 1},
            "contract": {"coldFrom": 1, "coldNs": 1, "fallMultiple": 1, "fallNs": 1},
            "familyInfo": {"keepNs": 1, "notLoaded": "load", "loadSpanNs": 0}}"#;
        let mut scheduler = Scheduler::new(crate::config::parse_site(site).unwrap(), 1);
        let mut reactor = Reactor::new(SystemClock::new()).unwrap();
        reactor.unsent_limit = 8 << 20;
        let (near, _far) = StdUnixStream::pair().unwrap();
        near.set_nonblocking(true).unwrap();
        let stream = Stream::Unix(UnixStream::from_std(near));
        let id = reactor
            .add_connected(
                stream,
                Box::new(Fragile),
                BufferLimits { input: 100, output: usize::MAX },
                &mut scheduler,
            )
            .unwrap();
        let mut put = |bytes: usize| {
            reactor.with_connection(id, &mut scheduler, |_, socket, _| {
                socket.enqueue(&vec![0; bytes]);
                ConnectionFlow::Continue
            });
            (reactor.connection_count(), reactor.unsent > 0)
        };
        assert_eq!(put(7 << 20), (1, true));
        assert_eq!(put(7 << 20), (0, false));
    }

    #[test]
    fn a_panic_ends_its_connection_and_no_other() {
        let site = br#"{"fleetSize": 1, "index": 0, "classes": [], "bounds": {"mostTries": 1},
            "contract": {"coldFrom": 1, "coldNs": 1, "fallMultiple": 1, "fallNs": 1},
            "familyInfo": {"keepNs": 1, "notLoaded": "load", "loadSpanNs": 0}}"#;
        let mut scheduler = Scheduler::new(crate::config::parse_site(site).unwrap(), 1);
        let mut reactor = Reactor::new(SystemClock::new()).unwrap();
        let mut add = |scheduler: &mut Scheduler| {
            let (near, far) = StdUnixStream::pair().unwrap();
            near.set_nonblocking(true).unwrap();
            let stream = Stream::Unix(UnixStream::from_std(near));
            reactor
                .add_connected(stream, Box::new(Fragile), BufferLimits { input: 100, output: 100 }, scheduler)
                .unwrap();
            far
        };
        let (mut first, mut second) = (add(&mut scheduler), add(&mut scheduler));
        first.write_all(b"!").unwrap();
        second.write_all(b"x").unwrap();
        while scheduler.counters().panics == 0 || reactor.connection_count() > 1 {
            reactor.poll(None, &mut scheduler).unwrap();
        }
        let mut byte = [0];
        assert_eq!(first.read(&mut byte).unwrap(), 0, "ended");
        let soon = Some(reactor.now() + crate::model::Span::from_millis(100));
        reactor.poll(soon, &mut scheduler).unwrap();
        second.read_exact(&mut byte).unwrap();
        assert_eq!((byte, scheduler.counters().panics), ([b'x'], 1));
    }
}
