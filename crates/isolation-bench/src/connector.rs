//! Clients that connect, send half a request and close, without an end.

use crate::frames::{self, CLASS};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

/// Number of clients that connect at the same time.
const THREADS: usize = 3;

/// Connects and closes until `stop` is set.
pub(crate) fn run_all(address: SocketAddr, stop: &AtomicBool) {
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    connect_once(address);
                }
            });
        }
    });
}

fn connect_once(address: SocketAddr) {
    if let Ok(mut stream) = TcpStream::connect(address) {
        let request = frames::encode_request(1, CLASS, 1, 3_000);
        let _ = stream.write_all(&request[..request.len() / 2]);
    }
}
