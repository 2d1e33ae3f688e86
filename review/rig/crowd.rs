//! Case: bad clients send requests without an id and with many fields, at full speed.

use crate::agent::{Agent, Answer};
use crate::bus::Bus;
use crate::client::{count_lost, usual_clients};
use crate::json::Json;
use crate::platform::{Configuration, Scheduler, free_address};
use crate::record::Record;
use crate::{Verdict, wire};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

/// The limit on descriptors. Clients hold at most a third of it.
const SOCKETS: u64 = 1024;
const BAD_CONNECTIONS: usize = 150;
/// The threads that serve the bad connections, so that the scheduler has a core of its own.
const BAD_THREADS: usize = 3;
/// The number of fields in a frame is one byte.
const FIELDS: u32 = 255;
const SECONDS: u64 = 18;

pub fn run(record: &Record, folder: &Path, trouble: bool) -> Verdict {
    let agents: Vec<Agent> = (1..=10).map(|id| start_agent(record, id)).collect();
    let bus = Bus::start(record, &agents);
    let configuration = Configuration {
        bus: bus.address,
        memory_mb: 192,
        sockets: SOCKETS,
        settings: crate::settings("\"retryable\"", "\"load\""),
        operator: None,
    };
    let Some(scheduler) = Scheduler::start(record, folder.join("n0"), free_address(), &configuration) else {
        return Verdict::CouldNotRun("the scheduler did not become ready");
    };
    let scheduler = Arc::new(scheduler);
    let stop = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(AtomicU64::new(0));
    let (trouble_record, trouble_stop, trouble_sent, address) = (
        record.clone(),
        Arc::clone(&stop),
        Arc::clone(&sent),
        scheduler.listen,
    );
    if trouble {
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(3));
            trouble_record.line("bad clients: begin");
            for _ in 0..BAD_THREADS {
                let (stop, sent) = (Arc::clone(&trouble_stop), Arc::clone(&trouble_sent));
                thread::spawn(move || send_at_full_speed(address, &stop, &sent));
            }
        });
    }
    let done = usual_clients(record, &scheduler, SECONDS, function);
    stop.store(true, Ordering::Relaxed);
    let lost = count_lost(record, &done);
    record.verdict(&format!("bad clients: {} requests", sent.load(Ordering::Relaxed)));
    let used = scheduler.processor_seconds().unwrap_or_default();
    record.verdict(&format!(
        "scheduler: {used:.1} s of processor time in {:.1} s",
        record.now()
    ));
    if lost > 0 {
        return Verdict::Broken(format!("{lost} requests were never answered"));
    }
    Verdict::Held
}

fn start_agent(record: &Record, id: u32) -> Agent {
    let run = Arc::new(|command: &Json| {
        let body = wire::from_base64(command.get("content").text());
        Answer {
            verb: "200",
            body,
            after: Duration::from_millis(20),
        }
    });
    Agent::start(record, id, false, |_| true, run)
}

fn function() -> String {
    format!("7f3a9c21{:08x}", wire::random() % 20)
}

/// Opens a share of the bad connections, and keeps each of them full until `stop`.
fn send_at_full_speed(address: SocketAddr, stop: &AtomicBool, sent: &AtomicU64) {
    let connections = (0..BAD_CONNECTIONS / BAD_THREADS).filter_map(|_| BadConnection::open(address));
    let mut connections: Vec<BadConnection> = connections.collect();
    let mut buffer = vec![0; 1 << 16];
    while !stop.load(Ordering::Relaxed) {
        let mut is_idle = true;
        for connection in &mut connections {
            is_idle &= !connection.exchange(&mut buffer, sent);
        }
        if is_idle {
            thread::sleep(Duration::from_millis(1));
        }
    }
}

/// Requests that are sent in one go; their streams are new each time.
const REQUESTS: u32 = 50;

/// A connection on which each request has no id, and as many fields as a frame can have.
struct BadConnection {
    socket: TcpStream,
    requests: Vec<u8>,
    frame_bytes: usize,
    written: usize,
    last_stream: u32,
}

impl BadConnection {
    fn open(address: SocketAddr) -> Option<BadConnection> {
        let socket = TcpStream::connect(address).ok()?;
        socket.set_nonblocking(true).ok()?;
        let names: Vec<String> = (0..FIELDS).map(|number| format!("{number:02x}")).collect();
        let pairs: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "")).collect();
        let frame = wire::frame(wire::REQUEST, 0, &wire::fields(&pairs));
        let mut connection = BadConnection {
            socket,
            requests: frame.repeat(REQUESTS as usize),
            frame_bytes: frame.len(),
            written: 0,
            last_stream: 0,
        };
        connection.number_requests();
        Some(connection)
    }

    /// Gives each request the next stream.
    fn number_requests(&mut self) {
        for frame in self.requests.chunks_mut(self.frame_bytes) {
            self.last_stream += 1;
            frame[5..9].copy_from_slice(&self.last_stream.to_be_bytes());
        }
        self.written = 0;
    }

    /// Reads and writes what the socket allows; returns whether that was anything.
    fn exchange(&mut self, buffer: &mut [u8], sent: &AtomicU64) -> bool {
        let has_read = self.socket.read(buffer).is_ok_and(|count| count > 0);
        let written = self.socket.write(&self.requests[self.written..]).unwrap_or(0);
        self.written += written;
        if self.written == self.requests.len() {
            sent.fetch_add(u64::from(REQUESTS), Ordering::Relaxed);
            self.number_requests();
        }
        has_read || written > 0
    }
}
