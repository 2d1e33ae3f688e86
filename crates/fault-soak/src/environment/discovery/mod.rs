//! A stand-in discovery service: it keeps the events of the endpoint list and serves watches of it. Each scheduler has two
//! addresses of its own for the service, of which one is active.

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

/// Addresses of the service for one scheduler.
const ADDRESSES_PER_SCHEDULER: usize = 2;

/// The discovery service.
#[derive(Debug)]
pub(crate) struct Discovery {
    pub(crate) switches: DiscoverySwitches,
    /// The addresses for each scheduler: from the address the service knows whose watch it serves.
    addresses: Vec<[SocketAddr; ADDRESSES_PER_SCHEDULER]>,
    /// Watches of each scheduler, at either address.
    watch_counts: Vec<AtomicUsize>,
    /// Index of the active address.
    active_address: AtomicUsize,
    /// The event at index n has the number n + 1.
    events: Mutex<Vec<EndpointEvent>>,
}

/// One address of the service.
#[derive(Clone, Copy, Debug)]
struct AddressId {
    scheduler: usize,
    /// Index among the scheduler's addresses.
    index: usize,
}

impl Discovery {
    /// Listens at all addresses until the runtime ends.
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

    /// The address that is active for a scheduler.
    pub(super) fn address(&self, scheduler: usize) -> SocketAddr {
        self.addresses[scheduler][self.active_address.load(Ordering::Relaxed)]
    }

    /// Whether a scheduler watches the endpoint list.
    pub(super) fn is_watched_by(&self, scheduler: usize) -> bool {
        self.watch_counts[scheduler].load(Ordering::Relaxed) > 0
    }

    /// Makes the other address the active one.
    pub(crate) fn switch_address(&self) {
        self.active_address.fetch_xor(1, Ordering::Relaxed);
    }

    /// Publishes the state of a worker's process.
    pub(crate) fn publish(&self, id: u32, address: SocketAddr, state: WorkerState) {
        let mut events = self.events();
        // A process without an earlier event has been up for long.
        let earlier_event = events.iter().rev().find(|event| event.id == id);
        let started_at_ms = earlier_event.map_or(0, |event| event.started_at_ms);
        events.push(EndpointEvent {
            id,
            address,
            state,
            started_at_ms,
        });
    }

    /// Publishes a worker's process that has started now and is ready.
    pub(crate) fn publish_started(&self, id: u32, address: SocketAddr) {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.events().push(EndpointEvent {
            id,
            address,
            state: WorkerState::Ready,
            started_at_ms: since_epoch.as_millis() as u64,
        });
    }

    /// All events so far, in the form of a configuration file.
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
