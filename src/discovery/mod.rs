//! Service discovery: which workers there are, and where they listen.
//!
//! The platform's discovery service publishes the endpoint list as numbered watch events. `Discovery` watches it: it
//! owns the connection, its backoff and its move to another address, and the endpoint list that the events
//! make up. The server takes changes from it one by one and applies them. The wire format is in `codec`,
//! a single connection in `watch_connection`, the list in `endpoint_list`.

mod codec;
mod endpoint_list;
mod event;
#[cfg(test)]
mod tests;
mod watch_connection;

pub(crate) use endpoint_list::{AddressChange, EndpointChange};
pub use event::{EndpointRecord, WatchEvent, started_at};

use crate::collections::ExponentialBackoff;
use crate::model::{ConnectionId, Endpoint, EndpointUpdateKind, Span, Time, WatchStatus};
use crate::net::{BufferLimits, CloseCause};
use crate::runtime::Reactor;
use codec::{LENGTH_FIELD_LENGTH, MAX_FRAME_LENGTH};
use endpoint_list::EndpointList;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::warn;
use watch_connection::{StatusChange, WatchConnection, WatchQueue};

/// Delays before a new connection. They stay short: what the discovery service publishes counts as known to the
/// scheduler whether it is connected or not.
const RECONNECT_BACKOFF: ExponentialBackoff = ExponentialBackoff::new(Span::from_millis(100), 2);
/// Buffers of a connection: input for the largest frame; nearly no output, as only an offset is sent.
const BUFFER_LIMITS: BufferLimits = BufferLimits {
    input: LENGTH_FIELD_LENGTH + MAX_FRAME_LENGTH,
    output: 4096,
};

/// The watch of the endpoint list, and the list.
pub(crate) struct Discovery {
    endpoints: EndpointList,
    /// Where the discovery service listens. Without an address the list changes on reloads only.
    watch_address: Option<SocketAddr>,
    /// Shared with the current connection, and with no earlier one after a move.
    queue: Rc<RefCell<WatchQueue>>,
    /// When to begin the next connection, once that is known.
    reconnect_at: Option<Time>,
    /// The last connection that was begun; it may have ended.
    connection: Option<ConnectionId>,
}

impl Discovery {
    /// Begins with the workers of the operator's file and the events that the configuration holds. The first
    /// connection to the discovery service is due at `now`.
    pub(crate) fn new(
        watch_address: Option<SocketAddr>,
        known: Vec<WatchEvent>,
        configured: Vec<Endpoint>,
        now: Time,
    ) -> Discovery {
        let mut queue = WatchQueue::new(VecDeque::new(), 0);
        for event in known {
            queue.push(event);
        }
        if watch_address.is_some() {
            queue.record_status(now, WatchStatus::Requested);
        }
        Discovery {
            endpoints: EndpointList::new(configured),
            watch_address,
            queue: Rc::new(RefCell::new(queue)),
            reconnect_at: Some(now),
            connection: None,
        }
    }

    /// The number of the last event received.
    pub(crate) fn last_offset(&self) -> u64 {
        self.queue.borrow().last_offset
    }

    /// When [`Discovery::poll_watch`] has something to do although no connection calls back.
    pub(crate) fn next_timer(&self) -> Option<Time> {
        self.reconnect_at
    }

    /// The change that makes the statically configured workers known at the start, if there are any.
    pub(crate) fn initial_change(&self) -> Option<EndpointChange> {
        self.endpoints.initial_change()
    }

    /// Applies the next event that has been received, if there is one.
    pub(crate) fn next_change(&mut self) -> Option<EndpointChange> {
        let event = self.queue.borrow_mut().events.pop_front()?;
        Some(self.endpoints.apply_watch_event(event))
    }

    /// What became of the watch next, to be reported once [`Discovery::next_change`] has given all events.
    pub(crate) fn next_status_change(&mut self) -> Option<StatusChange> {
        self.queue.borrow_mut().status_changes.pop_front()
    }

