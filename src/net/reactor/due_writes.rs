//! Writes that depend on other connections, which follow once all events of a poll have been handled.
//!
//! What is known about a connection is as old as the last poll, and older after the process was stopped or
//! while it handles many events. Before a write that depends on a connection, that connection is therefore
//! read again if the poll is no longer recent.

use super::Reactor;
use crate::model::ConnectionId;
use crate::net::{SharedState, TurnPart};

impl<S: SharedState + 'static> Reactor<S> {
    /// Returns whether any connection has a write due.
    pub fn has_due_writes(&self) -> bool {
        !self.due_writes.is_empty()
    }

    /// Lets connections write until none has a write due.
    pub fn run_due_writes(&mut self) {
        let began_at = self.now();
        while let Some(id) = self.due_writes.pop_first() {
            self.recheck_dependency_of(id);
            self.run_callback(id, |managed, context| {
                managed.connection.write_next(&mut managed.stream, context)
            });
        }
        self.record_part(TurnPart::DueWrites, began_at);
    }

    /// Reads the connection on which the next write depends, unless the last poll is recent.
    fn recheck_dependency_of(&mut self, id: ConnectionId) {
        if !self.is_input_outdated() {
            return;
        }
        let Some(managed) = self.connections.get(&id) else {
            return;
        };
        if let Some(dependency) = managed.connection.next_write_depends_on(&self.shared) {
            self.shared.connection_rechecked();
            self.read_unreported_input(dependency);
        }
    }
}
