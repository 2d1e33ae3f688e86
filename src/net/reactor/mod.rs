//! The reactor: waits for events of all sockets and timers, and calls the connections back.

mod connections;
mod listeners;
mod managed_connection;
mod pipes;
#[cfg(test)]
mod tests;
mod token;
mod udp_sockets;

pub use listeners::ListenerId;
pub use pipes::PipeId;
pub use udp_sockets::UdpSocketId;

use super::{SharedState, Stream, SystemClock};
use crate::collections::TimerQueue;
use crate::model::{ConnectionId, Span, Time};
use listeners::Listeners;
use managed_connection::ManagedConnection;
use mio::{Events, Poll};
use pipes::Pipes;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::time::Duration;
use token::EventSource;
use udp_sockets::UdpSockets;

/// Events taken from the system at a time.
const EVENT_CAPACITY: usize = 1024;
/// Interruptions in a row after which a wait is given up, so that timers and requests are not kept waiting.
const MAX_INTERRUPTIONS: u32 = 8;
/// A poll that returns within this time has not waited.
const IMMEDIATE: Span = Span::from_millis(1);
/// A poll that returns this much later than it should was not let run.
const OVERSLEPT: Span = Span::from_millis(10);
/// Added to the wait for a timer, so that the system, which rounds, doesn't end it a little early again and
/// again.
const TIMER_ROUNDING: Span = Span(50_000);

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

/// What the system has reported of a source.
struct ReadySource {
    source: EventSource,
    /// There is input, an end or an error to read.
    readable: bool,
}

/// Waits for events of all sockets and timers, and calls the connections back. One thread does all of it.
///
/// It owns the state `S` that its connections share, and lends it to each callback.
pub struct Reactor<S> {
    /// The state that all connections share.
    pub shared: S,
    poll: Poll,
    events: Events,
    clock: SystemClock,
    listeners: Listeners,
    pipes: Pipes,
    udp_sockets: UdpSockets,
    connections: HashMap<ConnectionId, ManagedConnection<S>>,
    /// How many of the connections have a client at the other end.
    clients: usize,
    next_connection: ConnectionId,
    /// At most one timer for each connection, by its id.
    timers: TimerQueue<ConnectionId>,
    last_poll_was_empty: bool,
    /// When the last poll returned: it has reported all input that had come until then.
    polled_at: Time,
    /// What the last poll has reported did not come before this time.
    input_since: Time,
    /// Bytes of output that wait to be written, on all connections together.
    unsent: usize,
    /// Beyond so many bytes of unsent output a connection that adds to it is closed, if its peer reads
    /// nothing.
    pub unsent_limit: usize,
}

