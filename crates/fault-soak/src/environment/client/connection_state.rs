//! The state that the sending and the reading side of a client connection share.

use super::Clients;
use crate::environment::switches::ClientSwitches;
use crate::recorder::Event;
use crate::request::{ConnectionId, RequestId};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// The state that the sending and the reading side of a client connection share.
#[derive(Debug)]
pub(super) struct ConnectionState {
    pub(super) clients: Arc<Clients>,
    pub(super) id: ConnectionId,
    /// The requests without a response, by stream id.
    in_flight: Mutex<HashMap<u32, RequestId>>,
    has_received_go_away: AtomicBool,
    /// Whether either side has closed the connection.
    is_closed: AtomicBool,
}

impl ConnectionState {
    pub(super) fn new(clients: &Arc<Clients>) -> ConnectionState {
        ConnectionState {
            clients: Arc::clone(clients),
            id: clients.next_connection(),
            in_flight: Mutex::default(),
            has_received_go_away: AtomicBool::new(false),
            is_closed: AtomicBool::new(false),
        }
    }

    pub(super) fn switches(&self) -> &ClientSwitches {
        &self.clients.switches
    }

    pub(super) fn record(&self, event: Event) {
        self.clients.recorder.record(event);
    }

    pub(super) fn in_flight_count(&self) -> usize {
        self.in_flight().len()
    }

    pub(super) fn add_in_flight(&self, stream: u32, request: RequestId) {
        self.in_flight().insert(stream, request);
    }

    pub(super) fn remove_in_flight(&self, stream: u32) -> Option<RequestId> {
        self.in_flight().remove(&stream)
    }

    /// Removes an arbitrary request in flight and returns it with its stream id.
    pub(super) fn remove_any_in_flight(&self) -> Option<(u32, RequestId)> {
        let mut in_flight = self.in_flight();
        let stream = in_flight.keys().next().copied()?;
        Some((stream, in_flight.remove(&stream)?))
    }

    /// Removes and returns all requests in flight.
    pub(super) fn take_in_flight(&self) -> Vec<RequestId> {
        std::mem::take(&mut *self.in_flight()).into_values().collect()
    }

    fn in_flight(&self) -> MutexGuard<'_, HashMap<u32, RequestId>> {
        self.in_flight
            .lock()
            .expect("no task panics while it holds the lock")
    }

    pub(super) fn has_received_go_away(&self) -> bool {
        self.has_received_go_away.load(Ordering::Relaxed)
    }

    pub(super) fn set_go_away_received(&self) {
        self.has_received_go_away.store(true, Ordering::Relaxed);
    }

    pub(super) fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Relaxed)
    }

    /// Marks the connection as closed and returns whether it was already closed.
    pub(super) fn close(&self) -> bool {
        self.is_closed.swap(true, Ordering::Relaxed)
    }
}
