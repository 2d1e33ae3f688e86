//! The deadline by which a peer must complete a message that it has started.

use crate::model::{Span, Time};

#[cfg(test)]
mod tests;

/// The part of a message that the remaining input holds after a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartialMessage {
    /// Nothing, because every message is complete.
    None,
    /// The start of a message that began with the latest input.
    Begun,
    /// The start of a message that may have begun earlier.
    Continued,
}

impl PartialMessage {
    /// Returns the partial message after a read, given whether the input ends within a message and whether
    /// the read completed an earlier message.
    pub fn after_read(is_incomplete: bool, has_completed_message: bool) -> PartialMessage {
        match (is_incomplete, has_completed_message) {
            (false, _) => PartialMessage::None,
            (true, true) => PartialMessage::Begun,
            (true, false) => PartialMessage::Continued,
        }
    }
}

/// The deadline of an incomplete message. Input that leaves the message incomplete does not extend it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageDeadline {
    timeout: Span,
    deadline: Option<Time>,
}

impl MessageDeadline {
    /// Creates a deadline that is not set, because no message is incomplete. Each message must be complete
    /// within `timeout` of its start.
    pub fn new(timeout: Span) -> MessageDeadline {
        MessageDeadline {
            timeout,
            deadline: None,
        }
    }

    /// Updates the deadline after a read at `now`.
    pub fn track(&mut self, message: PartialMessage, now: Time) {
        let from_now = now + self.timeout;
        self.deadline = match message {
            PartialMessage::None => None,
            PartialMessage::Begun => Some(from_now),
            PartialMessage::Continued => self.deadline.or(Some(from_now)),
        };
    }

    /// Returns the deadline of the incomplete message, if there is one.
    pub fn get(&self) -> Option<Time> {
        self.deadline
    }

    /// Returns whether the incomplete message began at `now`.
    pub fn began_at(&self, now: Time) -> bool {
        self.deadline == Some(now + self.timeout)
    }
}