impl<S: SharedState + 'static> Reactor<S> {
    /// A reactor without connections, with the state that they are to share.
    ///
    /// # Errors
    ///
    /// The system's error where it has no further poll to give.
    pub fn new(clock: SystemClock, shared: S) -> io::Result<Reactor<S>> {
        Ok(Reactor {
            shared,
            poll: Poll::new()?,
            events: Events::with_capacity(EVENT_CAPACITY),
            clock,
            listeners: Listeners::default(),
            pipes: Pipes::default(),
            udp_sockets: UdpSockets::default(),
            connections: HashMap::new(),
            clients: 0,
            next_connection: token::FIRST_CONNECTION,
            timers: TimerQueue::default(),
            last_poll_was_empty: false,
            polled_at: clock.now(),
            input_since: clock.now(),
            unsent: 0,
            unsent_limit: usize::MAX,
        })
    }

    /// The present time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Listens on a TCP address; the address, with its port where any would do.
    ///
    /// # Errors
    ///
    /// The system's error where the address can't be had.
    pub fn listen_tcp(&mut self, address: SocketAddr) -> io::Result<SocketAddr> {
        self.listeners.add_tcp(address, self.poll.registry())
    }

    /// Listens on a Unix socket that is bound already.
    ///
    /// # Errors
    ///
    /// The system's error where the socket can't be polled.
    pub fn listen_unix(&mut self, listener: UnixListener) -> io::Result<ListenerId> {
        self.listeners.add_unix(listener, self.poll.registry())
    }

    /// Closes a listener.
    pub fn close_listener(&mut self, listener: ListenerId) {
        self.listeners.close(listener, self.poll.registry());
    }

    /// All listeners, closed ones included.
    pub fn listener_ids(&self) -> Vec<ListenerId> {
        self.listeners.ids()
    }

    /// Accepts the next client of a listener, if one waits.
    ///
    /// # Errors
    ///
    /// The system's error, most likely for want of descriptors; the client may still wait.
    pub fn accept(&mut self, listener: ListenerId) -> io::Result<Option<Stream>> {
        self.listeners.accept(listener)
    }

    /// Watches the reading end of a pipe.
    ///
    /// # Errors
    ///
    /// The system's error where the pipe can't be polled.
    pub fn watch_pipe(&mut self, pipe: UnixStream) -> io::Result<PipeId> {
        self.pipes.add(pipe, self.poll.registry())
    }

    /// Binds a UDP socket; its id, and the address with its port.
    ///
    /// # Errors
    ///
    /// The system's error where the address can't be had.
    pub fn bind_udp(&mut self, address: SocketAddr) -> io::Result<(UdpSocketId, SocketAddr)> {
        self.udp_sockets.bind(address, self.poll.registry())
    }

    /// Reads the next datagram of a socket, if there is one; its size in bytes and its sender.
    pub fn receive_datagram(&self, socket: UdpSocketId, buffer: &mut [u8]) -> Option<(usize, SocketAddr)> {
        self.udp_sockets.receive(socket, buffer)
    }

    /// Sends a datagram; what the system does not take is lost, as datagrams may be.
    pub fn send_datagram(&self, socket: UdpSocketId, bytes: &[u8], to: SocketAddr) {
        self.udp_sockets.send(socket, bytes, to);
    }

    /// Begins a TCP connection.
    ///
    /// # Errors
    ///
    /// The system's error where the connect fails at once.
    pub fn connect(&self, address: SocketAddr) -> io::Result<Stream> {
        Stream::connect_tcp(address)
    }

    /// Begins a connection to a Unix socket.
    ///
    /// # Errors
    ///
    /// The system's error where the connect fails at once.
    pub fn connect_unix(&self, path: &Path) -> io::Result<Stream> {
        Stream::connect_unix(path)
    }

    /// Whether the last [`Reactor::poll`] found no event: no socket has input that was not looked at.
    pub fn last_poll_was_empty(&self) -> bool {
        self.last_poll_was_empty
    }

    /// Waits until something happens or `until` comes, calls connections back, and returns the other events.
    ///
    /// # Errors
    ///
    /// The system's error where it can't be polled any more.
    pub fn poll(&mut self, until: Option<Time>) -> io::Result<Vec<ReactorEvent>> {
        self.last_poll_was_empty = false;
        let was_polled = self.wait(until)?;
        let ready = self.ready_sources();
        self.last_poll_was_empty = was_polled && ready.is_empty();
        let events = ready
            .into_iter()
            .filter_map(|ready| self.dispatch(ready))
            .collect();
        self.fire_timers();
        Ok(events)
    }

    /// Waits for events, the first timer or `until`; false if the wait was interrupted again and again, so that nothing
    /// is known of the sockets.
    fn wait(&mut self, until: Option<Time>) -> io::Result<bool> {
        let wake_up = self.timers.next_expiry().into_iter().chain(until).min();
        let mut timeout = wake_up.map(|time| {
            let remaining = time - self.clock.now();
            Duration::from_nanos(remaining.0 + TIMER_ROUNDING.0)
        });
        // A signal interrupts the wait and hides what the sockets have: that is asked for once more, as it
        // goes before the timers and the signal itself.
        let entered_at = self.clock.now();
        let asked_for = timeout;
        for _ in 0..MAX_INTERRUPTIONS {
            match self.poll.poll(&mut self.events, timeout) {
                Ok(()) => {
                    self.note_poll(entered_at, asked_for);
                    return Ok(true);
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => timeout = Some(Duration::ZERO),
                Err(error) => return Err(error),
            }
        }
        Ok(false)
    }

    /// Notes since when the input that a poll has reported may have been there.
    fn note_poll(&mut self, entered_at: Time, asked_for: Option<Duration>) {
        let returned_at = self.clock.now();
        let waited = returned_at - entered_at;
        let overslept = asked_for.is_some_and(|timeout| waited > Span(timeout.as_nanos() as u64) + OVERSLEPT);
        self.input_since = if waited < IMMEDIATE {
            // It was there already, and came while the process was busy with the input before.
            self.polled_at
        } else if overslept {
            entered_at
        } else {
            returned_at
        };
        self.polled_at = returned_at;
    }

    fn ready_sources(&self) -> Vec<ReadySource> {
        self.events
            .iter()
            .map(|event| ReadySource {
                source: EventSource::from_token(event.token()),
                readable: event.is_readable() || event.is_read_closed() || event.is_error(),
            })
            .collect()
    }

    fn dispatch(&mut self, ready: ReadySource) -> Option<ReactorEvent> {
        match ready.source {
            EventSource::Listener(listener) => Some(ReactorEvent::ClientWaiting(listener)),
            EventSource::UdpSocket(socket) => Some(ReactorEvent::DatagramWaiting(socket)),
            EventSource::Pipe(pipe) => {
                self.pipes.drain(pipe);
                Some(ReactorEvent::PipeReadable(pipe))
            }
            EventSource::Connection(id) => {
                self.call(id, |connection, context| {
                    connection.handle_event(ready.readable, context)
                });
                None
            }
        }
    }
}
