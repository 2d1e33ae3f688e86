//! The operator's TOML file, given by the option `--operator`: the JSON-RPC frontend, the JSON-RPC workers of
//! this host, and VRRP. `deploy/jsonrpc.toml` is an example.

mod convert;
mod document;

use super::error::{ConfigDocument, ConfigError, ConfigProblem};
use crate::model::{Endpoint, EndpointSource, Site, WorkerId};
use document::OperatorDocument;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

/// Configuration that the operator of a host adds to the platform's.
#[derive(Clone, Debug, Default)]
pub struct OperatorConfig {
    /// The JSON-RPC frontend; `None` if it is disabled.
    pub jsonrpc: Option<JsonRpcConfig>,
    /// JSON-RPC workers that listen on Unix sockets of this host.
    pub jsonrpc_workers: Vec<JsonRpcWorkerConfig>,
    /// VRRP, which elects the scheduler that accepts new requests on the JSON-RPC frontend. If `None`, this
    /// scheduler always accepts them.
    pub vrrp: Option<VrrpConfig>,
}

/// Configuration of the JSON-RPC frontend.
#[derive(Clone, Debug)]
pub struct JsonRpcConfig {
    /// Path of the Unix socket that clients connect to.
    pub socket: PathBuf,
    /// Permission bits of the socket file, which determine who may connect: at most `0o777`.
    pub mode: u32,
    /// Maximum number of concurrent connections.
    pub max_clients: usize,
    /// Maximum length of a line, in bytes: 1,024 to 1,048,576.
    pub max_line_bytes: usize,
}

/// Configuration of a JSON-RPC worker on this host.
#[derive(Clone, Debug, PartialEq)]
pub struct JsonRpcWorkerConfig {
    /// Id of the worker; must differ from every id that the discovery service publishes.
    pub worker: WorkerId,
    /// Path of the Unix socket that the worker listens on.
    pub socket: PathBuf,
    /// Name of the worker's zone.
    pub zone: String,
    /// Name of the worker's machine kind.
    pub kind: String,
    /// Weight of the worker, relative to other workers.
    pub weight: f64,
}

/// Configuration of the virtual router to which this scheduler belongs (RFC 9568).
#[derive(Clone, Debug, PartialEq)]
pub struct VrrpConfig {
    /// Virtual Router Identifier (VRID): 1 to 255.
    pub virtual_router_id: u8,
    /// This scheduler's priority: 1 to 254, or 255 for the owner of the address.
    pub priority: u8,
    /// `Advertisement_Interval` in centiseconds: 1 to 4,095.
    pub interval_centiseconds: u16,
    /// `Preempt_Mode`: whether this scheduler takes over from an active scheduler of lower priority.
    pub preempt: bool,
    /// The loopback address on which this scheduler receives advertisements.
    pub bind: SocketAddr,
    /// The loopback addresses on which the other schedulers receive advertisements.
    pub peers: Vec<SocketAddr>,
    /// The virtual router's IPv4 address, which advertisements contain.
    pub address: Ipv4Addr,
}

/// A JSON-RPC worker's entry in the endpoint list, with its socket.
#[derive(Clone, Debug, PartialEq)]
pub struct JsonRpcWorkerEndpoint {
    /// The entry in the endpoint list.
    pub endpoint: Endpoint,
    /// Path of the Unix socket that the worker listens on.
    pub socket: PathBuf,
}

impl OperatorConfig {
    /// Returns the JSON-RPC workers as entries of the endpoint list.
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

/// Parses the operator's file.
///
/// # Errors
///
/// Returns an error if the text is not valid TOML, a required key is missing, a key is unknown, or a value
/// has the wrong type or is outside its range.
pub fn parse_operator_config(toml: &str) -> Result<OperatorConfig, ConfigError> {
    parse(toml).map_err(|problem| problem.in_document(ConfigDocument::OperatorFile))
}

fn parse(toml: &str) -> Result<OperatorConfig, ConfigProblem> {
    let document: OperatorDocument = toml::from_str(toml).map_err(Box::new)?;
    document.try_into()
}
