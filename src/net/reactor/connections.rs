//! The reactor's connections: adding, calling and closing them.

use super::Reactor;
use super::managed_connection::ManagedConnection;
use super::token::EventSource;
use crate::model::{ConnectionId, Time};
use crate::net::{
    BufferLimits, BufferedStream, CloseCause, Connection, ConnectionFlow, Context, SharedState, Stream,
};
use std::any::Any;
use tracing::debug;

/// Bytes of unsent output that a connection may always have, however much all of them have together.
const GUARANTEED_UNSENT_BYTES: usize = 64 << 10;

impl<S: SharedState + 'static> Reactor<S> {
    /// Adds a connection whose stream is connected; its id, or none where it closed at once.
    pub fn add_connected(
        &mut self,
        stream: Stream,
        connection: Box<dyn Connection<S>>,
        limits: BufferLimits,
    ) -> Option<ConnectionId> {
        self.add(stream, connection, true, limits)
    }

    /// Adds a connection whose stream is still connecting; its id, or none where it closed at once.
    pub fn add_connecting(
        &mut self,
        stream: Stream,
        connection: Box<dyn Connection<S>>,
        limits: BufferLimits,
    ) -> Option<ConnectionId> {
        self.add(stream, connection, false, limits)
    }

    fn add(
        &mut self,
        stream: Stream,
        connection: Box<dyn Connection<S>>,
        connected: bool,
        limits: BufferLimits,
    ) -> Option<ConnectionId> {
        let id = self.next_connection;
        self.next_connection = ConnectionId(id.0 + 1);
        let token = EventSource::Connection(id).token();
        let stream = BufferedStream::new(stream, token, connected, limits);
        let managed = ManagedConnection::new(stream, connection);
        self.clients += usize::from(managed.is_client);
        self.connections.insert(id, managed);
        // Registers the stream also where there is nothing to call back with yet.
        self.call(id, |managed, context| {
            if connected {
                managed.connection.opened(&mut managed.stream, context)
            } else {
                ConnectionFlow::Continue
            }
        });
        self.has_connection(id).then_some(id)
    }

    /// Reads what is there on a connection, which may have waited since this time.
    pub fn read_waiting_input(&mut self, id: ConnectionId, since: Time) {
        self.set_earliest_input_at(id, Some(since));
        self.call(id, |managed, context| managed.handle_event(true, context));
        self.set_earliest_input_at(id, None);
    }

    fn set_earliest_input_at(&mut self, id: ConnectionId, since: Option<Time>) {
        if let Some(managed) = self.connections.get_mut(&id) {
            managed.earliest_input_at = since;
        }
    }

    /// How many connections are open or being opened.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// How many of the connections have a client at the other end.
    pub fn client_count(&self) -> usize {
        self.clients
    }

    /// The ids of all connections, in no order.
    pub fn connection_ids(&self) -> Vec<ConnectionId> {
        self.connections.keys().copied().collect()
    }

    /// Whether a connection is open or being opened.
    pub fn has_connection(&self, id: ConnectionId) -> bool {
        self.connections.contains_key(&id)
    }

    /// The connection of this id, if it was added as a `C` and is not closed.
    pub fn connection<C: Connection<S>>(&self, id: ConnectionId) -> Option<&C> {
        let connection: &dyn Any = self.connections.get(&id)?.connection.as_ref();
        connection.downcast_ref()
    }

    /// Calls a connection, as the reactor itself does with an event; false if it is closed.
    pub fn with_connection(
        &mut self,
        id: ConnectionId,
        callback: impl FnOnce(&mut dyn Connection<S>, &mut BufferedStream, &mut Context<S>) -> ConnectionFlow,
    ) -> bool {
        let found = self.has_connection(id);
        self.call(id, |managed, context| {
            callback(managed.connection.as_mut(), &mut managed.stream, context)
        });
        found
    }

    /// Like [`Reactor::with_connection`], for a connection that was added as a `C`; false also for another
    /// type.
    pub fn with_connection_of<C: Connection<S>>(
        &mut self,
        id: ConnectionId,
        callback: impl FnOnce(&mut C, &mut BufferedStream, &mut Context<S>) -> ConnectionFlow,
    ) -> bool {
        let mut found = false;
        self.with_connection(id, |connection, stream, context| {
            let connection: &mut dyn Any = connection;
            let Some(connection) = connection.downcast_mut::<C>() else {
                return ConnectionFlow::Continue;
            };
            found = true;
            callback(connection, stream, context)
        });
        found
    }

    /// Closes a connection for this cause.
    pub fn close_connection(&mut self, id: ConnectionId, cause: CloseCause) {
        if let Some(managed) = self.connections.get_mut(&id) {
            managed.set_close_cause(cause);
        }
        self.remove_connection(id);
    }

    /// Drops a connection, which knows the cause.
    fn remove_connection(&mut self, id: ConnectionId) {
        let Some(mut managed) = self.connections.remove(&id) else {
            return;
        };
        self.clients -= usize::from(managed.is_client);
        debug!(
            connection = id.0,
            cause = managed.close_cause().to_string(),
            "connection closed"
        );
        self.unsent_bytes = self.unsent_bytes.saturating_sub(managed.stream.unsent_bytes());
        self.timers.reschedule(id, managed.timer, None);
        managed.notify_closed(&mut self.context());
        managed.stream.deregister(self.poll.registry());
    }

    /// Whether any connection still has output to write.
    pub fn has_unsent_output(&self) -> bool {
        self.connections
            .values()
            .any(|managed| managed.stream.is_connected() && managed.stream.unsent_bytes() > 0)
    }

    fn context(&mut self) -> Context<'_, S> {
        Context {
            shared: &mut self.shared,
            now: self.clock.now(),
            earliest_input_at: self.earliest_input_at,
        }
    }

    /// Calls a connection back, and closes it or sets its timer as it wants.
    pub(super) fn call(
        &mut self,
        id: ConnectionId,
        callback: impl FnOnce(&mut ManagedConnection<S>, &mut Context<S>) -> ConnectionFlow,
    ) {
        let mut context = Context {
            shared: &mut self.shared,
            now: self.clock.now(),
            earliest_input_at: self.earliest_input_at,
        };
        let Some(managed) = self.connections.get_mut(&id) else {
            return;
        };
        if let Some(since) = managed.earliest_input_at {
            context.earliest_input_at = context.earliest_input_at.min(since);
        }
        let unsent_before = managed.stream.unsent_bytes();
        let mut flow = managed.call(&mut context, callback);
        let unsent_bytes = managed.stream.unsent_bytes();
        self.unsent_bytes = (self.unsent_bytes + unsent_bytes).saturating_sub(unsent_before);
        // Memory is bounded, and so is how much of it peers that don't read may use.
        let grew = unsent_bytes > unsent_before && unsent_bytes > GUARANTEED_UNSENT_BYTES;
        if grew && self.unsent_bytes > self.max_unsent_bytes {
            managed.set_close_cause(CloseCause::OutputLimitExceeded);
            flow = ConnectionFlow::Close;
        }
        if managed.apply_flow(flow) {
            return self.remove_connection(id);
        }
        managed.register(self.poll.registry(), &mut context);
        let deadline = managed.deadline();
        if deadline != managed.timer {
            self.timers.reschedule(id, managed.timer, deadline);
            managed.timer = deadline;
        }
    }
}
