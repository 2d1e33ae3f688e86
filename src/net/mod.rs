//! Sockets: a clock, buffered streams over TCP or Unix sockets, and the reactor that calls connections back.
//!
//! The reactor waits for events of all sockets and timers at once and runs in one thread. What is spoken on a
//! stream is up to the [`Connection`]s that the modules above add to it.
//!
//! This module is above [`scheduler`](crate::scheduler), which it hands to every callback and whose counter
//! of panics it keeps, and below the modules that speak a protocol.

mod buffered_stream;
mod clock;
mod connection;
mod reactor;
mod stream;

pub use buffered_stream::{BufferLimits, BufferedStream};
pub use clock::SystemClock;
pub use connection::{ClientConnection, CloseCause, Connection, ConnectionFlow, Context};
pub use reactor::{ListenerId, PipeId, Reactor, ReactorEvent, UdpSocketId};
pub use stream::Stream;
