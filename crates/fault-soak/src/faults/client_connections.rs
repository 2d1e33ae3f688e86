//! Idle client connections, on which no request is sent.

use super::schedule::PlannedFault;
use crate::environment::Scheduler;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// The number of idle connections that a fault opens.
const IDLE_CONNECTIONS: usize = 120;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(50);

/// Opens idle connections to a scheduler and closes them when the fault ends.
pub(super) async fn open_idle(scheduler: &Scheduler, fault: &PlannedFault) {
    let mut connections = Vec::new();
    for _ in 0..IDLE_CONNECTIONS {
        let connect = TcpStream::connect(scheduler.address);
        if let Ok(Ok(connection)) = timeout(CONNECT_TIMEOUT, connect).await {
            connections.push(connection);
        }
    }
    sleep(fault.duration).await;
}
