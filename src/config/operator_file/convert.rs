//! Conversion of the operator's file from its deserialized form to validated values, section by section.

use super::document::{JsonRpcDocument, JsonRpcWorkerDocument, OperatorDocument, VrrpDocument};
use super::{JsonRpcConfig, JsonRpcWorkerConfig, OperatorConfig, VrrpConfig};
use crate::config::error::ConfigProblem;
use crate::config::worker::parse_worker_id;
use crate::vrrp::packet::MAX_INTERVAL_CENTISECONDS;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// Valid range of the configured maximum line length, in bytes.
const MAX_LINE_BYTES_RANGE: RangeInclusive<usize> = 1 << 10..=1 << 20;

impl TryFrom<OperatorDocument> for OperatorConfig {
    type Error = ConfigProblem;

    fn try_from(document: OperatorDocument) -> Result<OperatorConfig, ConfigProblem> {
        Ok(OperatorConfig {
            jsonrpc: document.jsonrpc.map(JsonRpcConfig::try_from).transpose()?,
            vrrp: document.vrrp.map(VrrpConfig::try_from).transpose()?,
            jsonrpc_workers: parse_jsonrpc_workers(document.jsonrpc_workers)?,
        })
    }
}

impl TryFrom<JsonRpcDocument> for JsonRpcConfig {
    type Error = ConfigProblem;

    fn try_from(document: JsonRpcDocument) -> Result<JsonRpcConfig, ConfigProblem> {
        if !MAX_LINE_BYTES_RANGE.contains(&document.max_line_bytes) {
            return Err(ConfigProblem::OutOfRange {
                key: "jsonrpc.max_line",
                min: *MAX_LINE_BYTES_RANGE.start(),
                max: *MAX_LINE_BYTES_RANGE.end(),
            });
        }
        Ok(JsonRpcConfig {
            socket: document.socket,
            mode: document.mode,
            max_clients: document.max_clients,
            max_line_bytes: document.max_line_bytes,
        })
    }
}

impl TryFrom<VrrpDocument> for VrrpConfig {
    type Error = ConfigProblem;

    fn try_from(document: VrrpDocument) -> Result<VrrpConfig, ConfigProblem> {
        check_virtual_router(&document)?;
        check_loopback("vrrp.bind", document.bind)?;
        for peer in &document.peers {
            check_loopback("vrrp.peers", *peer)?;
        }
        Ok(VrrpConfig {
            virtual_router_id: document.virtual_router_id,
            priority: document.priority,
            interval_centiseconds: document.interval_centiseconds,
            preempt: document.preempt,
            bind: document.bind,
            peers: document.peers,
            address: document.address,
        })
    }
}

/// Checks the parameters whose ranges RFC 9568 defines (section 5.2).
fn check_virtual_router(document: &VrrpDocument) -> Result<(), ConfigProblem> {
    let out_of_range = |key| Err(ConfigProblem::VirtualRouterOutOfRange { key });
    if document.virtual_router_id == 0 {
        return out_of_range("vrrp.vrid");
    }
    if document.priority == 0 {
        return out_of_range("vrrp.priority");
    }
    if !(1..=MAX_INTERVAL_CENTISECONDS).contains(&document.interval_centiseconds) {
        return out_of_range("vrrp.interval_cs");
    }
    Ok(())
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
