//! The time within which a peer must complete a message that it has begun.

use crate::model::{Span, Time};

#[cfg(test)]
mod tests;

/// What the input that is left over after a read holds of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartialMessage {
    /// Nothing: every message is complete.
    None,
    /// The start of a message that began with the latest input.
    Begun,
    /// The start of a message that may have begun earlier.
    Continued,
}

impl PartialMessage {
    /// What is left over where the input ends within a message or not, and where the read has completed a message
    /// before that or not.
    pub fn after_read(is_incomplete: bool, has_completed_message: bool) -> PartialMessage {
        match (is_incomplete, has_completed_message) {
            (false, _) => PartialMessage::None,
            (true, true) => PartialMessage::Begun,
            (true, false) => PartialMessage::Continued,
        }
    }
}

/// When an incomplete message must be complete. It is not put off by input that leaves the message incomplete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageDeadline {
    timeout: Span,
    deadline: Option<Time>,
}

impl MessageDeadline {
    /// No message has begun; each has so long from its beginning.
    pub fn new(timeout: Span) -> MessageDeadline {
        MessageDeadline {
            timeout,
            deadline: None,
        }
    }

    /// Follows a read at `now`.
    pub fn track(&mut self, message: PartialMessage, now: Time) {
        let from_now = now + self.timeout;
        self.deadline = match message {
            PartialMessage::None => None,
            PartialMessage::Begun => Some(from_now),
            PartialMessage::Continued => self.deadline.or(Some(from_now)),
        };
    }

    /// The deadline of the incomplete message, if there is one.
    pub fn get(&self) -> Option<Time> {
        self.deadline
    }

    /// Whether the incomplete message began at `now`.
    pub fn began_at(&self, now: Time) -> bool {
        self.deadline == Some(now + self.timeout)
    }
}
