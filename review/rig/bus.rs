//! A stand-in for the event bus.
//!
//! It tells one event, the whole list of node agents, and an empty frame after each second without an event.

use crate::agent::Agent;
use crate::record::Record;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The number of the only event.
const EVENT: u64 = 1;
const NOTHING_NEW: u8 = 0;
const WHOLE_LIST: u8 = 1;
/// The longest time without a frame.
const EMPTY_FRAME_INTERVAL: Duration = Duration::from_secs(1);

/// The event bus at its address.
pub struct Bus {
    pub address: SocketAddr,
}

impl Bus {
    /// Starts a bus that lists these node agents as ready.
    pub fn start(record: &Record, agents: &[Agent]) -> Bus {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let list: Arc<[u8]> = agents.iter().flat_map(record_bytes).collect();
        record.line(&format!(
            "bus: event {EVENT} lists {} node agents as SERVING",
            agents.len()
        ));
        let record = record.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (list, record) = (Arc::clone(&list), record.clone());
                thread::spawn(move || serve(stream, &list, &record));
            }
        });
        Bus { address }
    }
}

fn serve(mut stream: TcpStream, list: &[u8], record: &Record) -> Option<()> {
    let mut number = [0; 8];
    stream.read_exact(&mut number).ok()?;
    let known = u64::from_be_bytes(number);
    record.line(&format!("bus: a watch asks for the events after {known}"));
    if known < EVENT {
        stream.write_all(&frame(WHOLE_LIST, list)).ok()?;
    }
    let mut last_frame = Instant::now();
    loop {
        thread::sleep(EMPTY_FRAME_INTERVAL.saturating_sub(last_frame.elapsed()));
        stream.write_all(&frame(NOTHING_NEW, &[])).ok()?;
        last_frame = Instant::now();
    }
}

fn frame(kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut bytes = ((payload.len() + 9) as u32).to_be_bytes().to_vec();
    bytes.extend(EVENT.to_be_bytes());
    bytes.push(kind);
    bytes.extend(payload);
    bytes
}

fn record_bytes(agent: &Agent) -> Vec<u8> {
    let mut bytes = agent.id.to_be_bytes().to_vec();
    bytes.extend(agent.address.ip().octets());
    bytes.extend(agent.address.port().to_be_bytes());
    // State ready, first zone, first kind, cell 0.
    bytes.extend([0, 0, 0, 0, 0]);
    bytes.extend(1000u32.to_be_bytes());
    bytes.extend(0u64.to_be_bytes());
    bytes
}
