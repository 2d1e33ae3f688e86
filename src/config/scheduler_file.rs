//! The platform's JSON file, which `GW_CONFIG` names (page DEPLOY).

use super::error::{ConfigDocument, ConfigError, ConfigProblem};
use super::{parse_site, parse_worker_id};
use crate::discovery::{EndpointRecord, WatchEvent, started_at};
use crate::model::{CellId, Endpoint, EndpointState, EndpointUpdateKind, Site};
use serde::Deserialize;
use std::net::SocketAddr;

/// Descriptors that may be held where the file gives no limit.
const DEFAULT_MAX_DESCRIPTORS: usize = 1024;
/// Memory that may be taken where the file gives no limit, in MB.
const DEFAULT_MEMORY_MB: usize = 192;
/// Least memory limit that is taken from the file, in MB; a smaller one counts as this.
const MIN_MEMORY_MB: f64 = 1.0;
/// Greatest memory limit that is taken from the file, in MB; a greater one counts as this.
const MAX_MEMORY_MB: f64 = 1e6;
/// Weight of a worker that is listed without one.
pub(super) const DEFAULT_WEIGHT: f64 = 1.0;

/// What the platform tells a scheduler at its start.
#[derive(Clone, Debug)]
pub struct SchedulerConfig {
    /// The scheduler's name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Seed of random numbers; 0 where the file has none, or one that is not hexadecimal or above 64 bits.
    pub seed: u64,
    /// Descriptors that may be held.
    pub max_descriptors: usize,
    /// Memory that may be taken, in MB.
    pub memory_mb: usize,
    /// The discovery service, which publishes the endpoint list; absent where there is none.
    pub discovery_service: Option<SocketAddr>,
    /// The watch events up to now, by their offsets.
    pub known_events: Vec<WatchEvent>,
    /// The site.
    pub site: Site,
}

/// Reads the platform's file.
///
/// # Errors
///
/// What cannot be used, in the file itself or in the settings that it contains.
pub fn parse_scheduler_config(json: &[u8]) -> Result<SchedulerConfig, ConfigError> {
    let document: SchedulerDocument = serde_json::from_slice(json).map_err(|error| invalid(error.into()))?;
    let site = parse_site(document.settings.to_string().as_bytes())?;
    let known_events = parse_known_events(&document.known, &site).map_err(invalid)?;
    Ok(SchedulerConfig {
        name: document.name,
        listen: document.listen,
        seed: u64::from_str_radix(&document.seed, 16).unwrap_or_default(),
        max_descriptors: document.limits.max_descriptors.unwrap_or(DEFAULT_MAX_DESCRIPTORS),
        memory_mb: document
            .limits
            .memory_mb
            .map_or(DEFAULT_MEMORY_MB, whole_megabytes),
        discovery_service: document.discovery_service,
        known_events,
        site,
    })
}

fn invalid(problem: ConfigProblem) -> ConfigError {
    problem.within(ConfigDocument::SchedulerFile)
}

fn whole_megabytes(megabytes: f64) -> usize {
    megabytes.clamp(MIN_MEMORY_MB, MAX_MEMORY_MB) as usize
}

fn parse_known_events(known: &KnownDocument, site: &Site) -> Result<Vec<WatchEvent>, ConfigProblem> {
    let events = known.events.iter().map(|event| parse_event(event, site));
    let mut events: Vec<WatchEvent> = events.collect::<Result<_, _>>()?;
    events.sort_by_key(|event| event.offset);
    Ok(events)
}

fn parse_event(event: &EventDocument, site: &Site) -> Result<WatchEvent, ConfigProblem> {
    let list = &event.endpoint_list;
    let endpoints = list
        .endpoints
        .iter()
        .map(|endpoint| parse_endpoint(endpoint, site));
    Ok(WatchEvent {
        offset: event.offset,
        kind: if list.is_full {
            EndpointUpdateKind::Snapshot
        } else {
            EndpointUpdateKind::Delta
        },
        endpoints: endpoints.collect::<Result<_, _>>()?,
    })
}

fn parse_endpoint(document: &EndpointDocument, site: &Site) -> Result<EndpointRecord, ConfigProblem> {
    let worker = parse_worker_id(&document.worker).ok_or_else(|| unknown_value("uid", &document.worker))?;
    let endpoint = Endpoint {
        worker,
        zone: site.zone_id(&document.zone),
        cell: CellId(document.cell),
        state: parse_state(&document.state)?,
        weight: document.weight,
        started_at: started_at(document.started_at_unix_ms),
        kind: site.kind_id(&document.kind),
    };
    Ok(EndpointRecord {
        endpoint,
        address: document.address,
    })
}

fn parse_state(word: &str) -> Result<EndpointState, ConfigProblem> {
    match word {
        "SERVING" => Ok(EndpointState::Ready),
        "DRAINING" => Ok(EndpointState::Draining),
        "DELETED" => Ok(EndpointState::Gone),
        other => Err(unknown_value("state", other)),
    }
}

fn unknown_value(key: &str, value: &str) -> ConfigProblem {
    ConfigProblem::UnknownValue {
        key: format!("known: {key}"),
        value: value.to_owned(),
    }
}

// The deserialized form. `expecting` keeps the texts of type errors independent of the names of these types.

#[derive(Deserialize)]
#[serde(expecting = "struct Text")]
struct SchedulerDocument {
    #[serde(default)]
    name: String,
    listen: SocketAddr,
    /// Hexadecimal digits.
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: LimitsDocument,
    #[serde(rename = "bus")]
    discovery_service: Option<SocketAddr>,
    #[serde(default)]
    known: KnownDocument,
    settings: serde_json::Value,
}

#[derive(Deserialize, Default)]
#[serde(expecting = "struct Limits")]
struct LimitsDocument {
    #[serde(rename = "sockets")]
    max_descriptors: Option<usize>,
    memory_mb: Option<f64>,
}

#[derive(Deserialize, Default)]
#[serde(expecting = "struct Known")]
struct KnownDocument {
    #[serde(default, rename = "batch")]
    events: Vec<EventDocument>,
}

#[derive(Deserialize)]
#[serde(expecting = "struct KnownEvent")]
struct EventDocument {
    offset: u64,
    #[serde(rename = "topology")]
    endpoint_list: EndpointListDocument,
}

#[derive(Deserialize)]
#[serde(expecting = "struct Topology")]
struct EndpointListDocument {
    #[serde(rename = "all")]
    is_full: bool,
    #[serde(default, rename = "targets")]
    endpoints: Vec<EndpointDocument>,
}

#[derive(Deserialize)]
#[serde(expecting = "struct Target")]
struct EndpointDocument {
    #[serde(rename = "uid")]
    worker: String,
    #[serde(rename = "endpoint")]
    address: SocketAddr,
    #[serde(rename = "az")]
    zone: String,
    #[serde(rename = "model")]
    kind: String,
    #[serde(default, rename = "pod_group")]
    cell: u16,
    state: String,
    #[serde(default = "default_weight", rename = "capacity_hint")]
    weight: f64,
    #[serde(default, rename = "boot_ms")]
    started_at_unix_ms: u64,
}

fn default_weight() -> f64 {
    DEFAULT_WEIGHT
}
