//! Tests of the operator's file: its values and defaults, and the values that are rejected.

use super::assert_error;
use super::support::settings::{minimal_settings_with, site};
use function_scheduler::config::{
    ConfigDocument, ConfigProblem, JsonRpcConfig, JsonRpcWorkerConfig, JsonRpcWorkerEndpoint, VrrpConfig,
    parse_operator_config,
};
use function_scheduler::*;
use serde_json::json;
use std::path::PathBuf;

const VRRP: &str =
    "[vrrp]\nvrid = 1\npriority = 1\nbind = \"127.0.0.1:1\"\npeers = []\naddress = \"127.0.0.9\"\n";

/// Returns `deploy/jsonrpc.toml` with all commented-out sections and keys enabled.
fn example_operator_file() -> String {
    let example = include_str!("../../deploy/jsonrpc.toml")
        .replace("# [", "[")
        .replace("# id", "id");
    let commented = "socket zone kind weight vrid priority interval_cs preempt bind peers address";
    commented.split(' ').fold(example, |text, key| {
        text.replace(&format!("# {key} ="), &format!("{key} ="))
    })
}

/// Returns [`VRRP`] with `from` replaced by `to`.
fn vrrp(from: &str, to: &str) -> String {
    VRRP.replace(from, to)
}

/// Returns the section of a JSON-RPC frontend with one additional line.
fn jsonrpc(line: &str) -> String {
    format!("[jsonrpc]\nsocket = \"s\"\n{line}")
}

/// Returns the section of a JSON-RPC worker with this id.
fn jsonrpc_worker(id: &str) -> String {
    format!("[[checkers]]\nid = \"{id}\"\nsocket = \"s\"\n")
}

#[test]
fn the_operators_file_is_parsed_and_invalid_values_are_named() {
    let operator = parse_operator_config(&example_operator_file()).unwrap();
    assert_eq!(operator.jsonrpc.unwrap().mode, 0o660);
    assert_eq!(
        (
            operator.jsonrpc_workers.len(),
            operator.vrrp.unwrap().virtual_router_id
        ),
        (1, 7)
    );
    assert!(
        parse_operator_config("").unwrap().jsonrpc.is_none(),
        "disabled unless configured"
    );
    let cases = [
        ("[jsonrpc]".to_owned(), "socket"),
        (jsonrpc("mode = \"999\""), "octal"),
        (jsonrpc("max_line = 1"), "max_line"),
        (jsonrpc("max_lines = 1"), "max_lines"),
        (jsonrpc_worker("c1"), "checkers.id 'c1'"),
        (vrrp("vrid = 1", "vrid = 0"), "start from 1"),
        (vrrp("127.0.0.1:1", "10.0.0.1:1"), "loopback"),
    ];
    for (text, word) in cases {
        let error = parse_operator_config(&text).unwrap_err().to_string();
        assert!(error.contains(word), "{text}: {error}");
    }
}

#[test]
fn the_operators_file_gives_these_values_and_defaults() {
    let text =
        format!("[jsonrpc]\nsocket = \"s\"\n[[checkers]]\nid = \"s-0000c001\"\nsocket = \"c\"\n{VRRP}");
    let operator = parse_operator_config(&text).unwrap();
    let JsonRpcConfig {
        socket,
        mode,
        max_clients,
        max_line_bytes,
    } = operator.jsonrpc.clone().unwrap();
    assert_eq!(
        (socket, mode, max_clients, max_line_bytes),
        (PathBuf::from("s"), 0o660, 64, 65536)
    );
    let worker = JsonRpcWorkerConfig {
        worker: WorkerId(0xc001),
        socket: "c".into(),
        zone: String::new(),
        kind: String::new(),
        weight: 1.0,
    };
    assert_eq!(operator.jsonrpc_workers, [worker]);
    let vrrp = VrrpConfig {
        virtual_router_id: 1,
        priority: 1,
        interval_centiseconds: 100,
        preempt: true,
        bind: "127.0.0.1:1".parse().unwrap(),
        peers: vec![],
        address: "127.0.0.9".parse().unwrap(),
    };
    assert_eq!(operator.vrrp, Some(vrrp));
}

