//! Events of the endpoint watch, as published by the discovery service or given in the configuration file.

use crate::model::{Endpoint, EndpointUpdateKind, Span, Time};
use std::net::SocketAddr;

/// A worker as one event describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// The worker's entry in the endpoint list.
    pub endpoint: Endpoint,
    /// The TCP address on which it listens.
    pub address: SocketAddr,
}

/// A numbered change of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchEvent {
    /// Its number; events count up from 1.
    pub offset: u64,
    /// Whether `endpoints` is the complete list or only what has changed.
    pub kind: EndpointUpdateKind,
    /// The workers that the event describes, in the order published.
    pub endpoints: Vec<EndpointRecord>,
}

/// The start of a worker's process, given as a Unix time in milliseconds; `None` for zero, which stands for a
/// start long ago.
pub fn started_at(unix_milliseconds: u64) -> Option<Time> {
    (unix_milliseconds > 0).then_some(Time(0) + Span::from_millis(unix_milliseconds))
}
