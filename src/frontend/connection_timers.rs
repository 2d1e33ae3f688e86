//! The timeouts of a client connection, shared by both protocols.

use super::limits::{LINGER_TIMEOUT, MESSAGE_TIMEOUT};
use crate::model::{Span, Time};
use crate::net::{MessageDeadline, PartialMessage};

#[cfg(test)]
mod tests;

/// The timers of a client connection.
///
/// Methods that take an idle timeout are passed `None` while requests are open.
#[derive(Debug)]
pub(super) struct ConnectionTimers {
    last_activity: Time,
    message_deadline: MessageDeadline,
    /// The time at which a closing connection is closed even if the client has not read all output.
    close_deadline: Option<Time>,
}

impl ConnectionTimers {
    pub(super) fn new(now: Time) -> ConnectionTimers {
        ConnectionTimers {
            last_activity: now,
            message_deadline: MessageDeadline::new(MESSAGE_TIMEOUT),
            close_deadline: None,
        }
    }

    pub(super) fn record_activity(&mut self, now: Time) {
        self.last_activity = now;
    }

    /// Updates the message deadline after a read that left `message` in the buffer.
    pub(super) fn track_message(&mut self, message: PartialMessage, now: Time) {
        self.message_deadline.track(message, now);
    }

    /// Returns whether the incomplete message began at `now`.
    pub(super) fn message_began_at(&self, now: Time) -> bool {
        self.message_deadline.began_at(now)
    }

    /// Starts the period in which the client may read its remaining responses.
    pub(super) fn begin_close(&mut self, now: Time) {
        self.close_deadline = Some(now + LINGER_TIMEOUT);
    }

    /// Returns whether a message was not completed in time.
    pub(super) fn message_timed_out(&self, now: Time) -> bool {
        self.pending_message_deadline()
            .is_some_and(|deadline| deadline <= now)
    }

    /// Returns whether the connection has been idle or closing for too long.
    pub(super) fn connection_timed_out(&self, now: Time, idle_timeout: Option<Span>) -> bool {
        let idle_deadline = idle_timeout.map(|timeout| self.last_activity + timeout);
        let mut deadlines = self.close_deadline.into_iter().chain(idle_deadline);
        deadlines.any(|deadline| deadline <= now)
    }

    /// Returns when the first timer expires.
    pub(super) fn next(&self, idle_timeout: Option<Span>) -> Option<Time> {
        let idle_deadline = idle_timeout.map(|timeout| self.last_activity + timeout);
        let deadlines = self.close_deadline.into_iter().chain(idle_deadline);
        deadlines.chain(self.pending_message_deadline()).min()
    }

    /// Returns the time of the last activity, or `None` while the connection is closing.
    ///
    /// Meaningful only while no requests are open.
    pub(super) fn idle_since(&self) -> Option<Time> {
        match self.close_deadline {
            None => Some(self.last_activity),
            Some(_) => None,
        }
    }

    /// Returns the deadline of the incomplete message; it does not apply once the connection is closing.
    fn pending_message_deadline(&self) -> Option<Time> {
        match self.close_deadline {
            None => self.message_deadline.get(),
            Some(_) => None,
        }
    }
}
