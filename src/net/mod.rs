//! Networking: a clock, buffered streams over TCP or Unix sockets, and the reactor that calls connections
//! back.
//!
//! The reactor waits for the events of all sockets and timers, and runs in a single thread. The protocol of
//! a stream is defined by the [`Connection`] that a higher module adds for it.
//!
//! The state that connections work on besides their streams is a type parameter: the reactor owns a
//! [`SharedState`] and lends it to every callback in a [`Context`]. This module therefore does not depend on
//! the modules that define that state.

mod buffered_stream;
mod clock;
mod connection;
mod message_deadline;
mod message_quantum;
mod reactor;
mod stream;
mod time_budget;
mod turn_times;

pub use buffered_stream::{BufferLimits, BufferedStream};
pub use clock::SystemClock;
pub use connection::{CloseCause, Connection, ConnectionFlow, Context, SharedState};
pub use message_deadline::{MessageDeadline, PartialMessage};
pub use message_quantum::MessageQuantum;
pub use reactor::{BufferMemory, InputMemoryLimits, ListenerId, PipeId, Reactor, ReactorEvent, UdpSocketId};
pub use stream::Stream;
pub use time_budget::TimeBudget;
pub use turn_times::{LongTurn, TimeSummary, TurnPart, TurnTimes};
