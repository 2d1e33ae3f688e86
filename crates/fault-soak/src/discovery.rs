//! A stand-in discovery service: it keeps the events of the endpoint list and tells them on as many watches as ask, at
//! one of two addresses at a time.

use crate::switches::DiscoverySwitches;
use anyhow::Result;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// A watch without an event gets a heartbeat this often.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Pause between looks for new events and at the switches.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long the watches at the old address stay open after a move.
const OLD_ADDRESS_LINGER: Duration = Duration::from_millis(1_500);
/// Addresses of the service.
const ADDRESSES: usize = 2;
const KIND_CHANGES: u8 = 2;

/// The state of a worker in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkerState {
    Ready,
    Draining,
    Gone,
}

/// A change of one worker.
#[derive(Clone, Debug)]
struct Change {
    id: u32,
    address: SocketAddr,
    state: WorkerState,
    started_at_ms: u64,
}

/// The discovery service.
#[derive(Debug)]
pub(crate) struct Discovery {
    pub(crate) switches: DiscoverySwitches,
    /// Both addresses for each scheduler: each has its own, which tells whose watch it is.
    addresses: Vec<[SocketAddr; ADDRESSES]>,
    /// Watches of each scheduler, which end some time after a move.
    followed_by: Vec<AtomicUsize>,
    /// Which address serves.
    active: AtomicUsize,
    /// The n-th change is the event of number n + 1.
    changes: Mutex<Vec<Change>>,
}

impl Discovery {
    /// Listens at all addresses until the runtime ends.
    pub(crate) async fn listen(schedulers: usize) -> Result<Arc<Discovery>> {
        let mut listeners = Vec::new();
        let mut addresses = Vec::new();
        for scheduler in 0..schedulers {
            let mut own = Vec::new();
            for place in 0..ADDRESSES {
                let listener = TcpListener::bind("127.0.0.1:0").await?;
                own.push(listener.local_addr()?);
                listeners.push((Place { scheduler, place }, listener));
            }
            addresses.push([own[0], own[1]]);
        }
        let discovery = Arc::new(Discovery {
            switches: DiscoverySwitches::default(),
            addresses,
            followed_by: (0..schedulers).map(|_| AtomicUsize::new(0)).collect(),
            active: AtomicUsize::new(0),
            changes: Mutex::new(Vec::new()),
        });
        for (place, listener) in listeners {
            tokio::spawn(accept(Arc::clone(&discovery), place, listener));
        }
        Ok(discovery)
    }

    /// The address that serves a scheduler.
    pub(crate) fn address(&self, scheduler: usize) -> SocketAddr {
        self.addresses[scheduler][self.active.load(Ordering::Relaxed)]
    }

    /// Whether a scheduler follows the list at the address that serves.
    pub(crate) fn is_followed_by(&self, scheduler: usize) -> bool {
        self.followed_by[scheduler].load(Ordering::Relaxed) > 0
    }

    fn serves(&self, place: Place) -> bool {
        self.active.load(Ordering::Relaxed) == place.place
    }

    /// Moves to the other address.
    pub(crate) fn move_on(&self) {
        self.active.fetch_xor(1, Ordering::Relaxed);
    }

    /// Publishes a change of one worker. A started process counts as started now.
    pub(crate) fn publish(&self, id: u32, address: SocketAddr, state: WorkerState, is_new: bool) {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut changes = self.changes.lock().expect("no task panics here");
        let started_before = changes.iter().rev().find(|change| change.id == id);
        let started_at_ms = match started_before {
            Some(change) => change.started_at_ms,
            None if is_new => since_epoch.as_millis() as u64,
            None => 0,
        };
        changes.push(Change {
            id,
            address,
            state,
            started_at_ms,
        });
    }

    /// All events so far, as a configuration file holds them.
    pub(crate) fn known(&self) -> Value {
        let changes = self.changes.lock().expect("no task panics here");
        let batch = changes.iter().zip(1..).map(|(change, offset)| {
            json!({"offset": offset, "topology": {"rev": offset, "all": false, "targets": [target(change)]}})
        });
        let batch: Vec<Value> = batch.collect();
        json!({"offset": batch.len(), "batch": batch})
    }

