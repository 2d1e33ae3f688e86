//! When a client's connection times out, alike for both protocols.

use super::limits::{LINGER_TIMEOUT, MESSAGE_TIMEOUT};
use crate::model::{Span, Time};
use crate::net::{MessageDeadline, PartialMessage};

#[cfg(test)]
mod tests;

/// The timers of a client's connection.
///
/// Functions that take an idle timeout take none while requests are open.
#[derive(Debug)]
pub(super) struct ConnectionTimers {
    last_activity: Time,
    message_deadline: MessageDeadline,
    /// When a connection that is closing ends even if the client does not read.
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

    /// Sets the deadline of a message that has begun.
    pub(super) fn track_message(&mut self, message: PartialMessage, now: Time) {
        self.message_deadline.track(message, now);
    }

    /// Whether the message that is incomplete began at `now`.
    pub(super) fn message_began_at(&self, now: Time) -> bool {
        self.message_deadline.began_at(now)
    }

    /// Starts the time within which the client may read the rest of its responses.
    pub(super) fn begin_close(&mut self, now: Time) {
        self.close_deadline = Some(now + LINGER_TIMEOUT);
    }

    /// Whether a message has not been completed in time.
    pub(super) fn message_timed_out(&self, now: Time) -> bool {
        self.pending_message_deadline()
            .is_some_and(|deadline| deadline <= now)
    }

    /// Whether the connection has been idle or closing for too long.
    pub(super) fn connection_timed_out(&self, now: Time, idle_timeout: Option<Span>) -> bool {
        let idle_deadline = idle_timeout.map(|timeout| self.last_activity + timeout);
        let mut deadlines = self.close_deadline.into_iter().chain(idle_deadline);
        deadlines.any(|deadline| deadline <= now)
    }

    /// When the first of the timers expires.
    pub(super) fn next(&self, idle_timeout: Option<Span>) -> Option<Time> {
        let idle_deadline = idle_timeout.map(|timeout| self.last_activity + timeout);
        let deadlines = self.close_deadline.into_iter().chain(idle_deadline);
        deadlines.chain(self.pending_message_deadline()).min()
    }

    /// Since when nothing has happened on a connection without open requests; none while it is closing.
    pub(super) fn idle_since(&self) -> Option<Time> {
        match self.close_deadline {
            None => Some(self.last_activity),
            Some(_) => None,
        }
    }

    /// The message's deadline, which no longer counts once the connection is closing.
    fn pending_message_deadline(&self) -> Option<Time> {
        match self.close_deadline {
            None => self.message_deadline.get(),
            Some(_) => None,
        }
    }
}
