//! The messages that a connection handles before other connections get their turn.

use super::{SystemClock, TimeBudget};
use crate::model::Span;

/// Time in a callback after which no further message is begun.
const CALLBACK_TIME: Span = Span::from_micros(100);
/// Maximum number of messages that a connection handles in one callback.
const MESSAGES_PER_CALLBACK: u32 = 64;

/// The messages that a connection may still handle in a callback.
///
/// A connection takes each message from the quantum before it handles the message. Once the quantum is
/// exhausted, the connection leaves the rest in its buffer and returns; the reactor calls it again for the rest
/// when its next turn comes.
#[derive(Debug)]
pub struct MessageQuantum {
    taken: u32,
    time: TimeBudget,
    is_exhausted: bool,
}

impl MessageQuantum {
    /// Creates the quantum of a callback that begins now.
    pub fn new(clock: SystemClock) -> MessageQuantum {
        MessageQuantum {
            taken: 0,
            time: TimeBudget::new(clock, CALLBACK_TIME),
            is_exhausted: false,
        }
    }

    /// Takes one message. Returns false if none is left, and the connection must return. The first message can
    /// always be taken.
    pub fn take(&mut self) -> bool {
        let is_spent = self.taken > 0 && (self.taken >= MESSAGES_PER_CALLBACK || self.time.is_spent());
        self.is_exhausted |= is_spent;
        self.taken += 1;
        !self.is_exhausted
    }

    /// Ends the quantum early: the connection cannot handle further messages in this callback.
    pub fn exhaust(&mut self) {
        self.is_exhausted = true;
    }

    /// Returns whether messages may be left in the connection's buffer.
    pub fn is_exhausted(&self) -> bool {
        self.is_exhausted
    }
}
