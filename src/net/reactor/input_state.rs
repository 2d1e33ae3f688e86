//! What is known of the input of a connection that has not been handled.

use crate::model::Time;

/// The input of a connection between its arrival and its handling.
#[derive(Debug)]
pub(super) struct InputState {
    /// Earliest time at which input that has not been handled may have arrived. Meaningful only while there is
    /// such input.
    unhandled_since: Time,
    /// Time at which the socket was last seen empty.
    socket_empty_at: Time,
    /// Whether the buffer may hold messages that the last quantum did not cover.
    pub(super) has_buffered_messages: bool,
    /// Number of bytes that the connection may add to its buffered input in the current callback.
    pub(super) room: usize,
}

impl Default for InputState {
    fn default() -> InputState {
        InputState {
            unhandled_since: Time(0),
            socket_empty_at: Time(0),
            has_buffered_messages: false,
            room: usize::MAX,
        }
    }
}

impl InputState {
    /// Records that input may have arrived at `since` at the earliest, when there was none before.
    pub(super) fn begin(&mut self, since: Time) {
        self.unhandled_since = since;
    }

    /// Returns the earliest time at which input that has not been handled may have arrived. Meaningful only
    /// while there is such input.
    pub(super) fn unhandled_since(&self) -> Time {
        if self.has_buffered_messages {
            self.unhandled_since
        } else {
            self.unhandled_since.max(self.socket_empty_at)
        }
    }

    /// Records that the socket is about to be read, after all buffered messages have been handled.
    pub(super) fn begin_read(&mut self) {
        self.unhandled_since = self.unhandled_since();
    }

    /// Records that the socket was seen empty in a callback that began at `now`.
    pub(super) fn record_empty_socket(&mut self, now: Time) {
        self.socket_empty_at = now;
    }
}
