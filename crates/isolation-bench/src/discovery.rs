//! A stand-in discovery service, which sends a heartbeat each second, or whole lists without an end.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Time between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two looks at whether lists are to be sent.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Kind of a frame that holds the whole list.
const SNAPSHOT: u8 = 1;
/// Kind of a heartbeat.
const HEARTBEAT: u8 = 0;

/// Starts a discovery service that lists `workers`. While `floods` is set, it sends the list at full speed.
pub(crate) fn start(workers: Vec<SocketAddr>, floods: Arc<AtomicBool>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (workers, floods) = (workers.clone(), Arc::clone(&floods));
            // The watch has ended if the connection has.
            thread::spawn(move || drop(serve(stream, &workers, &floods)));
        }
    });
    Ok(address)
}

fn serve(mut stream: TcpStream, workers: &[SocketAddr], floods: &AtomicBool) -> io::Result<()> {
    let mut last_offset = [0; 8];
    stream.read_exact(&mut last_offset)?;
    let mut offset = u64::from_be_bytes(last_offset);
    if offset == 0 {
        offset = 1;
        stream.write_all(&frame(offset, SNAPSHOT, &list(workers)))?;
    }
    let mut next_heartbeat = Instant::now();
    loop {
        if Instant::now() >= next_heartbeat {
            stream.write_all(&frame(offset, HEARTBEAT, &[]))?;
            next_heartbeat = Instant::now() + HEARTBEAT_INTERVAL;
        }
        if floods.load(Ordering::Relaxed) {
            offset += 1;
            stream.write_all(&frame(offset, SNAPSHOT, &list(workers)))?;
        } else {
            thread::sleep(POLL_INTERVAL);
        }
    }
}

fn frame(offset: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut bytes = (9 + payload.len() as u32).to_be_bytes().to_vec();
    bytes.extend(offset.to_be_bytes());
    bytes.push(kind);
    bytes.extend(payload);
    bytes
}

/// Encodes the records of all workers, ready and with weight 1.
fn list(workers: &[SocketAddr]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for (index, address) in workers.iter().enumerate() {
        let host = match address {
            SocketAddr::V4(address) => *address,
            SocketAddr::V6(_) => SocketAddrV4::new(Ipv4Addr::LOCALHOST, address.port()),
        };
        bytes.extend((index as u32 + 1).to_be_bytes());
        bytes.extend(host.ip().octets());
        bytes.extend(host.port().to_be_bytes());
        bytes.extend([0, 0, 0]);
        bytes.extend(0u16.to_be_bytes());
        bytes.extend(1_000u32.to_be_bytes());
        bytes.extend(0u64.to_be_bytes());
    }
    bytes
}
