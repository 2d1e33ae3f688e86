//! Tests of the site's settings: their values and defaults, the values that are rejected, and replacement by
//! new settings.

use super::assert_error;
use super::support::settings::{minimal_settings, minimal_settings_with, site};
use function_scheduler::config::{ConfigDocument, parse_settings};
use function_scheduler::*;
use serde_json::{Value, json};

#[test]
fn settings_have_these_defaults() {
    let site = site(&minimal_settings()).unwrap();
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
    let mut settings = minimal_settings_with("loadInfo", names);
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
        minimal_settings_with("classes", json!([class]))
    };
    assert!(site(&class("name", json!("complete"))).is_ok());
    let on_miss = json!({"keepNs": 4, "notLoaded": "wait", "loadSpanNs": 0});
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
            minimal_settings_with("familyInfo", on_miss),
            "familyInfo.notLoaded",
            "familyInfo.notLoaded is 'wait'",
        ),
    ];
    for (settings, key, problem) in cases {
        let error = site(&settings).unwrap_err();
        assert_error(
            &error,
            ConfigDocument::Settings,
            key,
            &format!("settings: {problem}"),
        );
    }
    let wrong_type = site(&minimal_settings_with("bounds", json!("none")))
        .unwrap_err()
        .to_string();
    let expected = "settings: invalid type: string \"none\", expected struct Bounds at line 1 column ";
    assert!(wrong_type.starts_with(expected), "{wrong_type}");
}

/// An open request refers to its class by index, so a new configuration must not put another class at that
/// index.
#[test]
fn classes_keep_their_indexes_when_a_configuration_is_replaced() {
    let site = |names: &[&str]| {
        let class = |(deadline, name)| json!({"name": name, "deadlineNs": deadline, "effect": "retryable", "objectiveNs": 1});
        let classes: Vec<Value> = names.iter().enumerate().map(class).collect();
        site(&minimal_settings_with("classes", json!(classes))).unwrap()
    };
    let merged = site(&["a", "b"]).reloaded_with(site(&["c", "b", ""]));
    let indexes: Vec<_> = ["a", "b", "c", ""].map(|name| merged.class_index(name)).to_vec();
    assert_eq!(indexes, [None, Some(1), Some(2), Some(3)]);
    let classes = merged.settings.classes.iter();
    let deadlines: Vec<_> = classes.map(|class| class.deadline.0).collect();
    assert_eq!(
        deadlines,
        [0, 1, 0, 2],
        "the old a, the new b, c and the unnamed class"
    );
}
