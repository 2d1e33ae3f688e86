//! Deserialized form of the platform's file. Only this module uses the key names of the file.
//!
//! The `expecting` attributes keep the texts of type errors independent of the type names. Unknown keys are
//! ignored.

use crate::config::worker::default_weight;
use serde::Deserialize;
use std::net::SocketAddr;

#[derive(Deserialize)]
#[serde(expecting = "struct Text")]
pub(super) struct SchedulerDocument {
    #[serde(default)]
    pub(super) name: String,
    pub(super) listen: SocketAddr,
    /// Seed of the random number generator, as hexadecimal digits.
    #[serde(default)]
    pub(super) seed: String,
    #[serde(default)]
    pub(super) limits: LimitsDocument,
    #[serde(rename = "bus")]
    pub(super) discovery_service: Option<SocketAddr>,
    #[serde(default)]
    pub(super) known: KnownDocument,
    pub(super) settings: serde_json::Value,
}

#[derive(Deserialize, Default)]
#[serde(expecting = "struct Limits")]
pub(super) struct LimitsDocument {
    #[serde(rename = "sockets")]
    pub(super) max_descriptors: Option<usize>,
    pub(super) memory_mb: Option<f64>,
}

#[derive(Deserialize, Default)]
#[serde(expecting = "struct Known")]
pub(super) struct KnownDocument {
    #[serde(default, rename = "batch")]
    pub(super) events: Vec<EventDocument>,
}

#[derive(Deserialize)]
#[serde(expecting = "struct KnownEvent")]
pub(super) struct EventDocument {
    pub(super) offset: u64,
    #[serde(rename = "topology")]
    pub(super) endpoint_list: EndpointListDocument,
}

#[derive(Deserialize)]
#[serde(expecting = "struct Topology")]
pub(super) struct EndpointListDocument {
    /// Whether the event is a snapshot of the list and not a delta.
    #[serde(rename = "all")]
    pub(super) is_snapshot: bool,
    #[serde(default, rename = "targets")]
    pub(super) endpoints: Vec<EndpointDocument>,
}

#[derive(Deserialize)]
#[serde(expecting = "struct Target")]
pub(super) struct EndpointDocument {
    #[serde(rename = "uid")]
    pub(super) worker: String,
    #[serde(rename = "endpoint")]
    pub(super) address: SocketAddr,
    #[serde(rename = "az")]
    pub(super) zone: String,
    #[serde(rename = "model")]
    pub(super) kind: String,
    #[serde(default, rename = "pod_group")]
    pub(super) cell: u16,
    pub(super) state: String,
    #[serde(default = "default_weight", rename = "capacity_hint")]
    pub(super) weight: f64,
    /// Unix time in milliseconds at which the worker's process started; zero if unknown.
    #[serde(default, rename = "boot_ms")]
    pub(super) started_at_unix_ms: u64,
}
