//! The operator's TOML file, which the option `--operator` names: the JSON-RPC frontend, JSON-RPC workers
//! of this host, and VRRP. `deploy/jsonrpc.toml` shows its form.

use super::error::{ConfigDocument, ConfigError, ConfigProblem};
use super::parse_worker_id;
use super::scheduler_file::DEFAULT_WEIGHT;
use crate::model::{Endpoint, Site, WorkerId};
use crate::vrrp::packet::MAX_INTERVAL_CENTISECONDS;
use serde::{Deserialize, Deserializer};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::RangeInclusive;
use std::path::PathBuf;

/// Mode of the socket file where the file gives none: owner and group.
const DEFAULT_SOCKET_MODE: u32 = 0o660;
/// Greatest mode of the socket file: no bits beyond the permissions.
const MAX_SOCKET_MODE: u32 = 0o777;
/// Connections of JSON-RPC clients at a time where the file gives no limit.
const DEFAULT_MAX_CLIENTS: usize = 64;
/// Longest line of a JSON-RPC client where the file gives no limit, in bytes.
const DEFAULT_MAX_LINE_BYTES: usize = 64 << 10;
/// Limits that the file may set on a line, in bytes.
const MAX_LINE_BYTES_RANGE: RangeInclusive<usize> = 1 << 10..=1 << 20;
/// Time between VRRP advertisements where the file gives none, in centiseconds.
const DEFAULT_INTERVAL_CENTISECONDS: u16 = 100;

/// What an operator has set up beside the platform.
#[derive(Clone, Debug, Default)]
pub struct OperatorConfig {
    /// The JSON-RPC frontend; off where absent.
    pub jsonrpc: Option<JsonRpcConfig>,
    /// Workers on Unix sockets of this host that speak JSON-RPC.
    pub jsonrpc_workers: Vec<JsonRpcWorkerConfig>,
    /// Which scheduler takes new requests on the JSON-RPC frontend; without it, this one does.
    pub vrrp: Option<VrrpConfig>,
}

/// The JSON-RPC frontend.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct JsonRpc")]
pub struct JsonRpcConfig {
    /// The Unix socket on which clients connect.
    pub socket: PathBuf,
    /// Who may connect: the socket file's permission bits.
    #[serde(default = "default_socket_mode", deserialize_with = "deserialize_socket_mode")]
    pub mode: u32,
    /// Most connections at a time.
    #[serde(default = "default_max_clients")]
    pub max_clients: usize,
    /// Longest line, in bytes: 1,024 to 1,048,576.
    #[serde(default = "default_max_line_bytes", rename = "max_line")]
    pub max_line_bytes: usize,
}

/// A worker on this host that speaks JSON-RPC.
#[derive(Clone, Debug, PartialEq)]
pub struct JsonRpcWorkerConfig {
    /// The worker; unlike any that the discovery service names.
    pub worker: WorkerId,
    /// The Unix socket on which it listens.
    pub socket: PathBuf,
    /// Its zone, by name.
    pub zone: String,
    /// Its machine kind, by name.
    pub kind: String,
    /// Its size against other workers.
    pub weight: f64,
}

/// The virtual router that this scheduler belongs to (RFC 9568).
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Vrrp")]
pub struct VrrpConfig {
    /// Its number, 1 to 255.
    #[serde(rename = "vrid")]
    pub virtual_router_id: u8,
    /// This scheduler's priority: 1 to 254, or 255 for the owner of the address.
    pub priority: u8,
    /// Time between advertisements, in centiseconds: 1 to 4,095.
    #[serde(default = "default_interval_centiseconds", rename = "interval_cs")]
    pub interval_centiseconds: u16,
    /// Whether it takes over from an active one of lower priority.
    #[serde(default = "default_preempt")]
    pub preempt: bool,
    /// Where this scheduler receives advertisements, on a loopback address.
    pub bind: SocketAddr,
    /// Where the other schedulers do.
    pub peers: Vec<SocketAddr>,
    /// The virtual router's address, named in advertisements.
    pub address: Ipv4Addr,
}

/// A JSON-RPC worker as an entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct JsonRpcWorkerEndpoint {
    /// Its entry.
    pub endpoint: Endpoint,
    /// The Unix socket on which it listens.
    pub socket: PathBuf,
}

/// Reads an operator's file.
///
/// # Errors
///
/// What cannot be used; unknown keys are not allowed.
pub fn parse_operator_config(toml: &str) -> Result<OperatorConfig, ConfigError> {
    parse(toml).map_err(|problem| problem.within(ConfigDocument::OperatorFile))
}

fn parse(toml: &str) -> Result<OperatorConfig, ConfigProblem> {
    let document: OperatorDocument = toml::from_str(toml).map_err(Box::new)?;
    document.jsonrpc.as_ref().map_or(Ok(()), check_jsonrpc)?;
    document.vrrp.as_ref().map_or(Ok(()), check_vrrp)?;
    let jsonrpc_workers = parse_jsonrpc_workers(document.jsonrpc_workers)?;
    Ok(OperatorConfig {
        jsonrpc: document.jsonrpc,
        jsonrpc_workers,
        vrrp: document.vrrp,
    })
}