#[test]
fn jsonrpc_workers_become_endpoints_in_the_zone_and_of_the_kind_that_they_name() {
    let mut settings = minimal_settings_with("zones", json!(["a", "b"]));
    settings["kinds"] = json!(["k", "l"]);
    let text = "[[checkers]]\nid = \"s-0000c001\"\nsocket = \"c\"\nzone = \"b\"\nkind = \"l\"\nweight = 2.5\n\
        [[checkers]]\nid = \"s-0000c002\"\nsocket = \"d\"\nzone = \"unknown\"";
    let endpoints = parse_operator_config(text)
        .unwrap()
        .jsonrpc_worker_endpoints(&site(&settings).unwrap());
    let endpoint = |worker, zone, kind, weight| Endpoint {
        worker: WorkerId(worker),
        source: EndpointSource::Configuration,
        zone: ZoneId(zone),
        kind: KindId(kind),
        weight,
        ..Endpoint::default()
    };
    let expected = [
        JsonRpcWorkerEndpoint {
            endpoint: endpoint(0xc001, 1, 1, 2.5),
            socket: "c".into(),
        },
        JsonRpcWorkerEndpoint {
            endpoint: endpoint(0xc002, 0, 0, 1.0),
            socket: "d".into(),
        },
    ];
    assert_eq!(endpoints, expected);
}

#[test]
fn an_error_in_the_operators_file_names_the_file_the_key_and_the_problem() {
    const LINE: &str = "operator's file: jsonrpc.max_line is not between 1024 and 1048576";
    const RANGE: &str = "operator's file: vrrp.vrid, priority and interval_cs start from 1";
    const LOOPBACK: &str = "operator's file: vrrp.bind and peers are loopback addresses";
    const WORKER_ID: &str = "operator's file: checkers.id 's-c001' is not 's-' and 8 hexadecimal digits";
    const WORKER_TWICE: &str = "operator's file: checkers.id 's-0000c001' is given twice";
    let max_line = |limit: u32| jsonrpc(&format!("max_line = {limit}"));
    let interval = |centiseconds: u32| VRRP.to_owned() + &format!("interval_cs = {centiseconds}");
    let peer = vrrp("peers = []", "peers = [\"10.0.0.1:1\"]");
    let cases = [
        (max_line(1023), "jsonrpc.max_line", LINE),
        (max_line(1_048_577), "jsonrpc.max_line", LINE),
        (vrrp("vrid = 1", "vrid = 0"), "vrrp.vrid", RANGE),
        (vrrp("priority = 1", "priority = 0"), "vrrp.priority", RANGE),
        (interval(0), "vrrp.interval_cs", RANGE),
        (interval(4096), "vrrp.interval_cs", RANGE),
        (vrrp("127.0.0.1:1", "10.0.0.1:1"), "vrrp.bind", LOOPBACK),
        (peer, "vrrp.peers", LOOPBACK),
        (jsonrpc_worker("s-c001"), "checkers.id", WORKER_ID),
        (
            jsonrpc_worker("s-0000c001").repeat(2),
            "checkers.id",
            WORKER_TWICE,
        ),
    ];
    for (text, key, expected) in cases {
        let error = parse_operator_config(&text).unwrap_err();
        assert_error(&error, ConfigDocument::OperatorFile, key, expected);
    }
    assert!(parse_operator_config(&max_line(1024)).is_ok());
    assert!(parse_operator_config(&max_line(1_048_576)).is_ok());
}

#[test]
fn an_error_of_toml_names_the_file_the_line_and_the_problem() {
    let error = parse_operator_config("jsonrpc = 1").unwrap_err();
    assert!(matches!(error.problem, ConfigProblem::Toml(_)));
    let text = error.to_string();
    assert!(
        text.starts_with("operator's file: TOML parse error at line 1"),
        "{text}"
    );
    assert!(
        text.contains("invalid type: integer `1`, expected struct JsonRpc"),
        "{text}"
    );
}
