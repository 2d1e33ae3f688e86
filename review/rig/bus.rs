//! A stand-in for the event bus.
//!
//! It tells every later event in order, and an empty frame after each second without an event. The number in
//! an empty frame is that of the last event that was sent.

use crate::record::Record;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The states of node agents on the wire.
pub const SERVING: u8 = 0;
pub const DRAINING: u8 = 1;

/// A node agent in an event.
#[derive(Clone, Copy)]
pub struct Listed {
    pub id: u32,
    pub address: SocketAddrV4,
    pub state: u8,
}

struct Event {
    whole_list: bool,
    listed: Vec<Listed>,
}

/// The event bus at one address. Several addresses may share the events.
#[derive(Clone)]
pub struct Bus {
    pub address: SocketAddr,
    events: Arc<Mutex<Vec<Event>>>,
    /// Whether the bus tells nothing and accepts nobody.
    down: Arc<AtomicBool>,
    /// The pause before each event that a watch has missed.
    backlog_pause: Duration,
    watches: Arc<Mutex<Vec<TcpStream>>>,
    record: Record,
}

impl Bus {
    pub fn start(record: &Record) -> Bus {
        Bus::listen(record, Arc::default(), Duration::ZERO)
    }

    /// Starts the bus at another address, with the same events.
    pub fn moved(&self, backlog_pause: Duration) -> Bus {
        Bus::listen(&self.record, Arc::clone(&self.events), backlog_pause)
    }

    fn listen(record: &Record, events: Arc<Mutex<Vec<Event>>>, backlog_pause: Duration) -> Bus {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let bus = Bus {
            address: listener.local_addr().expect("a bound address"),
            events,
            down: Arc::default(),
            backlog_pause,
            watches: Arc::default(),
            record: record.clone(),
        };
        let serving = bus.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.down.load(Ordering::Relaxed) {
                    continue;
                }
                let bus = serving.clone();
                thread::spawn(move || bus.serve(stream));
            }
        });
        bus
    }

    /// Publishes an event; returns its time.
    pub fn publish(&self, whole_list: bool, listed: &[Listed]) -> f64 {
        let mut events = self.events.lock().unwrap();
        events.push(Event {
            whole_list,
            listed: listed.to_vec(),
        });
        for node in listed {
            let state = ["SERVING", "DRAINING", "DELETED"][usize::from(node.state)];
            self.record.line(&format!(
                "bus: event {} says that s-{:08x} is {state}",
                events.len(),
                node.id
            ));
        }
        self.record.now()
    }

    /// From now on tells nothing and accepts nobody. Open watches stay open.
    pub fn fall_silent(&self) {
        self.down.store(true, Ordering::Relaxed);
    }

    /// Ends the open watches.
    pub fn close_watches(&self) {
        for watch in self.watches.lock().unwrap().drain(..) {
            let _ = watch.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut number = [0; 8];
        if stream.read_exact(&mut number).is_err() {
            return;
        }
        self.watches.lock().unwrap().extend(stream.try_clone());
        let mut sent = u64::from_be_bytes(number);
        let missed = self.events.lock().unwrap().len() as u64;
        self.record.line(&format!(
            "bus: a watch asks for the events after {sent}; the last is {missed}"
        ));
        let mut last_frame = Instant::now();
        while !self.down.load(Ordering::Relaxed) {
            let next = self.next_frame(sent);
            let is_event = next.is_some();
            if is_event && sent < missed {
                thread::sleep(self.backlog_pause);
            }
            let empty = || frame(sent, 0, &[]);
            let due = last_frame.elapsed() >= Duration::from_secs(1);
            if let Some(bytes) = next.or_else(|| due.then(empty)) {
                if stream.write_all(&bytes).is_err() {
                    return;
                }
                sent += u64::from(is_event);
                if is_event {
                    self.record.line(&format!("bus: event {sent} sent"));
                }
                last_frame = Instant::now();
            }
            if !is_event {
                thread::sleep(Duration::from_millis(5));
            }
        }
    }

    fn next_frame(&self, sent: u64) -> Option<Vec<u8>> {
        let events = self.events.lock().unwrap();
        let event = events.get(sent as usize)?;
        let records: Vec<u8> = event.listed.iter().flat_map(record_bytes).collect();
        Some(frame(sent + 1, if event.whole_list { 1 } else { 2 }, &records))
    }
}

fn frame(number: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut bytes = ((payload.len() + 9) as u32).to_be_bytes().to_vec();
    bytes.extend(number.to_be_bytes());
    bytes.push(kind);
    bytes.extend(payload);
    bytes
}

fn record_bytes(listed: &Listed) -> Vec<u8> {
    let mut bytes = listed.id.to_be_bytes().to_vec();
    bytes.extend(listed.address.ip().octets());
    bytes.extend(listed.address.port().to_be_bytes());
    bytes.extend([listed.state, 0, 0]);
    bytes.extend(0u16.to_be_bytes());
    bytes.extend(1000u32.to_be_bytes());
    bytes.extend(0u64.to_be_bytes());
    bytes
}
