//! The operator's TOML file, which the option `--operator` names: the JSON-RPC frontend, JSON-RPC workers of
//! this host, and VRRP. `deploy/jsonrpc.toml` shows its form.

mod convert;
mod document;

use super::error::{ConfigDocument, ConfigError, ConfigProblem};
use crate::model::{Endpoint, EndpointSource, Site, WorkerId};
use document::OperatorDocument;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

/// What the operator of a host has set up beside the platform.
#[derive(Clone, Debug, Default)]
pub struct OperatorConfig {
    /// The JSON-RPC frontend; off where absent.
    pub jsonrpc: Option<JsonRpcConfig>,
    /// Workers on Unix sockets of this host that speak JSON-RPC.
    pub jsonrpc_workers: Vec<JsonRpcWorkerConfig>,
    /// The election of the scheduler that accepts new requests on the JSON-RPC frontend; without it, this one
    /// does.
    pub vrrp: Option<VrrpConfig>,
}

/// The JSON-RPC frontend.
#[derive(Clone, Debug)]
pub struct JsonRpcConfig {
    /// The Unix socket on which clients connect.
    pub socket: PathBuf,
    /// The socket file's permission bits, which say who may connect: up to `0o777`.
    pub mode: u32,
    /// Maximum number of connections at a time.
    pub max_clients: usize,
    /// Maximum length of a line, in bytes: 1,024 to 1,048,576.
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
    /// Its size relative to other workers.
    pub weight: f64,
}

/// The virtual router that this scheduler belongs to (RFC 9568).
#[derive(Clone, Debug, PartialEq)]
pub struct VrrpConfig {
    /// Virtual Router Identifier (VRID): 1 to 255.
    pub virtual_router_id: u8,
    /// This scheduler's priority: 1 to 254, or 255 for the owner of the address.
    pub priority: u8,
    /// `Advertisement_Interval` in centiseconds: 1 to 4,095.
    pub interval_centiseconds: u16,
    /// `Preempt_Mode`: whether it takes over from an active scheduler of lower priority.
    pub preempt: bool,
    /// The loopback address on which this scheduler receives advertisements.
    pub bind: SocketAddr,
    /// The loopback addresses on which the other schedulers do.
    pub peers: Vec<SocketAddr>,
    /// The virtual router's address, which advertisements carry.
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
            source: EndpointSource::Configuration,
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

/// Parses an operator's file.
///
/// # Errors
///
/// The text is not TOML, a required key is missing, a key is unknown, or a value is outside its range.
pub fn parse_operator_config(toml: &str) -> Result<OperatorConfig, ConfigError> {
    parse(toml).map_err(|problem| problem.in_document(ConfigDocument::OperatorFile))
}

fn parse(toml: &str) -> Result<OperatorConfig, ConfigProblem> {
    let document: OperatorDocument = toml::from_str(toml).map_err(Box::new)?;
    document.try_into()
}
