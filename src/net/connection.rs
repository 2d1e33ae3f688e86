//! What the reactor asks of a connection, and what a connection may use while it is called back.

use super::BufferedStream;
use crate::model::Time;
use std::any::Any;
use std::io;
use thiserror::Error;

/// Whether a connection goes on after a callback.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionFlow {
    /// It goes on.
    Continue,
    /// Nothing more is read; it closes once its output has been written.
    Finish,
    /// It closes now; output that is not yet written is lost.
    Close,
}

impl ConnectionFlow {
    /// The stricter of the two.
    pub fn and(self, other: ConnectionFlow) -> ConnectionFlow {
        match (self, other) {
            (ConnectionFlow::Close, _) | (_, ConnectionFlow::Close) => ConnectionFlow::Close,
            (ConnectionFlow::Finish, _) | (_, ConnectionFlow::Finish) => ConnectionFlow::Finish,
            _ => ConnectionFlow::Continue,
        }
    }
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CloseCause {
    /// The peer has closed its half.
    #[error("peer closed")]
    PeerClosed,
    /// Connecting, reading or writing failed.
    #[error("{0}")]
    Failed(io::ErrorKind),
    /// The connection asked for it: it was idle for too long, or what was to be written is written.
    #[error("done")]
    Done,
    /// Its descriptor is needed.
    #[error("descriptor needed")]
    DescriptorNeeded,
    /// The server has no more use for it.
    #[error("not needed")]
    NotNeeded,
    /// The output that waits must not go out any more.
    #[error("output lapsed")]
    OutputExpired,
    /// The peer leaves too much output unread.
    #[error("output unread")]
    OutputLimitExceeded,
}

impl CloseCause {
    /// Whether the peer ended the connection, or the network between did, and not this process.
    pub fn is_remote(self) -> bool {
        matches!(self, CloseCause::PeerClosed | CloseCause::Failed(_))
    }
}

/// The state that all connections of a reactor share, as far as the reactor itself reports to it.
pub trait SharedState {
    /// A panic was caught in a callback of a connection.
    fn panic_caught(&mut self);

    /// The system refused to report a connection's events; it is asked again.
    fn registration_failed(&mut self);
}

/// What a callback may use.
pub struct Context<'a, S> {
    /// The state that all connections share.
    pub shared: &'a mut S,
    /// The present time.
    pub now: Time,
    /// No input that is read in this call came before this time. It is before `now` where the process was busy or
    /// stopped, or where a client had to wait to be accepted: a request's time runs from when it came.
    pub earliest_input_at: Time,
}

/// A connection that the reactor calls back with what happens to its stream.
///
/// `Any` lets the code that added a connection of one type get at it again by that type, with
/// [`Reactor::connection`](super::Reactor::connection).
pub trait Connection<S>: Any {
    /// The stream is connected.
    fn opened(&mut self, socket: &mut BufferedStream, context: &mut Context<S>) -> ConnectionFlow;

    /// There is new input in the stream's buffer, or the peer has closed its half.
    fn received(&mut self, socket: &mut BufferedStream, context: &mut Context<S>) -> ConnectionFlow;

    /// Whether output that the system did not take at once may still go out. If not, the connection is closed.
    fn may_write_remaining(&self, _context: &mut Context<S>) -> bool {
        true
    }

    /// All output has been handed to the system.
    fn flushed(&mut self, _socket: &mut BufferedStream, _context: &mut Context<S>) -> ConnectionFlow {
        ConnectionFlow::Continue
    }

    /// The time given by [`Connection::deadline`] has come.
    fn timer_expired(&mut self, _socket: &mut BufferedStream, _context: &mut Context<S>) -> ConnectionFlow {
        ConnectionFlow::Continue
    }

    /// When to call [`Connection::timer_expired`]; asked after every callback.
    fn deadline(&self) -> Option<Time> {
        None
    }

    /// The connection has been closed, by whichever side. Called once.
    fn closed(&mut self, socket: &BufferedStream, cause: CloseCause, context: &mut Context<S>);

    /// Since when no request is open on the connection, so that it may be closed to free its descriptor; none
    /// while one is open.
    fn idle_since(&self) -> Option<Time> {
        None
    }

    /// Whether a client is at the other end. Asked once, when the connection is added.
    fn is_client(&self) -> bool {
        false
    }

    /// Fails every request that is open on the connection, because the connection can't go on: a callback has
    /// panicked. A request that was read must not end with its connection.
    fn fail_open_requests(
        &mut self,
        _socket: &mut BufferedStream,
        _context: &mut Context<S>,
    ) -> ConnectionFlow {
        ConnectionFlow::Close
    }
}
