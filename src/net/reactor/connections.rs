//! Adds, calls back and closes the reactor's connections.

use super::Reactor;
use super::input_scheduling::PeerKind;
use super::managed_connection::ManagedConnection;
use super::token::EventSource;
use crate::model::{ConnectionId, Time};
use crate::net::{
    BufferLimits, BufferedStream, CloseCause, Connection, ConnectionFlow, Context, MessageQuantum,
    SharedState, Stream,
};
use std::any::Any;
use tracing::debug;

/// Number of unsent bytes that every connection may have regardless of the total of all connections.
const GUARANTEED_UNSENT_BYTES: usize = 8 << 10;

impl<S: SharedState + 'static> Reactor<S> {
    /// Adds a connection whose stream is connected. Returns its id, or `None` if it closed immediately.
    pub fn add_connected(
        &mut self,
        stream: Stream,
        connection: Box<dyn Connection<S>>,
        limits: BufferLimits,
    ) -> Option<ConnectionId> {
        self.add(stream, connection, true, limits)
    }

    /// Adds a connection whose stream is still connecting. Returns its id, or `None` if it closed
    /// immediately.
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
        // The call also registers the stream when there is no callback to run yet.
        self.run_callback(id, |managed, context| {
            if connected {
                managed.connection.opened(&mut managed.stream, context)
            } else {
                ConnectionFlow::Continue
            }
        });
        self.has_connection(id).then_some(id)
    }

    /// Lets a connection handle its input when its turn comes. The input may have been waiting since the given time.
    pub fn queue_pending_input(&mut self, id: ConnectionId, since: Time) {
        if let Some(managed) = self.connections.get_mut(&id) {
            managed.mark_readable(since);
        }
        self.queue_input(id);
    }

    /// Lets a connection handle the input that is available without waiting for a poll to report it.
    pub(super) fn read_unreported_input(&mut self, id: ConnectionId) {
        self.run_callback(id, |managed, context| {
            let flow = managed.handle_event(context);
            flow.and(managed.handle_input(context))
        });
    }

    /// Returns the number of connections that are open or being opened.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Returns the number of connections whose peer is a client.
    pub fn client_count(&self) -> usize {
        self.clients
    }

    /// Returns the ids of all connections in arbitrary order.
    pub fn connection_ids(&self) -> Vec<ConnectionId> {
        self.connections.keys().copied().collect()
    }

    /// Returns whether a connection is open or being opened.
    pub fn has_connection(&self, id: ConnectionId) -> bool {
        self.connections.contains_key(&id)
    }

    /// Returns the connection with this id if it is of type `C` and not closed.
    pub fn connection<C: Connection<S>>(&self, id: ConnectionId) -> Option<&C> {
        let connection: &dyn Any = self.connections.get(&id)?.connection.as_ref();
        connection.downcast_ref()
    }

    /// Runs a callback on a connection as the reactor does for an event. Returns false if the connection
    /// is closed.
    pub fn with_connection(
        &mut self,
        id: ConnectionId,
        callback: impl FnOnce(&mut dyn Connection<S>, &mut BufferedStream, &mut Context<S>) -> ConnectionFlow,
    ) -> bool {
        let found = self.has_connection(id);
        self.run_callback(id, |managed, context| {
            callback(managed.connection.as_mut(), &mut managed.stream, context)
        });
        found
    }

    /// Runs a callback on a connection of type `C`, like [`Reactor::with_connection`]. Returns false if the
    /// connection is closed or of another type.
    pub fn with_connection_of_type<C: Connection<S>>(
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

    /// Closes a connection for the given cause.
    pub fn close_connection(&mut self, id: ConnectionId, cause: CloseCause) {
        if let Some(managed) = self.connections.get_mut(&id) {
            managed.set_close_cause(cause);
        }
        self.remove_connection(id);
    }

    /// Removes a connection whose close cause is already set.
    fn remove_connection(&mut self, id: ConnectionId) {
        let Some(mut managed) = self.connections.remove(&id) else {
            return;
        };
        self.clients -= usize::from(managed.is_client);
        self.input_queues.queue(PeerKind::of(&managed)).remove(id);
        debug!(
            connection = id.0,
            cause = managed.close_cause().to_string(),
            "connection closed"
        );
        self.unsent_bytes = self.unsent_bytes.saturating_sub(managed.stream.unsent_bytes());
        self.input_memory.update(managed.buffered_client_bytes(), 0);
        self.timers.reschedule(id, managed.timer, None);
        managed.notify_closed(&mut self.context());
        managed.stream.deregister(self.poll.registry());
    }

    /// Returns whether any connected connection has unsent output.
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
            messages: MessageQuantum::new(self.clock),
        }
    }

    /// Runs a callback on a connection, then closes the connection or updates its timer as the callback
    /// requires.
    pub(super) fn run_callback(
        &mut self,
        id: ConnectionId,
        callback: impl FnOnce(&mut ManagedConnection<S>, &mut Context<S>) -> ConnectionFlow,
    ) {
        let mut context = Context {
            shared: &mut self.shared,
            now: self.clock.now(),
            earliest_input_at: self.earliest_input_at,
            messages: MessageQuantum::new(self.clock),
        };
        let Some(managed) = self.connections.get_mut(&id) else {
            return;
        };
        if managed.has_unseen_input() {
            context.earliest_input_at = managed.input.unhandled_since();
        }
        let unsent_before = managed.stream.unsent_bytes();
        let buffered_before = managed.buffered_client_bytes();
        if managed.is_client {
            managed.input.room = self.input_memory.room(buffered_before, self.clients);
        }
        let flow = managed.run_callback(&mut context, callback);
        let unsent_bytes = managed.stream.unsent_bytes();
        self.unsent_bytes = (self.unsent_bytes + unsent_bytes).saturating_sub(unsent_before);
        self.input_memory
            .update(buffered_before, managed.buffered_client_bytes());
        if managed.apply_flow(flow) {
            return self.remove_connection(id);
        }
        if managed.connection.is_write_due(&managed.stream) {
            self.due_writes.insert(id);
        }
        if !managed.leaves_output(flow) {
            managed.register(self.poll.registry(), &mut context);
        }
        let deadline = managed.deadline();
        if deadline != managed.timer {
            self.timers.reschedule(id, managed.timer, deadline);
            managed.timer = deadline;
        }
        self.queue_input(id);
        if unsent_bytes > unsent_before {
            self.limit_unsent_output();
        }
    }

    /// Closes the connections whose peers have left the most output unread, while all together exceed the limit.
    fn limit_unsent_output(&mut self) {
        while self.unsent_bytes > self.max_unsent_bytes {
            let unsent = self
                .connections
                .iter()
                .map(|(id, managed)| (managed.stream.unsent_bytes(), *id));
            let Some((_, id)) = unsent.max().filter(|(bytes, _)| *bytes > GUARANTEED_UNSENT_BYTES) else {
                return;
            };
            self.close_connection(id, CloseCause::OutputLimitExceeded);
        }
    }
}
