//! The input of a connection: what of it waits, and the handling of one quantum.

use super::managed_connection::ManagedConnection;
use crate::model::Time;
use crate::net::{ConnectionFlow, Context, SharedState};
use std::io;

/// Maximum number of bytes that are read and discarded from a closing connection. A peer that sends more is
/// disconnected, so that it does not keep the processor busy.
const MAX_DISCARDED_INPUT_BYTES: usize = 1 << 20;

impl<S: SharedState + 'static> ManagedConnection<S> {
    /// Returns whether the connection has input that it can handle now.
    pub(super) fn has_unhandled_input(&self) -> bool {
        self.input.has_buffered_messages || self.stream.is_readable()
    }

    /// Returns whether the peer may have sent anything that has not been handled, even if it cannot be read now.
    pub(super) fn has_unseen_input(&self) -> bool {
        self.input.has_buffered_messages || self.stream.may_have_input()
    }

    /// Records that the socket may hold input that arrived at `since` at the earliest.
    pub(super) fn mark_readable(&mut self, since: Time) {
        if !self.has_unseen_input() {
            self.input.begin(since);
        }
        self.stream.mark_readable();
    }

    /// Returns whether closing the connection would lose input. A finishing connection ignores its input.
    pub(super) fn would_lose_input(&self) -> bool {
        self.has_unseen_input() && !self.finishing
    }

    /// Returns the number of buffered input bytes if the peer is a client.
    pub(super) fn buffered_client_bytes(&self) -> usize {
        if self.is_client {
            self.stream.input.len()
        } else {
            0
        }
    }

    /// Returns whether the buffer ends within a message, the socket may hold more of it, and there is no room for
    /// that.
    fn lacks_room_for_message(&self) -> bool {
        let is_incomplete =
            !self.input.has_buffered_messages && !self.finishing && !self.stream.input.is_empty();
        is_incomplete && self.stream.is_readable() && self.input.room == 0
    }

    /// Handles one quantum of the connection's input.
    pub(super) fn handle_input(&mut self, context: &mut Context<S>) -> ConnectionFlow {
        if !self.stream.is_connected() {
            return ConnectionFlow::Continue;
        }
        self.try_handle_input(context)
            .unwrap_or_else(|error| self.fail(&error))
    }

    /// Reads from the socket, unless messages are left in the buffer, and lets the connection handle what its
    /// quantum allows.
    fn try_handle_input(&mut self, context: &mut Context<S>) -> io::Result<ConnectionFlow> {
        if self.lacks_room_for_message() {
            return Ok(self
                .connection
                .reject_incomplete_message(&mut self.stream, context));
        }
        if !self.input.has_buffered_messages && !self.read_socket(context.now)? {
            return Ok(ConnectionFlow::Continue);
        }
        self.input.has_buffered_messages = false;
        if !self.finishing {
            return Ok(self.connection.received(&mut self.stream, context));
        }
        self.discard_input();
        if self.discarded > MAX_DISCARDED_INPUT_BYTES {
            return Ok(ConnectionFlow::Close);
        }
        Ok(ConnectionFlow::Continue)
    }

    /// Reads from the socket at `now`. Returns whether there is new input or its end.
    fn read_socket(&mut self, now: Time) -> io::Result<bool> {
        self.input.begin_read();
        let buffered = self.stream.input.len();
        if self.stream.fill(self.input.room)? {
            self.input.record_empty_socket(now);
        }
        Ok(self.stream.input.len() > buffered || self.stream.input_ended)
    }

    fn discard_input(&mut self) {
        self.discarded += self.stream.input.len();
        self.stream.input.clear();
    }
}