    fn changes_after(&self, offset: usize) -> Vec<Change> {
        let changes = self.changes.lock().expect("no task panics here");
        changes.get(offset..).unwrap_or_default().to_vec()
    }
}

/// An address of the service: whose it is, and which of the two.
#[derive(Clone, Copy, Debug)]
struct Place {
    scheduler: usize,
    place: usize,
}

async fn accept(discovery: Arc<Discovery>, place: Place, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        if discovery.serves(place) && !discovery.switches.down.is_on() {
            let discovery = Arc::clone(&discovery);
            tokio::spawn(async move {
                let followed_by = &discovery.followed_by[place.scheduler];
                followed_by.fetch_add(1, Ordering::Relaxed);
                watch(&discovery, place, stream).await;
                followed_by.fetch_sub(1, Ordering::Relaxed);
            });
        }
    }
}

/// Serves one watch until a fault, a move or its scheduler ends it.
async fn watch(discovery: &Discovery, place: Place, mut stream: TcpStream) {
    let mut offset = [0; 8];
    if stream.read_exact(&mut offset).await.is_err() {
        return;
    }
    let mut offset = u64::from_be_bytes(offset) as usize;
    let mut quiet = Duration::ZERO;
    let mut at_old_address = Duration::ZERO;
    while !discovery.switches.down.is_on() && at_old_address < OLD_ADDRESS_LINGER {
        let is_active = discovery.serves(place);
        let is_silent = discovery.switches.silent.is_on() || !is_active;
        let changes = if is_silent {
            Vec::new()
        } else {
            discovery.changes_after(offset)
        };
        for change in changes {
            offset += 1;
            quiet = Duration::ZERO;
            if stream
                .write_all(&change_frame(offset as u64, &change))
                .await
                .is_err()
            {
                return;
            }
        }
        if quiet >= HEARTBEAT_INTERVAL && !is_silent {
            quiet = Duration::ZERO;
            if stream.write_all(&heartbeat_frame(offset as u64)).await.is_err() {
                return;
            }
        }
        if !is_active {
            at_old_address += POLL_INTERVAL;
        }
        quiet += POLL_INTERVAL;
        // A scheduler that has left shows as the end of the input.
        match timeout(POLL_INTERVAL, stream.read(&mut [0])).await {
            Ok(Ok(0) | Err(_)) => return,
            _ => sleep(Duration::from_millis(1)).await,
        }
    }
}

fn change_frame(number: u64, change: &Change) -> Vec<u8> {
    let SocketAddr::V4(address) = change.address else {
        return Vec::new();
    };
    let mut record = change.id.to_be_bytes().to_vec();
    record.extend(address.ip().octets());
    record.extend(address.port().to_be_bytes());
    record.push(change.state as u8);
    record.extend([0, 0]);
    record.extend(0u16.to_be_bytes());
    record.extend(1000u32.to_be_bytes());
    record.extend(change.started_at_ms.to_be_bytes());
    frame(number, KIND_CHANGES, &record)
}

fn heartbeat_frame(number: u64) -> Vec<u8> {
    frame(number, 0, &[])
}

fn frame(number: u64, kind: u8, records: &[u8]) -> Vec<u8> {
    let length = 9 + records.len() as u32;
    let mut bytes = length.to_be_bytes().to_vec();
    bytes.extend(number.to_be_bytes());
    bytes.push(kind);
    bytes.extend(records);
    bytes
}

fn target(change: &Change) -> Value {
    let state = match change.state {
        WorkerState::Ready => "SERVING",
        WorkerState::Draining => "DRAINING",
        WorkerState::Gone => "DELETED",
    };
    json!({
        "uid": format!("s-{:08x}", change.id), "endpoint": change.address.to_string(), "az": "a", "model": "std",
        "pod_group": 0, "state": state, "capacity_hint": 1, "boot_ms": change.started_at_ms,
    })
}
