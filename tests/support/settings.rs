//! The site's settings as JSON, with the names of the settings page.

use super::{IDEMPOTENT_CLASS, KEYED_CLASS};
use function_scheduler::Site;
use function_scheduler::config::{ConfigError, parse_site};
use serde_json::{Value, json};

/// Parses the site that these settings describe.
pub(crate) fn site(settings: &Value) -> Result<Site, ConfigError> {
    parse_site(settings.to_string().as_bytes())
}

/// Returns the minimal settings that are accepted.
pub(crate) fn minimal_settings() -> Value {
    json!({
        "fleetSize": 1, "index": 0, "classes": [],
        "bounds": {"mostTries": 3},
        "contract": {"coldFrom": 0.2, "coldNs": 1, "fallMultiple": 3, "fallNs": 2},
        "familyInfo": {"keepNs": 4, "notLoaded": "load", "loadSpanNs": 0}
    })
}

/// Returns the minimal settings with another value of one key.
pub(crate) fn minimal_settings_with(key: &str, value: Value) -> Value {
    let mut settings = minimal_settings();
    settings[key] = value;
    settings
}

/// Returns the settings of a single scheduler with one idempotent and one keyed class.
pub(crate) fn default_settings() -> Value {
    json!({
        "fleetSize": 1,
        "index": 0,
        "zone": 0,
        "tickNs": 2_000_000,
        "zones": ["a"],
        "kinds": ["std"],
        "classes": [class(IDEMPOTENT_CLASS, "retryable"), class(KEYED_CLASS, "dedup")],
        "bounds": {
            "mostTries": 3,
            "mayCancel": true,
            "retryAfter": true,
            "maxRetryAfterNs": 500_000_000,
            "multiplex": 100,
            "maxOpen": 1000,
            "idleCloseNs": 15_000_000_000u64,
            "connectTimeoutNs": 250_000_000,
        },
        "contract": {
            "coldFrom": 0.15,
            "coldNs": 15_000_000_000u64,
            "fallMultiple": 3.0,
            "fallNs": 2_000_000_000,
            "drainGraceNs": 2_000_000_000,
        },
        "familyInfo": {
            "keepNs": 8_700_000_000u64,
            "notLoaded": "load",
            "mayOrder": true,
            "loadSpanNs": 5_000_000_000u64,
            "loadsAnyway": 3.0,
            "loadPart": 0.3,
            "loadWaitNs": 10_000_000_000u64,
            "memoryMbByKind": [18432.0],
        },
    })
}

fn class(name: &str, effect: &str) -> Value {
    json!({
        "name": name,
        "deadlineNs": 3_000_000_000u64,
        "objectiveNs": 1_000_000_000u64,
        "worth": 1.0,
        "effect": effect,
        "group": "all",
        "repeatWindowNs": 6_000_000_000u64,
    })
}

/// Returns the settings of one scheduler in a large fleet, whose requests to one worker share a connection.
pub(crate) fn large_fleet_settings() -> Value {
    let mut settings = default_settings();
    settings["fleetSize"] = json!(100);
    settings
}

/// Returns the settings of a large fleet with a connect timeout and a grace period for drains that no test
/// reaches.
pub(crate) fn slow_connect_settings() -> Value {
    let mut settings = large_fleet_settings();
    settings["bounds"]["connectTimeoutNs"] = json!(15_000_000_000u64);
    settings["contract"]["drainGraceNs"] = json!(20_000_000_000u64);
    settings
}

/// Returns settings under which the scheduler sends health checks to silent workers.
pub(crate) fn health_check_settings() -> Value {
    let mut settings = default_settings();
    settings["bounds"]["probes"] = json!(true);
    settings
}

/// Returns settings in which the keyed class has this deduplication window.
pub(crate) fn deduplication_window_settings(nanoseconds: u64) -> Value {
    let mut settings = default_settings();
    settings["classes"][1]["repeatWindowNs"] = json!(nanoseconds);
    settings
}
