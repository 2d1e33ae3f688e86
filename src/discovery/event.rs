//! Events of the endpoint watch, published by the discovery service or contained in the configuration file.

use crate::model::{Endpoint, EndpointUpdateKind, Span, Time};
use std::net::SocketAddr;

/// The description of a worker in a watch event.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// The worker's entry in the endpoint list.
    pub endpoint: Endpoint,
    /// The TCP address on which the worker listens.
    pub address: SocketAddr,
}

/// A numbered change of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchEvent {
    /// Sequence number of the event; the first event has number 1.
    pub offset: u64,
    /// Whether `endpoints` is the complete list or only contains changes.
    pub kind: EndpointUpdateKind,
    /// The workers that the event describes, in the order in which the service published them.
    pub endpoints: Vec<EndpointRecord>,
}

/// Converts the start time of a worker's process from a Unix time in milliseconds.
///
/// Returns `None` for zero, which means that the process started long ago.
pub fn started_at(unix_milliseconds: u64) -> Option<Time> {
    (unix_milliseconds > 0).then_some(Time(0) + Span::from_millis(unix_milliseconds))
}
