//! The number of messages that a connection handles before other connections get their turn.

/// Number of messages that a connection handles in one callback.
const MESSAGES_PER_CALLBACK: u32 = 8;

/// The messages that a connection may still handle in a callback.
///
/// A connection takes each message from the quantum before it handles the message. Once the quantum is
/// exhausted, the connection leaves the rest in its buffer and returns; the reactor calls it again for the rest
/// when its next turn comes.
#[derive(Debug)]
pub struct MessageQuantum {
    left: u32,
    is_exhausted: bool,
}

impl MessageQuantum {
    /// Creates the quantum of one callback.
    pub fn new() -> MessageQuantum {
        MessageQuantum {
            left: MESSAGES_PER_CALLBACK,
            is_exhausted: false,
        }
    }

    /// Takes one message. Returns false if none is left, and the connection must return.
    pub fn take(&mut self) -> bool {
        match self.left.checked_sub(1) {
            Some(left) => self.left = left,
            None => self.is_exhausted = true,
        }
        !self.is_exhausted
    }

    /// Ends the quantum early: the connection cannot handle further messages in this callback.
    pub fn exhaust(&mut self) {
        self.left = 0;
        self.is_exhausted = true;
    }

    /// Returns whether messages may be left in the connection's buffer.
    pub fn is_exhausted(&self) -> bool {
        self.is_exhausted
    }
}

impl Default for MessageQuantum {
    fn default() -> MessageQuantum {
        MessageQuantum::new()
    }
}
