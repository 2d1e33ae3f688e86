//! Tests of the platform's configuration file: its values and defaults, and the values that are rejected.

use super::assert_error;
use super::support::settings::minimal_settings;
use function_scheduler::config::{
    ConfigDocument, ConfigError, ConfigProblem, SchedulerConfig, parse_scheduler_config,
};
use function_scheduler::*;
use serde_json::{Value, json};

/// A configuration file with one worker in its endpoint list.
const SCHEDULER_FILE: &str = r#"{"name":"n3","listen":"10.0.0.4:10080","seed":"8c1f30d27a5be964",
    "bus":"10.2.0.1:8500","limits":{"cores":1.0,"memory_mb":2048,"sockets":4096},"known":{"offset":41,
    "batch":[{"offset":41,"topology":{"rev":7,"all":true,"targets":[{"uid":"s-00c41f7a","endpoint":"10.1.0.9:10080","az":"b","model":"std",
    "pod_group":2,"state":"SERVING","capacity_hint":4,"boot_ms":5}]}}]},"settings":{"fleetSize":1,"index":0,
    "zones":["a","b"],"kinds":["std"],"classes":[],"bounds":{"mostTries":3},"contract":{"coldFrom":0.2,
    "coldNs":1,"fallMultiple":3,"fallNs":1},"familyInfo":{"keepNs":1,"notLoaded":"load","loadSpanNs":0}}}"#;

/// Parses a valid file.
fn parse_valid(file: &Value) -> SchedulerConfig {
    parse_scheduler_config(file.to_string().as_bytes()).unwrap()
}

/// Returns the error of parsing [`SCHEDULER_FILE`] with `from` replaced by `to`.
fn error_with(from: &str, to: &str) -> ConfigError {
    parse_scheduler_config(SCHEDULER_FILE.replace(from, to).as_bytes()).unwrap_err()
}

#[test]
fn the_configuration_is_parsed_and_invalid_values_are_named() {
    let config = parse_scheduler_config(SCHEDULER_FILE.as_bytes()).unwrap();
    let endpoint = config.known_events[0].endpoints[0].endpoint;
    assert_eq!(
        (config.seed, config.max_descriptors, config.known_events[0].offset),
        (0x8c1f_30d2_7a5b_e964, 4096, 41)
    );
    assert_eq!(
        (endpoint.worker, endpoint.zone, endpoint.started_at),
        (WorkerId(0xc4_1f7a), ZoneId(1), Some(Time(5_000_000)))
    );
    let cases = [
        ("10.0.0.4:10080", "here", "socket address"),
        ("s-00c41f7a", "s-1", "uid is 's-1'"),
        ("SERVING", "SINGING", "state is 'SINGING'"),
        ("settings", "sittings", "settings"),
        ("}]}}]", "", "column"),
    ];
    for (from, to, word) in cases {
        let error = error_with(from, to).to_string();
        assert!(error.contains(word), "{from}: {error}");
    }
}

#[test]
fn the_configuration_has_defaults_and_its_events_are_in_order() {
    let minimal = json!({"listen": "127.0.0.1:1", "settings": minimal_settings()});
    let config = parse_valid(&minimal);
    assert_eq!(
        (config.name.as_str(), config.seed, config.discovery_service),
        ("", 0, None)
    );
    assert_eq!(
        (
            config.max_descriptors,
            config.memory_mb,
            config.known_events.len()
        ),
        (1024, 192, 0)
    );
    for (configured, expected) in [(0.0, 1), (64.9, 64), (1e9, 1_000_000)] {
        let mut limited = minimal.clone();
        limited["limits"] = json!({ "memory_mb": configured });
        assert_eq!(parse_valid(&limited).memory_mb, expected, "{configured}");
    }

    let mut known = minimal;
    let delta = |offset| json!({"offset": offset, "topology": {"all": false}});
    known["known"] = json!({"batch": [delta(9), {"offset": 4, "topology": {"all": true}}, delta(7)]});
    let events = parse_valid(&known).known_events;
    let order: Vec<_> = events.iter().map(|event| (event.offset, event.kind)).collect();
    let expected = [
        (4, EndpointUpdateKind::Snapshot),
        (7, EndpointUpdateKind::Delta),
        (9, EndpointUpdateKind::Delta),
    ];
    assert_eq!(order, expected);
}

#[test]
fn an_error_in_the_configuration_names_the_file_the_key_and_the_problem() {
    let unknown = [
        ("s-00c41f7a", "s-1", "known: uid"),
        ("SERVING", "SINGING", "known: state"),
    ];
    for (from, to, key) in unknown {
        let expected = format!("configuration: {key} is '{to}'");
        assert_error(
            &error_with(from, to),
            ConfigDocument::SchedulerFile,
            key,
            &expected,
        );
    }
    let missing = error_with("settings", "sittings");
    assert!(
        missing
            .to_string()
            .starts_with("configuration: missing field `settings` at line 6 "),
        "{missing}"
    );
    assert!(matches!(missing.problem, ConfigProblem::Json(_)));
    let inner = error_with("mostTries", "x");
    assert_eq!(inner.document, ConfigDocument::Settings);
    assert!(
        inner
            .to_string()
            .starts_with("settings: missing field `mostTries` at line 1 "),
        "{inner}"
    );
}

/// Guards the example in the README, which starts the program with this file.
#[test]
fn the_example_configuration_is_accepted() {
    let example = parse_scheduler_config(include_bytes!("../../deploy/example-config.json")).unwrap();
    assert_eq!(example.listen, "127.0.0.1:10080".parse().unwrap());
    assert_eq!(example.known_events[0].endpoints.len(), 1);
    assert_eq!(example.site.class_index("lookup"), Some(0));
}
