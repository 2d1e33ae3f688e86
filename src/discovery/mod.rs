//! Service discovery: finds the workers and the addresses on which they listen.
//!
//! The platform's discovery service publishes the endpoint list as numbered watch events. `Discovery`
//! receives them: it manages the watch connection with its backoff and address changes, and maintains the
//! endpoint list that results from the events. The server takes changes from it one by one and applies them.
//! The wire format is in `codec`, a single connection in `watch_connection`, and the list in `endpoint_list`.

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

/// Backoff between watch connections. The delays are short because a published change counts as known to the
/// scheduler even while it is disconnected.
const RECONNECT_BACKOFF: ExponentialBackoff = ExponentialBackoff::new(Span::from_millis(100), 2);
/// Buffer limits of a watch connection, in bytes. The input buffer holds the largest frame; the output buffer
/// is small, as only an offset is sent.
const BUFFER_LIMITS: BufferLimits = BufferLimits {
    input: LENGTH_FIELD_LENGTH + MAX_FRAME_LENGTH,
    output: 4096,
};

/// The watch of the endpoint list, and the list itself.
pub(crate) struct Discovery {
    endpoints: EndpointList,
    /// Address of the discovery service. Without an address, the list only changes on configuration reloads.
    watch_address: Option<SocketAddr>,
    /// Shared with the current connection. After an address change, earlier connections keep the old queue.
    queue: Rc<RefCell<WatchQueue>>,
    /// Time at which to open the next connection; `None` if none is scheduled.
    reconnect_at: Option<Time>,
    /// The most recently opened connection; it may have closed.
    connection: Option<ConnectionId>,
}

impl Discovery {
    /// Creates the endpoint list from the workers of the operator's file, and the watch from the events in
    /// the configuration.
    ///
    /// The first connection to the discovery service is due at `now`.
    pub(crate) fn new(
        watch_address: Option<SocketAddr>,
        known_events: Vec<WatchEvent>,
        configured: Vec<Endpoint>,
        now: Time,
    ) -> Discovery {
        let mut queue = WatchQueue::new(VecDeque::new(), 0);
        for event in known_events {
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

    /// Returns the number of the last event received.
    pub(crate) fn last_offset(&self) -> u64 {
        self.queue.borrow().last_offset
    }

    /// Returns the time at which [`Discovery::poll_watch`] must be called even without a connection event.
    pub(crate) fn next_timer(&self) -> Option<Time> {
        self.reconnect_at
    }

    /// Returns the change that adds the statically configured workers at startup, if there are any.
    pub(crate) fn initial_change(&self) -> Option<EndpointChange> {
        self.endpoints.initial_change()
    }

    /// Applies the next queued event, if there is one, and returns the resulting change.
    pub(crate) fn next_change(&mut self) -> Option<EndpointChange> {
        let event = self.queue.borrow_mut().events.pop_front()?;
        Some(self.endpoints.apply_watch_event(event))
    }

    /// Returns whether [`Discovery::next_change`] has a change to return.
    pub(crate) fn has_changes(&self) -> bool {
        !self.queue.borrow().events.is_empty()
    }

    /// Returns the next status change of the watch, to be reported after [`Discovery::next_change`] has
    /// returned all changes.
    pub(crate) fn next_status_change(&mut self) -> Option<StatusChange> {
        self.queue.borrow_mut().status_changes.pop_front()
    }

    /// Replaces the statically configured workers; returns `None` if there were none before and are none now.
    pub(crate) fn set_configured_workers(&mut self, configured: Vec<Endpoint>) -> Option<EndpointChange> {
        self.endpoints.set_configured_workers(configured)
    }

    /// Opens a connection to the discovery service if there is none and the next one is due.
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

    /// Queues those events of a reloaded configuration that continue the events received so far.
    ///
    /// The event numbers of the discovery service continue across reloads. A snapshot applies after any
    /// earlier event; a delta only applies directly after the event before it.
    pub(crate) fn merge_known_events(&mut self, known_events: Vec<WatchEvent>) {
        let mut queue = self.queue.borrow_mut();
        for event in known_events {
            let is_next = queue.last_offset.checked_add(1) == Some(event.offset);
            let applies = event.kind == EndpointUpdateKind::Snapshot || is_next;
            if event.offset > queue.last_offset && applies {
                queue.push(event);
            }
        }
    }

    /// Sets the address of the discovery service for later connections; returns whether it has changed.
    ///
    /// If it has, the caller must call [`Discovery::restart_watch`] next.
    pub(crate) fn set_address(&mut self, address: Option<SocketAddr>) -> bool {
        let previous = std::mem::replace(&mut self.watch_address, address);
        previous != address
    }

    /// Closes the current connection, as the old address publishes nothing more, and schedules a new one
    /// immediately.
    ///
    /// The new connection continues after the last event received. The closed connection does not count as a
    /// failure and causes no backoff.
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

    /// Schedules the next connection if the last one has closed.
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

    /// Schedules the next connection after one that the operating system refused to open.
    ///
    /// The failure is counted before its delay is calculated, so the delay is one step longer than after a
    /// connection that closed.
    fn schedule_after_immediate_failure(&mut self, now: Time) {
        let mut queue = self.queue.borrow_mut();
        queue.disconnected = false;
        queue.consecutive_failures += 1;
        self.reconnect_at = Some(now + RECONNECT_BACKOFF.delay(queue.consecutive_failures));
    }

    /// Opens a connection; returns `None` if this fails immediately.
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
