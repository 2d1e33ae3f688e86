//! Output that several callbacks add to a connection and that is written at once.
//!
//! A write to a socket costs more than most messages. Connections that get many small messages in a row, one
//! callback each, therefore leave them in their buffers until all have come.

use super::Reactor;
use crate::model::ConnectionId;
use crate::net::{BufferedStream, Connection, ConnectionFlow, Context, SharedState};

impl<S: SharedState + 'static> Reactor<S> {
    /// Runs a callback on a connection, like [`Reactor::with_connection`], and leaves small output that it adds to
    /// [`Reactor::flush_deferred_output`].
    pub fn with_connection_deferred(
        &mut self,
        id: ConnectionId,
        callback: impl FnOnce(&mut dyn Connection<S>, &mut BufferedStream, &mut Context<S>) -> ConnectionFlow,
    ) {
        let Some(managed) = self.connections.get_mut(&id) else {
            return;
        };
        managed.defers_output = true;
        self.with_connection(id, callback);
        let Some(managed) = self.connections.get_mut(&id) else {
            return;
        };
        managed.defers_output = false;
        if managed.stream.unsent_bytes() > 0 && !managed.has_deferred_output {
            managed.has_deferred_output = true;
            self.deferred_output.push(id);
        }
    }

    /// Writes the output that callbacks have left.
    pub fn flush_deferred_output(&mut self) {
        for id in std::mem::take(&mut self.deferred_output) {
            if let Some(managed) = self.connections.get_mut(&id) {
                managed.has_deferred_output = false;
            }
            self.run_callback(id, |_, _| ConnectionFlow::Continue);
        }
    }
}
