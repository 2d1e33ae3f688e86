//! A stand-in discovery service, which stores the events of the endpoint list and serves watches of it.
//!
//! The service listens on two addresses per scheduler, of which one is active at a time.

mod events;
mod watch;

pub(crate) use events::WorkerState;

use super::listener;
use super::switches::DiscoverySwitches;
use events::EndpointEvent;
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;

/// Number of addresses of the service for each scheduler.
const ADDRESSES_PER_SCHEDULER: usize = 2;

/// The discovery service and the events that it has published.
#[derive(Debug)]
pub(crate) struct Discovery {
    pub(crate) switches: DiscoverySwitches,
    /// The addresses by scheduler index. Each scheduler has its own, so that the address of a connection
    /// identifies the scheduler.
    addresses: Vec<[SocketAddr; ADDRESSES_PER_SCHEDULER]>,
    /// The number of open watches by scheduler index, over both addresses.
    watch_counts: Vec<AtomicUsize>,
    /// The index of the active address, the same for all schedulers.
    active_address: AtomicUsize,
    /// All published events. The event at index `n` has the number `n + 1`.
    events: Mutex<Vec<EndpointEvent>>,
}

/// Identifies one address of the service.
#[derive(Clone, Copy, Debug)]
struct AddressId {
    scheduler: usize,
    /// The index among the scheduler's addresses.
    index: usize,
}

impl Discovery {
    /// Starts the service, which listens on all addresses until the runtime shuts down.
    pub(super) async fn listen(schedulers: usize) -> io::Result<Arc<Discovery>> {
        let mut listeners: Vec<(AddressId, TcpListener)> = Vec::new();
        let mut addresses = Vec::new();
        for scheduler in 0..schedulers {
            let (first_listener, first_address) = listener::bind().await?;
            let (second_listener, second_address) = listener::bind().await?;
            listeners.push((AddressId { scheduler, index: 0 }, first_listener));
            listeners.push((AddressId { scheduler, index: 1 }, second_listener));
            addresses.push([first_address, second_address]);
        }
        let discovery = Arc::new(Discovery {
            switches: DiscoverySwitches::default(),
            addresses,
            watch_counts: (0..schedulers).map(|_| AtomicUsize::new(0)).collect(),
            active_address: AtomicUsize::new(0),
            events: Mutex::default(),
        });
        for (address, listener) in listeners {
            let discovery = Arc::clone(&discovery);
            listener::serve(listener, move |stream| {
                watch::serve(Arc::clone(&discovery), address, stream)
            });
        }
        Ok(discovery)
    }

    /// Returns the active address of a scheduler.
    pub(super) fn address(&self, scheduler: usize) -> SocketAddr {
        self.addresses[scheduler][self.active_address.load(Ordering::Relaxed)]
    }

    /// Returns whether a scheduler has an open watch of the endpoint list.
    pub(super) fn is_watched_by(&self, scheduler: usize) -> bool {
        self.watch_counts[scheduler].load(Ordering::Relaxed) > 0
    }

    /// Makes the other address of every scheduler the active one.
    pub(crate) fn switch_address(&self) {
        self.active_address.fetch_xor(1, Ordering::Relaxed);
    }

    /// Publishes a new state of a worker's process.
    pub(crate) fn publish(&self, id: u32, address: SocketAddr, state: WorkerState) {
        let mut events = self.events();
        // A process whose start was not published counts as started long ago, which 0 stands for.
        let earlier_event = events.iter().rev().find(|event| event.id == id);
        let started_at_ms = earlier_event.map_or(0, |event| event.started_at_ms);
        events.push(EndpointEvent {
            id,
            address,
            state,
            started_at_ms,
        });
    }

    /// Publishes a worker's process as ready, with the current time as its start time.
    pub(crate) fn publish_started(&self, id: u32, address: SocketAddr) {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.events().push(EndpointEvent {
            id,
            address,
            state: WorkerState::Ready,
            started_at_ms: since_epoch.as_millis() as u64,
        });
    }

    /// Returns all events so far, encoded for the configuration file.
    pub(super) fn known_events(&self) -> Value {
        events::known_events(&self.events())
    }

    fn events_after(&self, number: usize) -> Vec<EndpointEvent> {
        let events = self.events();
        events.get(number..).unwrap_or_default().to_vec()
    }

    fn events(&self) -> MutexGuard<'_, Vec<EndpointEvent>> {
        self.events
            .lock()
            .expect("no task panics while it holds the lock")
    }

    fn is_active(&self, address: AddressId) -> bool {
        self.active_address.load(Ordering::Relaxed) == address.index
    }
}
