//! Sockets: a clock, buffered streams over TCP or Unix sockets, and the reactor that calls connections back.
//!
//! The reactor waits for events of all sockets and timers at once and runs in one thread. What is spoken on a
//! stream is up to the [`Connection`]s that the modules above add to it.
//!
//! What a connection works on besides its stream is a type parameter: the reactor owns a [`SharedState`] and
//! lends it to every callback in a [`Context`]. So this module names none of the modules whose state that is.

mod buffered_stream;
mod clock;
mod connection;
mod message_deadline;
mod reactor;
mod stream;

pub use buffered_stream::{BufferLimits, BufferedStream};
pub use clock::SystemClock;
pub use connection::{CloseCause, Connection, ConnectionFlow, Context, SharedState};
pub use message_deadline::{MessageDeadline, PartialMessage};
pub use reactor::{ListenerId, PipeId, Reactor, ReactorEvent, UdpSocketId};
pub use stream::Stream;