fn check_jsonrpc(jsonrpc: &JsonRpcConfig) -> Result<(), ConfigProblem> {
    if MAX_LINE_BYTES_RANGE.contains(&jsonrpc.max_line_bytes) {
        return Ok(());
    }
    Err(ConfigProblem::OutOfRange {
        key: "jsonrpc.max_line",
        min: *MAX_LINE_BYTES_RANGE.start(),
        max: *MAX_LINE_BYTES_RANGE.end(),
    })
}

fn check_vrrp(vrrp: &VrrpConfig) -> Result<(), ConfigProblem> {
    let out_of_range = |key| Err(ConfigProblem::VirtualRouterOutOfRange { key });
    if vrrp.virtual_router_id == 0 {
        return out_of_range("vrrp.vrid");
    }
    if vrrp.priority == 0 {
        return out_of_range("vrrp.priority");
    }
    if !(1..=MAX_INTERVAL_CENTISECONDS).contains(&vrrp.interval_centiseconds) {
        return out_of_range("vrrp.interval_cs");
    }
    check_loopback("vrrp.bind", vrrp.bind)?;
    vrrp.peers
        .iter()
        .try_for_each(|peer| check_loopback("vrrp.peers", *peer))
}

fn check_loopback(key: &'static str, address: SocketAddr) -> Result<(), ConfigProblem> {
    if address.ip().is_loopback() {
        return Ok(());
    }
    Err(ConfigProblem::NotLoopback { key, address })
}

fn parse_jsonrpc_workers(
    documents: Vec<JsonRpcWorkerDocument>,
) -> Result<Vec<JsonRpcWorkerConfig>, ConfigProblem> {
    let mut seen = BTreeSet::new();
    let mut workers = Vec::with_capacity(documents.len());
    for document in documents {
        let Some(worker) = parse_worker_id(&document.id) else {
            return Err(ConfigProblem::InvalidJsonRpcWorkerId { id: document.id });
        };
        if !seen.insert(worker) {
            return Err(ConfigProblem::DuplicateJsonRpcWorkerId { id: document.id });
        }
        workers.push(JsonRpcWorkerConfig {
            worker,
            socket: document.socket,
            zone: document.zone,
            kind: document.kind,
            weight: document.weight,
        });
    }
    Ok(workers)
}

impl OperatorConfig {
    /// The JSON-RPC workers as entries of the endpoint list.
    pub fn jsonrpc_worker_endpoints(&self, site: &Site) -> Vec<JsonRpcWorkerEndpoint> {
        self.jsonrpc_workers
            .iter()
            .map(|worker| worker.endpoint(site))
            .collect()
    }
}

impl JsonRpcWorkerConfig {
    fn endpoint(&self, site: &Site) -> JsonRpcWorkerEndpoint {
        let endpoint = Endpoint {
            worker: self.worker,
            zone: site.zone_id(&self.zone),
            kind: site.kind_id(&self.kind),
            weight: self.weight,
            ..Endpoint::default()
        };
        JsonRpcWorkerEndpoint {
            endpoint,
            socket: self.socket.clone(),
        }
    }
}

// The deserialized form. `expecting`, here and above, keeps the texts of type errors independent of the
// types' names.

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default, expecting = "struct Operator")]
struct OperatorDocument {
    jsonrpc: Option<JsonRpcConfig>,
    #[serde(rename = "checkers")]
    jsonrpc_workers: Vec<JsonRpcWorkerDocument>,
    vrrp: Option<VrrpConfig>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct JsonRpcWorker")]
struct JsonRpcWorkerDocument {
    id: String,
    socket: PathBuf,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    kind: String,
    #[serde(default = "default_weight")]
    weight: f64,
}

fn default_weight() -> f64 {
    DEFAULT_WEIGHT
}

fn default_socket_mode() -> u32 {
    DEFAULT_SOCKET_MODE
}

fn default_max_clients() -> usize {
    DEFAULT_MAX_CLIENTS
}

fn default_max_line_bytes() -> usize {
    DEFAULT_MAX_LINE_BYTES
}

fn default_interval_centiseconds() -> u16 {
    DEFAULT_INTERVAL_CENTISECONDS
}

fn default_preempt() -> bool {
    true
}

/// Reads permission bits that are written as a string of octal digits.
fn deserialize_socket_mode<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u32, D::Error> {
    let digits = String::deserialize(deserializer)?;
    let mode = u32::from_str_radix(&digits, 8)
        .ok()
        .filter(|mode| *mode <= MAX_SOCKET_MODE);
    let unusable = || format!("mode '{digits}' is not octal digits up to 777");
    mode.ok_or_else(|| serde::de::Error::custom(unusable()))
}
