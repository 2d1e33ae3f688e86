//! The configuration's documents: what they give, what is refused, and how the error names it.

use function_scheduler::config::{
    CheckerConfig, CheckerEndpoint, ConfigDocument, ConfigError, ConfigProblem, ConfigSources, JsonRpcConfig,
    VrrpConfig, parse_operator_config, parse_scheduler_config, parse_settings, parse_site,
};
use function_scheduler::*;
use serde_json::{Value, json};
use std::path::PathBuf;

/// The least settings that are accepted.
fn settings() -> Value {
    json!({
        "fleetSize": 1, "index": 0, "classes": [],
        "bounds": {"mostTries": 3},
        "contract": {"coldFrom": 0.2, "coldNs": 1, "fallMultiple": 3, "fallNs": 2},
        "familyInfo": {"keepNs": 4, "notLoaded": "load", "loadSpanNs": 0}
    })
}

fn site(settings: &Value) -> Result<Site, ConfigError> {
    parse_site(settings.to_string().as_bytes())
}

fn settings_with(key: &str, value: Value) -> Value {
    let mut changed = settings();
    changed[key] = value;
    changed
}

const SCHEDULER_FILE: &str = r#"{"name":"n3","listen":"10.0.0.4:10080","seed":"8c1f30d27a5be964",
    "bus":"10.2.0.1:8500","limits":{"cores":1.0,"memory_mb":2048,"sockets":4096},"known":{"offset":41,
    "batch":[{"offset":41,"topology":{"rev":7,"all":true,"targets":[{"uid":"s-00c41f7a","endpoint":"10.1.0.9:10080","az":"b","model":"std",
    "pod_group":2,"state":"SERVING","capacity_hint":4,"boot_ms":5}]}}]},"settings":{"fleetSize":1,"index":0,
    "zones":["a","b"],"kinds":["std"],"classes":[],"bounds":{"mostTries":3},"contract":{"coldFrom":0.2,
    "coldNs":1,"fallMultiple":3,"fallNs":1},"familyInfo":{"keepNs":1,"notLoaded":"load","loadSpanNs":0}}}"#;

const VRRP: &str =
    "[vrrp]\nvrid = 1\npriority = 1\nbind = \"127.0.0.1:1\"\npeers = []\naddress = \"127.0.0.9\"\n";

/// `deploy/jsonrpc.toml` with all that it shows in comments switched on.
fn example_operator_file() -> String {
    let example = include_str!("../deploy/jsonrpc.toml")
        .replace("# [", "[")
        .replace("# id", "id");
    let commented = [
        "socket",
        "zone",
        "kind",
        "weight",
        "vrid",
        "priority",
        "interval_cs",
        "preempt",
        "bind",
        "peers",
        "address",
    ];
    commented.iter().fold(example, |text, key| {
        text.replace(&format!("# {key} ="), &format!("{key} ="))
    })
}

/// The key that an error names; empty where only its text does.
fn key_of(error: &ConfigError) -> String {
    match &error.problem {
        ConfigProblem::UnknownValue { key, .. } => key.clone(),
        ConfigProblem::MissingKey { parent, key } => format!("{parent}.{key}"),
        ConfigProblem::OutOfRange { key, .. }
        | ConfigProblem::VirtualRouterOutOfRange { key }
        | ConfigProblem::NotLoopback { key, .. } => (*key).to_owned(),
        ConfigProblem::InvalidCheckerId { .. } | ConfigProblem::DuplicateCheckerId { .. } => {
            "checkers.id".to_owned()
        }
        _ => String::new(),
    }
}

