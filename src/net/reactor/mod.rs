//! The reactor: waits for events of all sockets and timers, and calls the connections back.
//!
//! This file has the reactor's state and its other sockets; `polling` waits for events, `connections` adds, calls and
//! closes connections, `idle_connections` closes idle ones, and `managed_connection` is what the reactor keeps of one.

mod connections;
mod idle_connections;
mod listeners;
mod managed_connection;
mod pipes;
mod polling;
#[cfg(test)]
mod tests;
mod token;
mod udp_sockets;

pub use listeners::ListenerId;
pub use pipes::PipeId;
pub use udp_sockets::UdpSocketId;

use super::{SharedState, Stream, SystemClock};
use crate::collections::TimerQueue;
use crate::model::{ConnectionId, Time};
use listeners::Listeners;
use managed_connection::ManagedConnection;
use mio::{Events, Poll};
use pipes::Pipes;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use udp_sockets::UdpSockets;

/// Events taken from the system at a time.
const EVENT_CAPACITY: usize = 1024;

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
    earliest_input_at: Time,
    /// Bytes of output that wait to be written, on all connections together.
    unsent_bytes: usize,
    /// Beyond so many bytes of unsent output a connection that adds to it is closed, if its peer reads
    /// nothing.
    pub max_unsent_bytes: usize,
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
            earliest_input_at: clock.now(),
            unsent_bytes: 0,
            max_unsent_bytes: usize::MAX,
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
}
