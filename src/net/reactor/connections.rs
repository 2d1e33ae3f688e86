//! The reactor's connections: adding, calling and closing them.

use super::Reactor;
use super::entry::Entry;
use super::token::EventSource;
use crate::model::Time;
use crate::net::{
    BufferLimits, BufferedStream, ClientConnection, Connection, ConnectionFlow, Context, Stream,
};
use crate::scheduler::Scheduler;
use std::any::Any;

/// Bytes of unsent output that a connection may always have, however much all of them have together.
const ALWAYS_ALLOWED_UNSENT: usize = 64 << 10;

impl Reactor {
    /// Adds a connection whose stream is connected; its id, or none where it closed at once.
    pub fn add_connected(
        &mut self,
        stream: Stream,
        connection: Box<dyn Connection>,
        limits: BufferLimits,
        scheduler: &mut Scheduler,
    ) -> Option<u64> {
        let id = self.insert(stream, connection, true, limits);
        self.call(id, scheduler, |entry, context| {
            entry.connection.opened(&mut entry.stream, context)
        });
        self.has_connection(id).then_some(id)
    }

    /// Adds a connection whose stream is still connecting; its id, or none where it closed at once.
    pub fn add_connecting(
        &mut self,
        stream: Stream,
        connection: Box<dyn Connection>,
        limits: BufferLimits,
        scheduler: &mut Scheduler,
    ) -> Option<u64> {
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
    ) -> u64 {
        let id = self.next_connection;
        self.next_connection += 1;
        let token = EventSource::Connection(id).token();
        let stream = BufferedStream::new(stream, token, connected, limits);
        self.connections.insert(id, Entry::new(stream, connection));
        id
    }

    /// How many connections are open or being opened.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// The ids of all connections, in no order.
    pub fn connection_ids(&self) -> Vec<u64> {
        self.connections.keys().copied().collect()
    }

    /// Whether a connection is open or being opened.
    pub fn has_connection(&self, id: u64) -> bool {
        self.connections.contains_key(&id)
    }

    /// Since when a connection has been idle; see [`Connection::idle_since`].
    pub fn idle_since(&self, id: u64) -> Option<Time> {
        self.connections.get(&id)?.connection.idle_since()
    }

    /// The connection of this id, if it was added as a `C` and is not closed.
    pub fn connection<C: Connection>(&self, id: u64) -> Option<&C> {
        let connection: &dyn Any = self.connections.get(&id)?.connection.as_ref();
        connection.downcast_ref()
    }

    /// Calls a connection, as the reactor itself does with an event; false if it is closed.
    pub fn with_connection(
        &mut self,
        id: u64,
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
        id: u64,
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
        id: u64,
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

    /// Closes a connection.
    pub fn close_connection(&mut self, id: u64, scheduler: &mut Scheduler) {
        let Some(mut entry) = self.connections.remove(&id) else {
            return;
        };
        self.unsent = self.unsent.saturating_sub(entry.stream.unsent());
        self.timers.reschedule(id, entry.timer, None);
        entry.notify_closed(&mut self.context(scheduler));
        entry.stream.deregister(self.poll.registry());
    }

    /// Closes the connection that has been idle for longest, as the least likely to be used again; false if
    /// none is idle.
    pub fn close_longest_idle(&mut self, scheduler: &mut Scheduler) -> bool {
        let idle = self
            .connections
            .iter()
            .filter_map(|(id, entry)| Some((entry.connection.idle_since()?, *id)));
        let Some((_, id)) = idle.min() else {
            return false;
        };
        self.close_connection(id, scheduler);
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
            ready: self.ready,
            active: self.active,
        }
    }

    /// Calls a connection back, and closes it or sets its timer as it wants.
    pub(super) fn call(
        &mut self,
        id: u64,
        scheduler: &mut Scheduler,
        callback: impl FnOnce(&mut Entry, &mut Context) -> ConnectionFlow,
    ) {
        let mut context = self.context(scheduler);
        let Some(entry) = self.connections.get_mut(&id) else {
            return;
        };
        let unsent_before = entry.stream.unsent();
        let mut flow = entry.call(&mut context, callback);
        let unsent = entry.stream.unsent();
        self.unsent = (self.unsent + unsent).saturating_sub(unsent_before);
        // Memory is bounded, and so is how much of it peers that don't read may hold.
        let grew = unsent > unsent_before && unsent > ALWAYS_ALLOWED_UNSENT;
        if grew && self.unsent > self.unsent_limit {
            flow = ConnectionFlow::Close;
        }
        let close = entry.apply_flow(flow);
        if close || entry.stream.register(self.poll.registry()).is_err() {
            return self.close_connection(id, scheduler);
        }
        let deadline = entry.connection.deadline();
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
            self.call(id, scheduler, |entry, context| {
                entry.connection.timer_expired(&mut entry.stream, context)
            });
        }
    }
}
