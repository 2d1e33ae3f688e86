//! Idle connections, which the reactor can close to free their descriptors.

use super::Reactor;
use super::managed_connection::ManagedConnection;
use crate::model::{ConnectionId, Time};
use crate::net::{CloseCause, SharedState};

impl<S: SharedState + 'static> Reactor<S> {
    /// Returns the time since which a connection has been idle; see
    /// [`Connection::idle_since`](crate::net::Connection::idle_since).
    pub fn idle_since(&self, id: ConnectionId) -> Option<Time> {
        self.connections.get(&id)?.idle_since()
    }

    /// Closes the connection that has been idle for longest, because it is the least likely to be used
    /// again. Returns false if none is idle.
    pub fn close_longest_idle(&mut self) -> bool {
        self.close_longest_idle_where(|_| true)
    }

    /// Closes the connection that has been idle for longest among those whose peer is not a client. Returns
    /// false if none is idle.
    pub fn close_longest_idle_outgoing(&mut self) -> bool {
        self.close_longest_idle_where(|managed| !managed.is_client)
    }

    fn close_longest_idle_where(&mut self, may_close: impl Fn(&ManagedConnection<S>) -> bool) -> bool {
        let candidates = self.connections.iter().filter(|(_, managed)| may_close(managed));
        let idle = candidates.filter_map(|(id, managed)| Some((managed.idle_since()?, *id)));
        let mut idle: Vec<(Time, ConnectionId)> = idle.collect();
        idle.sort_unstable();
        idle.into_iter().any(|(_, id)| self.close_if_idle(id))
    }

    /// Closes a connection to free its descriptor, unless input that no poll has reported yet makes it busy.
    /// Returns whether the connection is closed.
    pub fn close_if_idle(&mut self, id: ConnectionId) -> bool {
        self.read_unreported_input(id);
        let is_busy =
            |managed: &ManagedConnection<S>| managed.idle_since().is_none() || managed.would_lose_input();
        if self.connections.get(&id).is_some_and(is_busy) {
            return false;
        }
        self.close_connection(id, CloseCause::DescriptorNeeded);
        true
    }
}
