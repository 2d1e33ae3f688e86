//! Tests of discovery: the wire codec, the endpoint list, and the watch with its backoff and address changes.

mod codec;
mod endpoint_list;
mod queue;
mod watch;

use super::event::{EndpointRecord, WatchEvent};
use crate::model::{Endpoint, EndpointState, EndpointUpdateKind, Time, WorkerId};
use std::net::{Ipv4Addr, SocketAddr};

fn endpoint(worker: u64, state: EndpointState) -> Endpoint {
    Endpoint {
        worker: WorkerId(worker),
        state,
        weight: 1.0,
        ..Endpoint::default()
    }
}

fn started_endpoint(worker: u64, started_at: u64) -> Endpoint {
    Endpoint {
        started_at: Some(Time(started_at)),
        ..endpoint(worker, EndpointState::Ready)
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

fn record(endpoint: Endpoint, port: u16) -> EndpointRecord {
    EndpointRecord {
        endpoint,
        address: address(port),
    }
}

fn snapshot(offset: u64, endpoints: Vec<EndpointRecord>) -> WatchEvent {
    WatchEvent {
        offset,
        kind: EndpointUpdateKind::Snapshot,
        endpoints,
    }
}

fn delta(offset: u64, endpoints: Vec<EndpointRecord>) -> WatchEvent {
    WatchEvent {
        offset,
        kind: EndpointUpdateKind::Delta,
        endpoints,
    }
}
