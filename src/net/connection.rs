//! The interface between the reactor and its connections.

use super::{BufferedStream, LongTurn, MessageQuantum};
use crate::model::{ConnectionId, Time};
use std::any::Any;
use std::io;
use thiserror::Error;

/// How a connection proceeds after a callback.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionFlow {
    /// The connection stays open.
    Continue,
    /// Nothing more is read, and the connection closes once its output has been written.
    Finish,
    /// The connection closes immediately, and unwritten output is lost.
    Close,
}

impl ConnectionFlow {
    /// Returns the stricter of two flows: `Close` is stricter than `Finish`, and `Finish` than `Continue`.
    pub fn and(self, other: ConnectionFlow) -> ConnectionFlow {
        match (self, other) {
            (ConnectionFlow::Close, _) | (_, ConnectionFlow::Close) => ConnectionFlow::Close,
            (ConnectionFlow::Finish, _) | (_, ConnectionFlow::Finish) => ConnectionFlow::Finish,
            _ => ConnectionFlow::Continue,
        }
    }
}

/// The reason for closing a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CloseCause {
    /// The peer has closed its half.
    #[error("peer closed")]
    PeerClosed,
    /// A connect, read or write failed.
    #[error("{0}")]
    Failed(io::ErrorKind),
    /// The connection closed itself: it was idle for too long, or its output is complete.
    #[error("done")]
    Done,
    /// The connection's descriptor is needed.
    #[error("descriptor needed")]
    DescriptorNeeded,
    /// The server no longer needs the connection.
    #[error("not needed")]
    NotNeeded,
    /// The unsent output must not be sent any more.
    #[error("output expired")]
    OutputExpired,
    /// The peer leaves too much output unread.
    #[error("output limit exceeded")]
    OutputLimitExceeded,
}

impl CloseCause {
    /// Returns whether the peer or the network, rather than this process, ended the connection.
    pub fn is_remote(self) -> bool {
        matches!(self, CloseCause::PeerClosed | CloseCause::Failed(_))
    }
}

/// State shared by all connections of a reactor, to which the reactor reports panics and failed
/// registrations.
pub trait SharedState {
    /// Called when a panic was caught in a callback of a connection.
    fn panic_caught(&mut self);

    /// Called when registering a connection for its events failed. The reactor retries the registration.
    fn registration_failed(&mut self);

    /// Called when a connection was read again because another is about to write what depends on it.
    fn connection_rechecked(&mut self);

    /// Called when a turn of the event loop was long enough for clients to notice.
    fn long_turn_ended(&mut self, now: Time, turn: &LongTurn);
}

/// The state and times that a callback may use.
pub struct Context<'a, S> {
    /// The state that all connections share.
    pub shared: &'a mut S,
    /// Time at which the reactor calls the callback.
    pub now: Time,
    /// Earliest time at which the input that this callback handles may have arrived. The timeout of a
    /// request counts from it. It is before `now` if the process was busy or stopped, or if the client had to
    /// wait to be accepted.
    pub earliest_input_at: Time,
    /// The messages that the connection may handle in this callback.
    pub messages: MessageQuantum,
}

/// A connection, which the reactor calls back when something happens to its stream.
///
/// The supertrait `Any` lets code that added a connection of a concrete type access it again as that type,
/// with [`Reactor::connection`](super::Reactor::connection).
pub trait Connection<S>: Any {
    /// Called when the stream has been connected.
    fn opened(&mut self, socket: &mut BufferedStream, context: &mut Context<S>) -> ConnectionFlow;

    /// Called when there is new input in the stream's buffer or the peer has closed its half.
    fn received(&mut self, socket: &mut BufferedStream, context: &mut Context<S>) -> ConnectionFlow;

    /// Called when the buffer ends within a message, and there is no memory for the rest of it. The connection must reject that message and discard it, including what comes later.
    fn reject_incomplete_message(
        &mut self,
        _socket: &mut BufferedStream,
        _context: &mut Context<S>,
    ) -> ConnectionFlow {
        ConnectionFlow::Close
    }

    /// Returns whether output that the system did not accept immediately may still be sent. If not, the
    /// connection is closed.
    fn may_write_remaining(&self, _context: &mut Context<S>) -> bool {
        true
    }

    /// Called when all output has been passed to the system.
    fn flushed(&mut self, _socket: &mut BufferedStream, _context: &mut Context<S>) -> ConnectionFlow {
        ConnectionFlow::Continue
    }

    /// Returns whether the connection has something to write by [`Connection::write_next`]. The reactor asks
    /// after every callback.
    fn is_write_due(&self, _socket: &BufferedStream) -> bool {
        false
    }

    /// Returns the connection whose input must be known before the next write.
    fn next_write_depends_on(&self, _shared: &S) -> Option<ConnectionId> {
        None
    }

    /// Returns the number of writes that [`Connection::write_next`] has yet to make.
    fn pending_write_count(&self) -> usize {
        0
    }

    /// Moves the next write behind the others, because the input on which it depends is not known yet, or gives it
    /// up.
    fn postpone_next_write(&mut self, _context: &mut Context<S>) {}

    /// Called when all events of a poll have been handled, as long as [`Connection::is_write_due`] holds.
    ///
    /// A callback for an event may not write what depends on another connection, because the next event of
    /// the same poll may be that the other connection has closed.
    fn write_next(&mut self, _socket: &mut BufferedStream, _context: &mut Context<S>) -> ConnectionFlow {
        ConnectionFlow::Continue
    }

    /// Called when the time returned by [`Connection::deadline`] has passed.
    fn timer_expired(&mut self, _socket: &mut BufferedStream, _context: &mut Context<S>) -> ConnectionFlow {
        ConnectionFlow::Continue
    }

    /// Returns the time at which to call [`Connection::timer_expired`]. The reactor asks for it after every
    /// callback.
    fn deadline(&self) -> Option<Time> {
        None
    }

    /// Called once, when the connection has been closed by either side.
    fn closed(&mut self, socket: &BufferedStream, cause: CloseCause, context: &mut Context<S>);

    /// Returns the time since which the connection has had no open request, so that it may be closed to free
    /// its descriptor, or `None` if a request is open.
    fn idle_since(&self) -> Option<Time> {
        None
    }

    /// Returns whether the peer is a client. The reactor asks once, when the connection is added.
    fn is_client(&self) -> bool {
        false
    }

    /// Fails all open requests of the connection after one of its callbacks has panicked, so that requests
    /// that were read still get a response before the connection closes.
    fn fail_open_requests(
        &mut self,
        _socket: &mut BufferedStream,
        _context: &mut Context<S>,
    ) -> ConnectionFlow {
        ConnectionFlow::Close
    }
}
