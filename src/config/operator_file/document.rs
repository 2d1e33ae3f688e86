//! Deserialized form of the operator's file. Only this module uses the key names of the file.
//!
//! The `expecting` attributes keep the texts of type errors independent of the type names. Unknown keys are
//! errors.

use crate::config::worker::default_weight;
use serde::{Deserialize, Deserializer};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

/// Default permission bits of the socket file: owner and group may connect.
const DEFAULT_SOCKET_MODE: u32 = 0o660;
/// Largest mode of the socket file: only permission bits may be set.
const MAX_SOCKET_MODE: u32 = 0o777;
/// Default maximum number of concurrent connections from JSON-RPC clients.
const DEFAULT_MAX_CLIENTS: usize = 64;
/// Default maximum length of a line from a JSON-RPC client, in bytes.
const DEFAULT_MAX_LINE_BYTES: usize = 64 << 10;
/// Default time between advertisements, in centiseconds (RFC 9568, section 6.1: 1 s).
const DEFAULT_INTERVAL_CENTISECONDS: u16 = 100;

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default, expecting = "struct Operator")]
pub(super) struct OperatorDocument {
    pub(super) jsonrpc: Option<JsonRpcDocument>,
    #[serde(rename = "checkers")]
    pub(super) jsonrpc_workers: Vec<JsonRpcWorkerDocument>,
    pub(super) vrrp: Option<VrrpDocument>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct JsonRpc")]
pub(super) struct JsonRpcDocument {
    pub(super) socket: PathBuf,
    #[serde(default = "default_socket_mode", deserialize_with = "deserialize_socket_mode")]
    pub(super) mode: u32,
    #[serde(default = "default_max_clients")]
    pub(super) max_clients: usize,
    #[serde(default = "default_max_line_bytes", rename = "max_line")]
    pub(super) max_line_bytes: usize,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct JsonRpcWorker")]
pub(super) struct JsonRpcWorkerDocument {
    pub(super) id: String,
    pub(super) socket: PathBuf,
    #[serde(default)]
    pub(super) zone: String,
    #[serde(default)]
    pub(super) kind: String,
    #[serde(default = "default_weight")]
    pub(super) weight: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Vrrp")]
pub(super) struct VrrpDocument {
    #[serde(rename = "vrid")]
    pub(super) virtual_router_id: u8,
    pub(super) priority: u8,
    #[serde(default = "default_interval_centiseconds", rename = "interval_cs")]
    pub(super) interval_centiseconds: u16,
    #[serde(default = "default_preempt")]
    pub(super) preempt: bool,
    pub(super) bind: SocketAddr,
    pub(super) peers: Vec<SocketAddr>,
    pub(super) address: Ipv4Addr,
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

/// Returns the default of `Preempt_Mode`, which is true (RFC 9568, section 6.1).
fn default_preempt() -> bool {
    true
}

/// Deserializes permission bits from a string of octal digits.
fn deserialize_socket_mode<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u32, D::Error> {
    let digits = String::deserialize(deserializer)?;
    let mode = u32::from_str_radix(&digits, 8)
        .ok()
        .filter(|mode| *mode <= MAX_SOCKET_MODE);
    let invalid = || format!("mode '{digits}' is not octal digits up to 777");
    mode.ok_or_else(|| serde::de::Error::custom(invalid()))
}
