//! The events of the endpoint list and their encodings, in frames of a watch and in the configuration file.

use serde_json::{Value, json};
use std::net::SocketAddr;

// Frame types of a watch.
const HEARTBEAT: u8 = 0;
const DELTA: u8 = 2;
/// Number of bytes between a frame's length field and its records.
const HEADER_LENGTH: u32 = 9;
// Values of the fields that are the same for all endpoints.
const ZONE: u8 = 0;
const WORKER_KIND: u8 = 0;
const CELL: u16 = 0;
const WEIGHT_PER_MILLE: u32 = 1000;

/// The state of a worker in the endpoint list. The discriminants are the values on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkerState {
    Ready = 0,
    Draining = 1,
    Deleted = 2,
}

/// A change of one endpoint in the endpoint list.
#[derive(Clone, Debug)]
pub(super) struct EndpointEvent {
    pub(super) id: u32,
    pub(super) address: SocketAddr,
    pub(super) state: WorkerState,
    pub(super) started_at_ms: u64,
}

/// Encodes an event as a frame of a watch.
///
/// Returns no bytes for an event with an IPv6 address, since the wire format has IPv4 addresses only.
pub(super) fn event_frame(number: u64, event: &EndpointEvent) -> Vec<u8> {
    let SocketAddr::V4(address) = event.address else {
        return Vec::new();
    };
    let mut record = event.id.to_be_bytes().to_vec();
    record.extend(address.ip().octets());
    record.extend(address.port().to_be_bytes());
    record.push(event.state as u8);
    record.extend([ZONE, WORKER_KIND]);
    record.extend(CELL.to_be_bytes());
    record.extend(WEIGHT_PER_MILLE.to_be_bytes());
    record.extend(event.started_at_ms.to_be_bytes());
    frame(number, DELTA, &record)
}

/// Encodes a heartbeat frame. `number` is the number of the last event that was sent.
pub(super) fn heartbeat_frame(number: u64) -> Vec<u8> {
    frame(number, HEARTBEAT, &[])
}

fn frame(number: u64, frame_type: u8, records: &[u8]) -> Vec<u8> {
    let length = HEADER_LENGTH + records.len() as u32;
    let mut bytes = length.to_be_bytes().to_vec();
    bytes.extend(number.to_be_bytes());
    bytes.push(frame_type);
    bytes.extend(records);
    bytes
}

/// Encodes the events of the endpoint list for the configuration file.
pub(super) fn known_events(events: &[EndpointEvent]) -> Value {
    let batch: Vec<Value> = events
        .iter()
        .zip(1..)
        .map(|(event, number)| {
            let targets = [json_record(event)];
            json!({"offset": number, "topology": {"rev": number, "all": false, "targets": targets}})
        })
        .collect();
    json!({"offset": batch.len(), "batch": batch})
}

fn json_record(event: &EndpointEvent) -> Value {
    let state = match event.state {
        WorkerState::Ready => "SERVING",
        WorkerState::Draining => "DRAINING",
        WorkerState::Deleted => "DELETED",
    };
    json!({
        "uid": format!("s-{:08x}", event.id), "endpoint": event.address.to_string(), "az": "a", "model": "std",
        "pod_group": 0, "state": state, "capacity_hint": 1, "boot_ms": event.started_at_ms,
    })
}
