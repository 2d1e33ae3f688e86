//! The reactor's connections: adding, calling and closing them.

use super::Reactor;
use super::entry::Entry;
use super::token::EventSource;
use crate::model::{ConnectionId, Span, Time};
use crate::net::{
    BufferLimits, BufferedStream, ClientConnection, CloseCause, Connection, ConnectionFlow, Context, Stream,
};
use crate::scheduler::Scheduler;
use std::any::Any;
use tracing::debug;

/// Bytes of unsent output that a connection may always have, however much all of them have together.
const ALWAYS_ALLOWED_UNSENT: usize = 64 << 10;
/// Pause before the system is asked once more to report a connection's events, after it has refused.
const REGISTRATION_RETRY_DELAY: Span = Span::from_millis(20);

impl Reactor {
    /// Adds a connection whose stream is connected; its id, or none where it closed at once.
    pub fn add_connected(
        &mut self,
        stream: Stream,
        connection: Box<dyn Connection>,
        limits: BufferLimits,
        scheduler: &mut Scheduler,
    ) -> Option<ConnectionId> {
        let id = self.insert(stream, connection, true, limits);
        self.call(id, scheduler, |entry, context| {
            entry.connection.opened(&mut entry.stream, context)
        });
        self.has_connection(id).then_some(id)
    }

    /// Reads what is there on a connection, which may have waited since this time.
    pub fn read_waiting_input(&mut self, id: ConnectionId, since: Time, scheduler: &mut Scheduler) {
        self.set_input_since(id, Some(since));
        self.call(id, scheduler, |entry, context| entry.handle_event(true, context));
        self.set_input_since(id, None);
    }

    fn set_input_since(&mut self, id: ConnectionId, since: Option<Time>) {
        if let Some(entry) = self.connections.get_mut(&id) {
            entry.input_since = since;
        }
    }

    /// Adds a connection whose stream is still connecting; its id, or none where it closed at once.
    pub fn add_connecting(
        &mut self,
        stream: Stream,
        connection: Box<dyn Connection>,
        limits: BufferLimits,
        scheduler: &mut Scheduler,
    ) -> Option<ConnectionId> {
        let id = self.insert(stream, connection, false, limits);
        self.call(id, scheduler, |_, _| ConnectionFlow::Continue);
        self.has_connection(id).then_some(id)
    }

