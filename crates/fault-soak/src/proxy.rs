//! The network between the schedulers and one worker: it delays, splits, stalls, resets and swallows what passes.

use crate::worker::Worker;
use anyhow::Result;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Longest delay of what passes, in milliseconds.
const MAX_DELAY_MS: u64 = 60;
/// Most bytes handed over at a time while the network splits.
const MAX_SPLIT_BYTES: usize = 40;
/// Pause between looks at a switch.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Of a hundred pieces that pass, so many end in a reset while the network resets.
const RESETS_PERCENT: u8 = 20;

/// Listens for the worker on its public address, and forwards to the worker itself until the runtime ends.
pub(crate) async fn listen(worker: &Arc<Worker>, upstream: SocketAddr) -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let worker = Arc::clone(worker);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            if worker.is_there() {
                tokio::spawn(forward(Arc::clone(&worker), stream, upstream));
            }
        }
    });
    Ok(address)
}

async fn forward(worker: Arc<Worker>, stream: TcpStream, upstream: SocketAddr) {
    let Ok(upstream) = TcpStream::connect(upstream).await else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    let (scheduler_input, scheduler_output) = stream.into_split();
    let (worker_input, worker_output) = upstream.into_split();
    tokio::select! {
        () = copy(&worker, scheduler_input, worker_output) => {}
        () = copy(&worker, worker_input, scheduler_output) => {}
        () = until_gone(&worker) => {}
    }
}

async fn until_gone(worker: &Worker) {
    while worker.is_there() {
        sleep(POLL_INTERVAL).await;
    }
}

/// Carries bytes one way until an end is closed or the network resets the connection.
async fn copy(worker: &Worker, mut input: impl AsyncRead + Unpin, mut output: impl AsyncWrite + Unpin) {
    let switches = &worker.switches;
    let mut buffer = vec![0; 16 << 10];
    loop {
        while switches.stalls.is_on() {
            sleep(POLL_INTERVAL).await;
        }
        let Ok(count @ 1..) = input.read(&mut buffer).await else {
            return;
        };
        while switches.silent.is_on() {
            sleep(POLL_INTERVAL).await;
        }
        if switches.resets.is_on() && fastrand::u8(..100) < RESETS_PERCENT {
            return;
        }
        if switches.delays.is_on() {
            sleep(Duration::from_millis(fastrand::u64(..MAX_DELAY_MS))).await;
        }
        if write(worker, &buffer[..count], &mut output).await.is_err() {
            return;
        }
    }
}

async fn write(worker: &Worker, mut bytes: &[u8], output: &mut (impl AsyncWrite + Unpin)) -> Result<()> {
    while !bytes.is_empty() {
        let count = if worker.switches.splits.is_on() {
            tokio::task::yield_now().await;
            bytes.len().min(fastrand::usize(1..=MAX_SPLIT_BYTES))
        } else {
            bytes.len()
        };
        output.write_all(&bytes[..count]).await?;
        bytes = &bytes[count..];
    }
    Ok(())
}
