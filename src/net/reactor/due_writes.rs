//! Writes that depend on other connections, which follow once all events of a poll have been handled.
//!
//! What is known about a connection is as old as the last poll, and older while input waits for its turn, after
//! the process was stopped, or while it handles many events. Before a write that depends on a connection, that
//! connection is therefore read again unless what is known is recent. A write whose connection still has older
//! input is postponed, and others are made first; the connection gives it up if this lasts.

use super::Reactor;
use super::managed_connection::ManagedConnection;
use crate::model::{ConnectionId, Span};
use crate::net::{ConnectionFlow, SharedState, TurnPart};
use std::ops::Bound;

/// Time in a turn for writes.
const WRITE_BUDGET: Span = Span::from_millis(2);

impl<S: SharedState + 'static> Reactor<S> {
    /// Returns whether any connection has a write due that was not postponed until after the next poll.
    pub fn has_due_writes(&self) -> bool {
        !self.due_writes.is_empty()
    }

    /// Lets connections write in turn, until none has a write due or the time for it has passed.
    pub fn run_due_writes(&mut self) {
        let began_at = self.now();
        let budget = self.time_budget(WRITE_BUDGET);
        while let Some(id) = self.next_writer() {
            self.last_writer = id;
            self.run_due_write(id);
            if budget.is_spent() {
                break;
            }
        }
        self.record_part(TurnPart::DueWrites, began_at);
    }

    /// Removes and returns the connection whose turn it is to write.
    fn next_writer(&mut self) -> Option<ConnectionId> {
        let after_last = (Bound::Excluded(self.last_writer), Bound::Unbounded);
        let next = self.due_writes.range(after_last).next().copied();
        let id = next.or_else(|| self.due_writes.first().copied())?;
        self.due_writes.remove(&id);
        Some(id)
    }

    /// Lets a connection make the first of its writes that depends on no unknown input.
    fn run_due_write(&mut self, id: ConnectionId) {
        let pending_writes = |managed: &ManagedConnection<S>| managed.connection.pending_write_count();
        let candidates = self.connections.get(&id).map_or(0, pending_writes);
        for _ in 0..candidates.max(1) {
            if self.is_next_write_current(id) {
                return self.run_callback(id, |managed, context| {
                    managed.connection.write_next(&mut managed.stream, context)
                });
            }
            self.run_callback(id, |managed, context| {
                managed.connection.postpone_next_write(context);
                ConnectionFlow::Continue
            });
        }
        // The callbacks have found the connection due again.
        if self.due_writes.remove(&id) {
            self.postponed_writes.insert(id);
        }
    }

    /// Returns whether the input on which the next write of a connection depends is known.
    fn is_next_write_current(&mut self, id: ConnectionId) -> bool {
        let Some(managed) = self.connections.get(&id) else {
            return true;
        };
        match managed.connection.next_write_depends_on(&self.shared) {
            Some(dependency) => self.is_input_current(dependency),
            None => true,
        }
    }
}
