//! Watches: the connections on which schedulers receive the events of the endpoint list.

use super::{AddressId, Discovery, events};
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// The interval between heartbeats on a watch without new events.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// How often a watch polls for new events and checks the fault switches.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Minimum interval between two polls. Data from the scheduler ends the wait for the next poll early.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// How long a watch stays open after the service has switched away from the address of the watch.
const FORMER_ADDRESS_CLOSE_DELAY: Duration = Duration::from_millis(1_500);

/// Serves a connection, or closes it at once if the service is down or the address is not the active one.
pub(super) async fn serve(discovery: Arc<Discovery>, address: AddressId, stream: TcpStream) {
    if !discovery.is_active(address) || discovery.switches.down.is_on() {
        return;
    }
    let watch_count = &discovery.watch_counts[address.scheduler];
    watch_count.fetch_add(1, Ordering::Relaxed);
    // An error only means that the scheduler has closed the connection.
    let _ = serve_watch(&discovery, address, stream).await;
    watch_count.fetch_sub(1, Ordering::Relaxed);
}

/// Sends events and heartbeats until a fault, a switch to the other address, or the scheduler ends the watch.
async fn serve_watch(discovery: &Discovery, address: AddressId, mut stream: TcpStream) -> io::Result<()> {
    let mut last_event = stream.read_u64().await?;
    // A new watch that has no events to send starts with a heartbeat.
    let mut time_without_event = HEARTBEAT_INTERVAL;
    let mut time_at_former_address = Duration::ZERO;
    while !discovery.switches.down.is_on() && time_at_former_address < FORMER_ADDRESS_CLOSE_DELAY {
        let is_active = discovery.is_active(address);
        if is_active && !discovery.switches.black_hole.is_on() {
            for event in discovery.events_after(last_event as usize) {
                last_event += 1;
                time_without_event = Duration::ZERO;
                stream.write_all(&events::event_frame(last_event, &event)).await?;
            }
            if time_without_event >= HEARTBEAT_INTERVAL {
                time_without_event = Duration::ZERO;
                stream.write_all(&events::heartbeat_frame(last_event)).await?;
            }
        }
        if !is_active {
            time_at_former_address += POLL_INTERVAL;
        }
        time_without_event += POLL_INTERVAL;
        wait_for_next_poll(&mut stream).await?;
    }
    Ok(())
}

/// Waits for the next poll.
///
/// Returns an error if the scheduler has closed the watch.
async fn wait_for_next_poll(stream: &mut TcpStream) -> io::Result<()> {
    match timeout(POLL_INTERVAL, stream.read(&mut [0])).await {
        Ok(Ok(0)) => return Err(io::ErrorKind::UnexpectedEof.into()),
        Ok(Err(error)) => return Err(error),
        Ok(Ok(_)) | Err(_) => {}
    }
    sleep(MIN_POLL_INTERVAL).await;
    Ok(())
}
