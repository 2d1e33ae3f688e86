//! Stand-in clients, which send requests and read responses. Their switches make them misbehave.

mod connection;
mod connection_state;
mod response_reader;

use super::scheduler::Scheduler;
use super::switches::ClientSwitches;
use crate::recorder::Recorder;
use crate::request::{ConnectionId, RequestId};
use connection::ClientConnection;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Delay before the next attempt to connect if a scheduler is not reachable or not in rotation.
const RECONNECT_DELAY: Duration = Duration::from_millis(30);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Percentage of requests that have a large body.
const LARGE_BODIES_PERCENT: u64 = 5;
const LARGE_BODY_BYTES: usize = 16 << 10;

/// The shared state of all clients of a run.
#[derive(Debug)]
pub(crate) struct Clients {
    pub(crate) switches: ClientSwitches,
    recorder: Arc<Recorder>,
    /// The upper bound of the timeouts of requests.
    longest_deadline: Duration,
    next_request: AtomicU64,
    next_connection: AtomicU64,
    is_stopped: AtomicBool,
}

impl Clients {
    pub(super) fn new(recorder: &Arc<Recorder>, longest_deadline: Duration) -> Clients {
        Clients {
            switches: ClientSwitches::default(),
            recorder: Arc::clone(recorder),
            longest_deadline,
            next_request: AtomicU64::new(1),
            next_connection: AtomicU64::new(1),
            is_stopped: AtomicBool::new(false),
        }
    }

    /// Tells all clients to send no further requests.
    pub(super) fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }

    fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Relaxed)
    }

    fn next_request(&self) -> RequestId {
        RequestId(self.next_request.fetch_add(1, Ordering::Relaxed))
    }

    fn next_connection(&self) -> ConnectionId {
        ConnectionId(self.next_connection.fetch_add(1, Ordering::Relaxed))
    }
}

/// Sends requests to a scheduler, on one connection at a time, until `ends_at` has passed or the clients are
/// stopped.
pub(super) async fn run(clients: Arc<Clients>, scheduler: Arc<Scheduler>, ends_at: Option<Instant>) {
    while !clients.is_stopped() && !has_passed(ends_at) {
        let Some(incarnation) = scheduler.incarnation_in_rotation() else {
            sleep(RECONNECT_DELAY).await;
            continue;
        };
        let connect = TcpStream::connect(scheduler.address);
        let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, connect).await else {
            sleep(RECONNECT_DELAY).await;
            continue;
        };
        ClientConnection::start(&clients, incarnation, stream)
            .run(ends_at)
            .await;
    }
}

/// Returns whether `time` has passed. `None` stands for a time that never passes.
fn has_passed(time: Option<Instant>) -> bool {
    time.is_some_and(|time| time <= Instant::now())
}

/// Returns the body of a request, which is different for each request.
///
/// The body depends only on the request id, so that the reader of the response can compute the expected body.
fn request_body(request: RequestId) -> Vec<u8> {
    let mut body = request.0.to_be_bytes().to_vec();
    let hash = request.0.wrapping_mul(0x9e37_79b9) >> 8;
    if hash % 100 < LARGE_BODIES_PERCENT {
        body.resize(LARGE_BODY_BYTES, b'x');
    }
    body
}