#[test]
fn the_operators_file_is_read_and_its_oddities_named() {
    let operator = parse_operator_config(&example_operator_file()).unwrap();
    assert_eq!(operator.jsonrpc.unwrap().mode, 0o660);
    assert_eq!(
        (operator.checkers.len(), operator.vrrp.unwrap().virtual_router_id),
        (1, 7)
    );
    assert!(
        parse_operator_config("").unwrap().jsonrpc.is_none(),
        "off where nothing is said"
    );
    let cases = [
        ("[jsonrpc]", "socket"),
        ("[jsonrpc]\nsocket = \"s\"\nmode = \"999\"", "octal"),
        ("[jsonrpc]\nsocket = \"s\"\nmax_line = 1", "max_line"),
        ("[jsonrpc]\nsocket = \"s\"\nmax_lines = 1", "max_lines"),
        ("[[checkers]]\nid = \"c1\"\nsocket = \"s\"", "checker id 'c1'"),
        (
            "[vrrp]\nvrid = 0\npriority = 1\nbind = \"127.0.0.1:1\"\npeers = []\naddress = \"127.0.0.9\"",
            "start from 1",
        ),
        (
            "[vrrp]\nvrid = 1\npriority = 1\nbind = \"10.0.0.1:1\"\npeers = []\naddress = \"127.0.0.9\"",
            "loopback",
        ),
    ];
    for (text, word) in cases {
        let error = parse_operator_config(text).unwrap_err().to_string();
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
    let checker = CheckerConfig {
        worker: WorkerId(0xc001),
        socket: "c".into(),
        zone: String::new(),
        kind: String::new(),
        weight: 1.0,
    };
    assert_eq!(operator.checkers, [checker]);
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
fn checkers_become_endpoints_in_the_zone_and_of_the_kind_that_they_name() {
    let mut settings = settings_with("zones", json!(["a", "b"]));
    settings["kinds"] = json!(["k", "l"]);
    let text = "[[checkers]]\nid = \"s-0000c001\"\nsocket = \"c\"\nzone = \"b\"\nkind = \"l\"\nweight = 2.5\n\
        [[checkers]]\nid = \"s-0000c002\"\nsocket = \"d\"\nzone = \"unknown\"";
    let endpoints = parse_operator_config(text)
        .unwrap()
        .checker_endpoints(&site(&settings).unwrap());
    let endpoint = |worker, zone, kind, weight| Endpoint {
        worker: WorkerId(worker),
        zone: ZoneId(zone),
        kind: KindId(kind),
        weight,
        ..Endpoint::default()
    };
    let expected = [
        CheckerEndpoint {
            endpoint: endpoint(0xc001, 1, 1, 2.5),
            socket: "c".into(),
        },
        CheckerEndpoint {
            endpoint: endpoint(0xc002, 0, 0, 1.0),
            socket: "d".into(),
        },
    ];
    assert_eq!(endpoints, expected);
}

#[test]
fn an_error_in_the_operators_file_names_the_file_the_key_and_the_problem() {
    const LINE: &str = "jsonrpc.max_line is not between 1024 and 1048576";
    const RANGE: &str = "vrrp.vrid, priority and interval_cs start from 1";
    const LOOPBACK: &str = "vrrp.bind and peers are loopback addresses";
    const CHECKER_ID: &str = "checker id 's-c001' is odd or stands twice";
    const CHECKER_TWICE: &str = "checker id 's-0000c001' is odd or stands twice";
    let line = |limit: u32| format!("[jsonrpc]\nsocket = \"s\"\nmax_line = {limit}");
    let vrrp = |from: &str, to: &str| VRRP.replace(from, to);
    let checker = |id: &str| format!("[[checkers]]\nid = \"{id}\"\nsocket = \"s\"\n");
    let cases = [
        (line(1023), "jsonrpc.max_line", LINE),
        (line(1_048_577), "jsonrpc.max_line", LINE),
        (vrrp("vrid = 1", "vrid = 0"), "vrrp.vrid", RANGE),
        (vrrp("priority = 1", "priority = 0"), "vrrp.priority", RANGE),
        (
            vrrp("priority = 1", "priority = 1\ninterval_cs = 0"),
            "vrrp.interval_cs",
            RANGE,
        ),
        (
            vrrp("priority = 1", "priority = 1\ninterval_cs = 4096"),
            "vrrp.interval_cs",
            RANGE,
        ),
        (vrrp("127.0.0.1:1", "10.0.0.1:1"), "vrrp.bind", LOOPBACK),
        (
            vrrp("peers = []", "peers = [\"10.0.0.1:1\"]"),
            "vrrp.peers",
            LOOPBACK,
        ),
        (checker("s-c001"), "checkers.id", CHECKER_ID),
        (checker("s-0000c001").repeat(2), "checkers.id", CHECKER_TWICE),
    ];
    for (text, key, problem) in cases {
        let error = parse_operator_config(&text).unwrap_err();
        assert_eq!(error.to_string(), format!("operator's file: {problem}"), "{text}");
        assert_eq!(
            (error.document, key_of(&error)),
            (ConfigDocument::OperatorFile, key.to_owned()),
            "{text}"
        );
    }
    assert!(parse_operator_config(&line(1024)).is_ok());
    assert!(parse_operator_config(&line(1_048_576)).is_ok());

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

#[test]
fn the_configuration_is_read_and_its_oddities_named() {
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
        let error = parse_scheduler_config(SCHEDULER_FILE.replace(from, to).as_bytes())
            .unwrap_err()
            .to_string();
        assert!(error.contains(word), "{from}: {error}");
    }
}

#[test]
fn the_configuration_has_defaults_and_its_events_are_in_order() {
    let least = json!({"listen": "127.0.0.1:1", "settings": settings()});
    let config = parse_scheduler_config(least.to_string().as_bytes()).unwrap();
    assert_eq!(
        (config.name.as_str(), config.seed, config.event_bus),
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
        let mut limited = least.clone();
        limited["limits"] = json!({ "memory_mb": configured });
        let config = parse_scheduler_config(limited.to_string().as_bytes()).unwrap();
        assert_eq!(config.memory_mb, expected, "{configured}");
    }

    let mut known = least;
    let delta = |offset| json!({"offset": offset, "topology": {"all": false}});
    known["known"] = json!({"batch": [delta(9), {"offset": 4, "topology": {"all": true}}, delta(7)]});
    let events = parse_scheduler_config(known.to_string().as_bytes())
        .unwrap()
        .known_events;
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
    let error = |from: &str, to: &str| {
        parse_scheduler_config(SCHEDULER_FILE.replace(from, to).as_bytes()).unwrap_err()
    };
    let unknown = [
        ("s-00c41f7a", "s-1", "known: uid"),
        ("SERVING", "SINGING", "known: state"),
    ];
    for (from, to, key) in unknown {
        let error = error(from, to);
        assert_eq!(error.to_string(), format!("configuration: {key} is '{to}'"));
        assert_eq!(
            (error.document, key_of(&error)),
            (ConfigDocument::SchedulerFile, key.to_owned())
        );
    }
    let missing = error("settings", "sittings");
    assert!(
        missing
            .to_string()
            .starts_with("configuration: missing field `settings` at line 6 "),
        "{missing}"
    );
    assert!(matches!(missing.problem, ConfigProblem::Json(_)));
    let inner = error("mostTries", "x");
    assert_eq!(inner.document, ConfigDocument::Settings);
    assert!(
        inner
            .to_string()
            .starts_with("settings: missing field `mostTries` at line 1 "),
        "{inner}"
    );
}

#[test]
fn a_file_that_cannot_be_read_is_named() {
    let sources = |scheduler: &str, operator: Option<&str>| ConfigSources {
        scheduler_file: scheduler.into(),
        operator_file: operator.map(PathBuf::from),
    };
    for (sources, document, wanted) in [
        (
            sources("/nowhere/config.json", None),
            ConfigDocument::SchedulerFile,
            "/nowhere/config.json",
        ),
        (
            sources("/nowhere", Some("/nowhere/op.toml")),
            ConfigDocument::OperatorFile,
            "/nowhere/op.toml",
        ),
    ] {
        let error = sources.load().unwrap_err();
        assert_eq!(error.document, document);
        let expected = format!("{document}: cannot read {wanted}: No such file or directory (os error 2)");
        assert_eq!(error.to_string(), expected);
        assert!(
            matches!(error.problem, ConfigProblem::Unreadable { path, .. } if path.as_os_str() == wanted)
        );
    }
}

#[test]
fn settings_have_these_defaults() {
    let site = site(&settings()).unwrap();
    assert_eq!((site.attempts_per_connection, site.max_open_requests), (32, 4096));
    assert_eq!(
        (site.idle_timeout, site.connect_timeout),
        (Span::from_millis(15_000), Span::from_millis(250))
    );
    assert_eq!(site.load_timeout, Span::from_millis(10_000));
    let settings = site.settings;
    assert_eq!(
        (settings.zone, settings.tick, settings.over_quota_weight),
        (ZoneId(0), Span(0), 1.0)
    );
    assert_eq!(
        (settings.discovery, settings.weights_are_capacities),
        (DiscoveryMode::Pushed, false)
    );
    assert!(settings.safety_limits.load_rate_limit.is_none());
    let permissions = settings.permissions;
    assert_eq!(
        (
            permissions.may_cancel,
            permissions.may_probe,
            permissions.may_order
        ),
        (false, false, false)
    );
    assert_eq!(permissions.max_retry_after, None);
}

#[test]
fn settings_give_the_metrics_of_a_load_report_and_the_limit_on_load_orders() {
    let names = json!({"names": ["busy_reqs", "pending", "cpu_share", "x1", "x0", "temperature"]});
    let mut settings = settings_with("loadInfo", names);
    settings["familyInfo"] =
        json!({"keepNs": 4, "notLoaded": "miss", "loadSpanNs": 5, "loadsAnyway": 3, "loadPart": 0.5});
    let settings = parse_settings(settings.to_string().as_bytes()).unwrap();
    let expected = [
        LoadMetric::InFlight,
        LoadMetric::QueueLength,
        LoadMetric::Utilization,
        LoadMetric::PendingLoads,
        LoadMetric::PinnedMemory,
        LoadMetric::Other,
    ];
    assert_eq!(
        (settings.load_metrics, settings.loading.on_miss),
        (expected.to_vec(), OnMiss::Miss)
    );
    let limit = settings.safety_limits.load_rate_limit.unwrap();
    assert_eq!(
        (limit.burst, limit.per_request, limit.window),
        (3.0, 0.5, Span(5))
    );
}

#[test]
fn an_error_in_the_settings_names_the_key_and_the_problem() {
    let class = |key: &str, value: Value| {
        let mut class = json!({"effect": "dedup", "group": "all", "repeatWindowNs": 3});
        class["objectiveNs"] = json!(1);
        class["deadlineNs"] = json!(2);
        class[key] = value;
        settings_with("classes", json!([class]))
    };
    assert!(site(&class("name", json!("complete"))).is_ok());
    let loading = json!({"keepNs": 4, "notLoaded": "wait", "loadSpanNs": 0});
    let cases = [
        (
            class("effect", json!("twice")),
            "classes[0].effect",
            "classes[0].effect is 'twice'",
        ),
        (
            class("group", json!("city")),
            "classes[0].group",
            "classes[0].group is 'city'",
        ),
        (
            class("group", json!(null)),
            "classes[0].group",
            "classes[0] lacks group",
        ),
        (
            class("repeatWindowNs", json!(null)),
            "classes[0].repeatWindowNs",
            "classes[0] lacks repeatWindowNs",
        ),
        (
            settings_with("familyInfo", loading),
            "familyInfo.notLoaded",
            "familyInfo.notLoaded is 'wait'",
        ),
    ];
    for (settings, key, problem) in cases {
        let error = site(&settings).unwrap_err();
        assert_eq!(error.to_string(), format!("settings: {problem}"));
        assert_eq!(
            (error.document, key_of(&error)),
            (ConfigDocument::Settings, key.to_owned())
        );
    }
    let wrong_type = site(&settings_with("bounds", json!("none")))
        .unwrap_err()
        .to_string();
    let expected = "settings: invalid type: string \"none\", expected struct Bounds at line 1 column ";
    assert!(wrong_type.starts_with(expected), "{wrong_type}");
}

/// A request under way knows its class by its place: a new configuration must not put another one there.
#[test]
fn classes_keep_their_places_when_a_configuration_is_replaced() {
    let site = |names: &[&str]| {
        let class = |(deadline, name)| json!({"name": name, "deadlineNs": deadline, "effect": "retryable", "objectiveNs": 1});
        let classes: Vec<Value> = names.iter().enumerate().map(class).collect();
        site(&settings_with("classes", json!(classes))).unwrap()
    };
    let merged = site(&["a", "b"]).replaced_by(site(&["c", "b", ""]));
    let places: Vec<_> = ["a", "b", "c", ""].map(|name| merged.class_index(name)).to_vec();
    assert_eq!(places, [None, Some(1), Some(2), Some(3)]);
    let deadlines: Vec<_> = merged
        .settings
        .classes
        .iter()
        .map(|class| class.deadline.0)
        .collect();
    assert_eq!(
        deadlines,
        [0, 1, 0, 2],
        "the old a, the new b, c and the nameless"
    );
}

/// README starts the program with this file.
#[test]
fn the_example_configuration_is_accepted() {
    let example = parse_scheduler_config(include_bytes!("../deploy/example-config.json")).unwrap();
    assert_eq!(example.listen, "127.0.0.1:10080".parse().unwrap());
    assert_eq!(example.known_events[0].endpoints.len(), 1);
    assert_eq!(example.site.class_index("lookup"), Some(0));
}