    fn insert(
        &mut self,
        stream: Stream,
        connection: Box<dyn Connection>,
        connected: bool,
        limits: BufferLimits,
    ) -> ConnectionId {
        let id = self.next_connection;
        self.next_connection = ConnectionId(id.0 + 1);
        let token = EventSource::Connection(id).token();
        let stream = BufferedStream::new(stream, token, connected, limits);
        let entry = Entry::new(stream, connection);
        self.clients += usize::from(entry.is_client);
        self.connections.insert(id, entry);
        id
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

    /// Since when a connection has been idle; see [`Connection::idle_since`].
    pub fn idle_since(&self, id: ConnectionId) -> Option<Time> {
        self.connections.get(&id)?.idle_since()
    }

    /// The connection of this id, if it was added as a `C` and is not closed.
    pub fn connection<C: Connection>(&self, id: ConnectionId) -> Option<&C> {
        let connection: &dyn Any = self.connections.get(&id)?.connection.as_ref();
        connection.downcast_ref()
    }

    /// Calls a connection, as the reactor itself does with an event; false if it is closed.
    pub fn with_connection(
        &mut self,
        id: ConnectionId,
        scheduler: &mut Scheduler,
        callback: impl FnOnce(&mut dyn Connection, &mut BufferedStream, &mut Context) -> ConnectionFlow,
    ) -> bool {
        let found = self.has_connection(id);
        self.call(id, scheduler, |entry, context| {
            callback(entry.connection.as_mut(), &mut entry.stream, context)
        });
        found
    }

    /// Like [`Reactor::with_connection`], for a connection that was added as a `C`; false also for another
    /// type.
    pub fn with_connection_of<C: Connection>(
        &mut self,
        id: ConnectionId,
        scheduler: &mut Scheduler,
        callback: impl FnOnce(&mut C, &mut BufferedStream, &mut Context) -> ConnectionFlow,
    ) -> bool {
        let mut found = false;
        self.with_connection(id, scheduler, |connection, stream, context| {
            let connection: &mut dyn Any = connection;
            let Some(connection) = connection.downcast_mut::<C>() else {
                return ConnectionFlow::Continue;
            };
            found = true;
            callback(connection, stream, context)
        });
        found
    }

    /// Like [`Reactor::with_connection`], for a connection with a client at its other end; false also for
    /// another.
    pub fn with_client(
        &mut self,
        id: ConnectionId,
        scheduler: &mut Scheduler,
        callback: impl FnOnce(&mut dyn ClientConnection, &mut BufferedStream, &mut Context) -> ConnectionFlow,
    ) -> bool {
        let mut found = false;
        self.with_connection(id, scheduler, |connection, stream, context| {
            let Some(client) = connection.as_client() else {
                return ConnectionFlow::Continue;
            };
            found = true;
            callback(client, stream, context)
        });
        found
    }

    /// Closes a connection for this cause.
    pub fn close_connection(&mut self, id: ConnectionId, cause: CloseCause, scheduler: &mut Scheduler) {
        if let Some(entry) = self.connections.get_mut(&id) {
            entry.set_close_cause(cause);
        }
        self.remove_connection(id, scheduler);
    }

    /// Drops a connection, whose entry knows the cause.
    fn remove_connection(&mut self, id: ConnectionId, scheduler: &mut Scheduler) {
        let Some(mut entry) = self.connections.remove(&id) else {
            return;
        };
        self.clients -= usize::from(entry.is_client);
        debug!(
            "connection closed connection={id} cause=\"{}\"",
            entry.close_cause()
        );
        self.unsent = self.unsent.saturating_sub(entry.stream.unsent());
        self.timers.reschedule(id, entry.timer, None);
        entry.notify_closed(&mut self.context(scheduler));
        entry.stream.deregister(self.poll.registry());
    }

    /// Closes the connection that has been idle for longest, as the least likely to be used again; false if
    /// none is idle.
    pub fn close_longest_idle(&mut self, scheduler: &mut Scheduler) -> bool {
        self.close_longest_idle_of(|_| true, scheduler)
    }

    /// The same among the connections at whose other end is no client.
    pub fn close_longest_idle_outgoing(&mut self, scheduler: &mut Scheduler) -> bool {
        self.close_longest_idle_of(|entry| !entry.is_client, scheduler)
    }

    fn close_longest_idle_of(
        &mut self,
        may_close: impl Fn(&Entry) -> bool,
        scheduler: &mut Scheduler,
    ) -> bool {
        let candidates = self.connections.iter().filter(|(_, entry)| may_close(entry));
        let idle = candidates.filter_map(|(id, entry)| Some((entry.idle_since()?, *id)));
        let mut idle: Vec<(Time, ConnectionId)> = idle.collect();
        idle.sort_unstable();
        idle.into_iter().any(|(_, id)| self.close_if_idle(id, scheduler))
    }

    /// Closes a connection to free its descriptor, unless something has come on it that no poll has reported yet;
    /// whether it is closed.
    pub fn close_if_idle(&mut self, id: ConnectionId, scheduler: &mut Scheduler) -> bool {
        self.call(id, scheduler, |entry, context| entry.handle_event(true, context));
        let is_busy = |entry: &Entry| entry.idle_since().is_none();
        if self.connections.get(&id).is_some_and(is_busy) {
            return false;
        }
        self.close_connection(id, CloseCause::RoomNeeded, scheduler);
        true
    }

    /// Whether any connection still has output to write.
    pub fn has_unsent_output(&self) -> bool {
        self.connections
            .values()
            .any(|entry| entry.stream.is_connected() && entry.stream.unsent() > 0)
    }

    fn context<'a>(&self, scheduler: &'a mut Scheduler) -> Context<'a> {
        Context {
            scheduler,
            now: self.clock.now(),
            input_since: self.input_since,
            ready: self.ready,
            active: self.active,
        }
    }

    /// Calls a connection back, and closes it or sets its timer as it wants.
    pub(super) fn call(
        &mut self,
        id: ConnectionId,
        scheduler: &mut Scheduler,
        callback: impl FnOnce(&mut Entry, &mut Context) -> ConnectionFlow,
    ) {
        let mut context = self.context(scheduler);
        let Some(entry) = self.connections.get_mut(&id) else {
            return;
        };
        if let Some(since) = entry.input_since {
            context.input_since = context.input_since.min(since);
        }
        let unsent_before = entry.stream.unsent();
        let mut flow = entry.call(&mut context, callback);
        let unsent = entry.stream.unsent();
        self.unsent = (self.unsent + unsent).saturating_sub(unsent_before);
        // Memory is bounded, and so is how much of it peers that don't read may hold.
        let grew = unsent > unsent_before && unsent > ALWAYS_ALLOWED_UNSENT;
        if grew && self.unsent > self.unsent_limit {
            entry.set_close_cause(CloseCause::OutputUnread);
            flow = ConnectionFlow::Close;
        }
        if entry.apply_flow(flow) {
            return self.remove_connection(id, scheduler);
        }
        entry.registers_at = match entry.stream.register(self.poll.registry()) {
            Ok(()) => None,
            Err(error) => {
                context.scheduler.counters().event_registrations_failed += 1;
                debug!("registration failed connection={id} why=\"{error}\"");
                Some(context.now + REGISTRATION_RETRY_DELAY)
            }
        };
        let deadline = entry.deadline();
        if deadline != entry.timer {
            self.timers.reschedule(id, entry.timer, deadline);
            entry.timer = deadline;
        }
    }

    /// Calls the connections whose timers have expired.
    pub(super) fn fire_timers(&mut self, scheduler: &mut Scheduler) {
        let now = self.clock.now();
        while let Some(id) = self.timers.pop_expired(now) {
            if let Some(entry) = self.connections.get_mut(&id) {
                entry.timer = None;
            }
            self.call(id, scheduler, Entry::handle_timer);
        }
    }
}
