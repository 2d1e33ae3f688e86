//! The reactor: waits for the events of all sockets and timers, and calls connections back.
//!
//! This module holds the reactor's state and its other sockets. `polling` waits for events, `connections`
//! adds, calls back and closes connections, `input_scheduling` lets them handle their input in the order of a
//! `fair_queue`, with the `input_state` and `input_credit` of each, `input_memory` divides the memory for input among
//! clients, `buffer_memory` sums up all buffers, `deferred_output` writes what several callbacks have added to a connection, `due_writes` lets connections write after the events of a poll,
//! `idle_connections` closes idle connections, `managed_connection` holds the state of one connection, and
//! `connection_input` handles its input.

mod buffer_memory;
mod connection_input;
mod connections;
mod deferred_output;
mod due_writes;
mod fair_queue;
mod idle_connections;
mod input_credit;
mod input_memory;
mod input_scheduling;
mod input_state;
mod listeners;
mod managed_connection;
mod pipes;
mod polling;
#[cfg(test)]
mod tests;
mod token;
mod udp_sockets;

pub use buffer_memory::BufferMemory;
pub use input_memory::InputMemoryLimits;
pub use listeners::ListenerId;
pub use pipes::PipeId;
pub use udp_sockets::UdpSocketId;

use super::{SharedState, Stream, SystemClock, TimeBudget, TurnPart, TurnTimes};
use crate::collections::TimerQueue;
use crate::model::{ConnectionId, Span, Time};
use input_memory::InputMemory;
use input_scheduling::InputQueues;
use listeners::Listeners;
use managed_connection::ManagedConnection;
use mio::{Events, Poll};
use pipes::Pipes;
use std::collections::{BTreeSet, HashMap};
use std::io;
use std::net::SocketAddr;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use udp_sockets::UdpSockets;

/// Maximum number of events retrieved per poll.
const EVENT_CAPACITY: usize = 1024;

/// An event that the reactor returns to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReactorEvent {
    /// A client is waiting to be accepted at a listener.
    ClientWaiting(ListenerId),
    /// A pipe has input.
    PipeReadable(PipeId),
    /// A UDP socket has datagrams to read.
    DatagramWaiting(UdpSocketId),
}

/// Waits for the events of all sockets and timers, and calls connections back, all in a single thread.
///
/// The reactor owns the state `S` that its connections share, and lends it to each callback.
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
    /// Number of connections whose peer is a client.
    clients: usize,
    next_connection: ConnectionId,
    /// Timers of the connections, at most one for each.
    timers: TimerQueue<ConnectionId>,
    /// Connections with output that was left to [`Reactor::flush_deferred_output`].
    deferred_output: Vec<ConnectionId>,
    /// Connections for which [`Connection::is_write_due`](super::Connection::is_write_due) holds.
    due_writes: BTreeSet<ConnectionId>,
    /// The connection that wrote last. The next one is the next in the order of ids, so that each gets its turn.
    last_writer: ConnectionId,
    /// Connections whose writes all depend on input that is not known yet. They are tried again after the next
    /// poll.
    postponed_writes: BTreeSet<ConnectionId>,
    /// Whether the input of clients waits, because earlier work is left.
    pub clients_paused: bool,
    /// Connections whose input waits to be handled.
    input_queues: InputQueues,
    last_poll_was_empty: bool,
    /// Time of the last poll. All input that arrived before has been reported, unless the list of events was
    /// full.
    polled_at: Time,
    /// Earliest time at which input reported by the last poll may have arrived.
    earliest_input_at: Time,
    /// Time of the last poll that reported everything that had happened until then.
    complete_poll_at: Time,
    turn_times: TurnTimes,
    /// The memory for the buffered input of clients.
    input_memory: InputMemory,
    /// Number of unsent output bytes on all connections together.
    unsent_bytes: usize,
    /// Limit on the unsent output of all connections together, in bytes. While it is exceeded, the connection with
    /// the most unsent output is closed, unless that output is small.
    pub max_unsent_bytes: usize,
}

