//! A TCP proxy between the schedulers and one worker, which injects network faults.

use super::listener;
use super::switches::WorkerSwitches;
use super::worker::Worker;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Size of the read buffer, in bytes.
const BUFFER_BYTES: usize = 16 << 10;
/// Exclusive upper bound of the random delay of one buffer, in milliseconds.
const MAX_DELAY_MS: u64 = 60;
/// Maximum number of bytes per write while the fault `fragmentation` is on.
const MAX_FRAGMENT_BYTES: usize = 40;
/// Percentage of buffers that are dropped, together with their connection, while the fault `resets` is on.
const RESETS_PERCENT: u8 = 20;

/// Listens on a free address for the worker, and forwards connections to `upstream` until the runtime shuts
/// down.
///
/// Returns the address.
pub(super) async fn listen(worker: &Arc<Worker>, upstream: SocketAddr) -> io::Result<SocketAddr> {
    let (listener, address) = listener::bind().await?;
    let worker = Arc::clone(worker);
    listener::serve(listener, move |stream| {
        forward(Arc::clone(&worker), stream, upstream)
    });
    Ok(address)
}

/// Forwards bytes in both directions until either side closes the connection, a fault resets it, or the
/// worker's process exits.
async fn forward(worker: Arc<Worker>, stream: TcpStream, upstream: SocketAddr) {
    if worker.is_down() {
        return;
    }
    let Ok(upstream) = TcpStream::connect(upstream).await else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    let (scheduler_input, scheduler_output) = stream.into_split();
    let (worker_input, worker_output) = upstream.into_split();
    let switches = &worker.switches;
    tokio::select! {
        () = copy(switches, scheduler_input, worker_output) => {}
        () = copy(switches, worker_input, scheduler_output) => {}
        () = switches.wait_until_down() => {}
    }
}

/// Copies bytes in one direction until either side closes the connection or a fault resets it.
async fn copy(
    switches: &WorkerSwitches,
    mut input: impl AsyncRead + Unpin,
    mut output: impl AsyncWrite + Unpin,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        switches.stall.wait_until_off().await;
        let Ok(count @ 1..) = input.read(&mut buffer).await else {
            return;
        };
        switches.black_hole.wait_until_off().await;
        if switches.resets.is_on() && fastrand::u8(..100) < RESETS_PERCENT {
            return;
        }
        if switches.delay.is_on() {
            sleep(Duration::from_millis(fastrand::u64(..MAX_DELAY_MS))).await;
        }
        if write(switches, &buffer[..count], &mut output).await.is_err() {
            return;
        }
    }
}

/// Writes all bytes, a few at a time while the fault `fragmentation` is on.
async fn write(
    switches: &WorkerSwitches,
    mut bytes: &[u8],
    output: &mut (impl AsyncWrite + Unpin),
) -> io::Result<()> {
    while !bytes.is_empty() {
        let count = if switches.fragmentation.is_on() {
            tokio::task::yield_now().await;
            bytes.len().min(fastrand::usize(1..=MAX_FRAGMENT_BYTES))
        } else {
            bytes.len()
        };
        output.write_all(&bytes[..count]).await?;
        bytes = &bytes[count..];
    }
    Ok(())
}
