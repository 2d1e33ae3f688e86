//! A stand-in discovery service whose watch connections the test controls.

use super::closing_stream::ClosingStream;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// The state of a worker, with its code on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkerState {
    Ready = 0,
    Draining = 1,
    Gone = 2,
}

/// How a watch event changes the endpoint list, with its code on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EventKind {
    Snapshot = 1,
    Delta = 2,
}

/// A discovery service that sends one heartbeat on each new connection and nothing else by itself.
pub(crate) struct StandInDiscovery {
    listener: TcpListener,
}

impl StandInDiscovery {
    /// Starts a service on a port that the system chooses.
    pub(crate) fn new() -> StandInDiscovery {
        StandInDiscovery {
            listener: TcpListener::bind("127.0.0.1:0").unwrap(),
        }
    }

    /// Returns the address of the service for the configuration.
    pub(crate) fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Waits for the next watch connection, which must continue after the event with this offset.
    #[track_caller]
    pub(crate) fn accept_from(&self, offset: u64) -> WatchConnection {
        let watch = self.accept();
        assert_eq!(watch.offset, offset);
        watch
    }

    /// Waits for the next watch connection and sends it a heartbeat that announces no new event.
    pub(crate) fn accept(&self) -> WatchConnection {
        let (mut stream, _) = self.listener.accept().unwrap();
        let mut offset = [0; 8];
        stream.read_exact(&mut offset).unwrap();
        let mut watch = WatchConnection {
            stream: ClosingStream::new(stream),
            offset: u64::from_be_bytes(offset),
        };
        watch.try_send(&heartbeat_frame(watch.offset));
        watch
    }
}

/// The discovery service's end of a watch connection.
pub(crate) struct WatchConnection {
    stream: ClosingStream,
    /// The offset of the last event that the scheduler has received.
    pub(crate) offset: u64,
}

impl WatchConnection {
    /// Sends bytes, which need not form a complete frame.
    pub(crate) fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// Sends bytes and ignores errors, because the scheduler may have closed the connection.
    pub(crate) fn try_send(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes);
    }

    /// Waits for the scheduler to close or reset the connection.
    pub(crate) fn wait_for_close(&mut self) {
        assert_eq!(
            self.stream.read_uninterrupted(&mut [0; 64]).unwrap_or(0),
            0,
            "the scheduler sent data instead of closing the watch connection"
        );
    }
}

/// Encodes a watch event that changes one worker.
pub(crate) fn delta_event(offset: u64, worker_id: u32, address: SocketAddr, state: WorkerState) -> Vec<u8> {
    event_frame(
        EventKind::Delta,
        offset,
        &worker_record(worker_id, address, state),
    )
}

/// Encodes a watch event that replaces the endpoint list with one ready worker.
pub(crate) fn snapshot_event(offset: u64, worker_id: u32, address: SocketAddr) -> Vec<u8> {
    event_frame(
        EventKind::Snapshot,
        offset,
        &worker_record(worker_id, address, WorkerState::Ready),
    )
}

/// Encodes a heartbeat, which names the offset of the service's last event.
pub(crate) fn heartbeat_frame(offset: u64) -> Vec<u8> {
    [&[0, 0, 0, 9][..], &offset.to_be_bytes(), &[0]].concat()
}

fn event_frame(kind: EventKind, offset: u64, record: &[u8]) -> Vec<u8> {
    let length = 9 + record.len() as u32;
    [
        &length.to_be_bytes()[..],
        &offset.to_be_bytes(),
        &[kind as u8],
        record,
    ]
    .concat()
}

/// Encodes a worker record of 27 bytes, in which zone, kind, cell and start are 0 and the weight is 4.
fn worker_record(worker_id: u32, address: SocketAddr, state: WorkerState) -> Vec<u8> {
    let mut record = worker_id.to_be_bytes().to_vec();
    record.extend(Ipv4Addr::LOCALHOST.octets());
    record.extend(address.port().to_be_bytes());
    record.extend([state as u8, 0, 0, 0, 0]);
    record.extend(4000u32.to_be_bytes());
    record.extend(0u64.to_be_bytes());
    record
}