impl<S: SharedState + 'static> Reactor<S> {
    /// Creates a reactor without connections that owns the given shared state.
    ///
    /// # Errors
    ///
    /// Returns the system error if the event queue cannot be created.
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
            deferred_output: Vec::new(),
            due_writes: BTreeSet::new(),
            last_writer: token::FIRST_CONNECTION,
            postponed_writes: BTreeSet::new(),
            clients_paused: false,
            input_queues: InputQueues::default(),
            last_poll_was_empty: false,
            polled_at: clock.now(),
            earliest_input_at: clock.now(),
            complete_poll_at: clock.now(),
            turn_times: TurnTimes::default(),
            input_memory: InputMemory::new(InputMemoryLimits::UNLIMITED),
            unsent_bytes: 0,
            max_unsent_bytes: usize::MAX,
        })
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns a budget of time that begins now.
    pub fn time_budget(&self, length: Span) -> TimeBudget {
        TimeBudget::new(self.clock, length)
    }

    /// Returns how long the turns of the event loop take.
    pub fn turn_times(&self) -> &TurnTimes {
        &self.turn_times
    }

    /// Limits the buffered input of clients. A connection whose incomplete message has no room left is told to
    /// reject it; see [`Connection::reject_incomplete_message`](super::Connection::reject_incomplete_message).
    pub fn limit_input_memory(&mut self, limits: InputMemoryLimits) {
        let buffered = self
            .connections
            .values()
            .map(ManagedConnection::buffered_client_bytes);
        self.input_memory.set_limits(limits, buffered);
    }

    /// Returns the number of buffered input bytes of all clients.
    pub fn buffered_input_bytes(&self) -> usize {
        self.input_memory.buffered_bytes()
    }

    /// Adds the time since `began_at` to a part of the current turn. Returns the current time.
    pub fn record_part(&mut self, part: TurnPart, began_at: Time) -> Time {
        let now = self.now();
        self.turn_times.record_part(part, now - began_at);
        now
    }

    /// Listens on a TCP address. Returns the bound address, with the port that the system chose if the given
    /// one is 0.
    ///
    /// # Errors
    ///
    /// Returns the system error if the address cannot be bound.
    pub fn listen_tcp(&mut self, address: SocketAddr) -> io::Result<SocketAddr> {
        self.listeners.add_tcp(address, self.poll.registry())
    }

    /// Listens on a Unix socket that is already bound.
    ///
    /// # Errors
    ///
    /// Returns the system error if the socket cannot be registered.
    pub fn listen_unix(&mut self, listener: UnixListener) -> io::Result<ListenerId> {
        self.listeners.add_unix(listener, self.poll.registry())
    }

    /// Closes a listener.
    pub fn close_listener(&mut self, listener: ListenerId) {
        self.listeners.close(listener, self.poll.registry());
    }

    /// Returns the ids of all listeners, including closed ones.
    pub fn listener_ids(&self) -> Vec<ListenerId> {
        self.listeners.ids()
    }

    /// Accepts the next client of a listener. Returns `None` if no client is waiting.
    ///
    /// # Errors
    ///
    /// Returns the system error, most likely for lack of descriptors. The client may still be waiting.
    pub fn accept(&mut self, listener: ListenerId) -> io::Result<Option<Stream>> {
        self.listeners.accept(listener)
    }

    /// Watches the reading end of a pipe for input.
    ///
    /// # Errors
    ///
    /// Returns the system error if the pipe cannot be registered.
    pub fn watch_pipe(&mut self, pipe: UnixStream) -> io::Result<PipeId> {
        self.pipes.add(pipe, self.poll.registry())
    }

    /// Binds a UDP socket. Returns its id and the bound address with its port.
    ///
    /// # Errors
    ///
    /// Returns the system error if the address cannot be bound.
    pub fn bind_udp(&mut self, address: SocketAddr) -> io::Result<(UdpSocketId, SocketAddr)> {
        self.udp_sockets.bind(address, self.poll.registry())
    }

    /// Reads the next datagram of a socket. Returns its size in bytes and its sender, or `None` if there is
    /// none.
    pub fn receive_datagram(&self, socket: UdpSocketId, buffer: &mut [u8]) -> Option<(usize, SocketAddr)> {
        self.udp_sockets.receive(socket, buffer)
    }

    /// Sends a datagram. A datagram that the system does not accept is dropped, since UDP does not guarantee
    /// delivery.
    pub fn send_datagram(&self, socket: UdpSocketId, bytes: &[u8], to: SocketAddr) {
        self.udp_sockets.send(socket, bytes, to);
    }

    /// Starts a TCP connection.
    ///
    /// # Errors
    ///
    /// Returns the system error if the connect fails immediately.
    pub fn connect(&self, address: SocketAddr) -> io::Result<Stream> {
        Stream::connect_tcp(address)
    }

    /// Starts a connection to a Unix socket.
    ///
    /// # Errors
    ///
    /// Returns the system error if the connect fails immediately.
    pub fn connect_unix(&self, path: &Path) -> io::Result<Stream> {
        Stream::connect_unix(path)
    }
}