    /// Replaces the statically configured workers; `None` where there were and are none.
    pub(crate) fn set_configured(&mut self, configured: Vec<Endpoint>) -> Option<EndpointChange> {
        self.endpoints.set_configured(configured)
    }

    /// Begins a connection to the discovery service when there is none and its time has come.
    pub(crate) fn poll_watch(&mut self, now: Time, reactor: &mut Reactor) {
        let Some(address) = self.watch_address else {
            self.reconnect_at = None;
            return;
        };
        self.schedule_reconnect(now);
        if self.reconnect_at.take_if(|at| *at <= now).is_none() {
            return;
        }
        self.connection = self.connect(address, now, reactor);
        if self.connection.is_none() {
            self.schedule_after_immediate_failure(now);
        }
    }

    /// Takes the events that a reloaded configuration holds, as far as they continue what has been received:
    /// the discovery service goes on counting, and a delta is of use only directly after the event before it.
    pub(crate) fn merge_known_events(&mut self, known: Vec<WatchEvent>) {
        let mut queue = self.queue.borrow_mut();
        for event in known {
            let is_next = queue.last_offset.checked_add(1) == Some(event.offset);
            let applies = event.kind == EndpointUpdateKind::Snapshot || is_next;
            if event.offset > queue.last_offset && applies {
                queue.push(event);
            }
        }
    }

    /// Sets the address for the connections that are begun from now on; true if it is another than before.
    /// Then [`Discovery::restart_watch`] is to follow.
    pub(crate) fn set_address(&mut self, address: Option<SocketAddr>) -> bool {
        let previous = std::mem::replace(&mut self.watch_address, address);
        previous != address
    }

    /// Ends the present connection, as the old address publishes nothing more, and has the next one begun at
    /// once. It continues after the last event received; the end of the old one neither counts nor delays it.
    pub(crate) fn restart_watch(&mut self, now: Time, reactor: &mut Reactor) {
        let pending = std::mem::take(&mut self.queue.borrow_mut().events);
        let mut queue = WatchQueue::new(pending, self.last_offset());
        let status = if self.watch_address.is_some() {
            WatchStatus::Disconnected
        } else {
            WatchStatus::Disabled
        };
        queue.record_status(now, status);
        self.queue = Rc::new(RefCell::new(queue));
        if let Some(connection) = self.connection.take() {
            reactor.close_connection(connection, CloseCause::NotNeeded);
        }
        self.reconnect_at = Some(now);
    }

    /// Sets the time of the next connection if the last one has ended.
    fn schedule_reconnect(&mut self, now: Time) {
        let mut queue = self.queue.borrow_mut();
        if !std::mem::take(&mut queue.disconnected) {
            return;
        }
        let delay = match queue.consecutive_failures {
            0 => Span(0),
            failures => RECONNECT_BACKOFF.delay(failures - 1),
        };
        self.reconnect_at = Some(now + delay);
    }

    /// Sets the time of the next connection after one that the system refused to begin. Such a failure counts
    /// itself as an earlier one, so that its delay starts one step higher.
    fn schedule_after_immediate_failure(&mut self, now: Time) {
        let mut queue = self.queue.borrow_mut();
        queue.disconnected = false;
        queue.consecutive_failures += 1;
        self.reconnect_at = Some(now + RECONNECT_BACKOFF.delay(queue.consecutive_failures));
    }

    /// Begins a connection; none if it failed at once.
    fn connect(&self, address: SocketAddr, now: Time, reactor: &mut Reactor) -> Option<ConnectionId> {
        let stream = match reactor.connect(address) {
            Ok(stream) => stream,
            Err(error) => {
                if reactor.shared.scheduler.admits_log_line(now) {
                    warn!(cause = error.to_string(), "watch connection failed");
                }
                return None;
            }
        };
        let connection = WatchConnection::new(self.queue.clone(), now);
        reactor.add_connecting(stream, Box::new(connection), BUFFER_LIMITS)
    }
}
