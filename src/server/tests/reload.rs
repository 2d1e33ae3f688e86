//! Tests that a reload recognizes the settings that take effect only at startup.

use crate::config::{SchedulerConfig, VrrpConfig, parse_operator_config, parse_scheduler_config};
use crate::server::startup_settings::{StartupSetting, StartupSettings};
use serde_json::{Value, json};

/// Listen address with port 0, for which the system chooses a port.
const ANY_PORT: &str = "127.0.0.1:0";

fn scheduler_config(listen: &str, name: &str, zones: Value, kinds: Value) -> SchedulerConfig {
    let document = json!({
        "name": name, "listen": listen,
        "settings": {
            "fleetSize": 1, "index": 0, "zones": zones, "kinds": kinds, "classes": [],
            "bounds": {"mostTries": 1},
            "contract": {"coldFrom": 1, "coldNs": 1, "fallMultiple": 1, "fallNs": 1},
            "familyInfo": {"keepNs": 1, "notLoaded": "load", "loadSpanNs": 0}
        }
    });
    parse_scheduler_config(document.to_string().as_bytes()).unwrap()
}

fn default_config(listen: &str) -> SchedulerConfig {
    scheduler_config(listen, "n1", json!(["a"]), json!(["std"]))
}

fn vrrp_config(priority: u8) -> VrrpConfig {
    let document = format!(
        r#"
        [vrrp]
        vrid = 1
        priority = {priority}
        bind = "127.0.0.1:1"
        peers = []
        address = "127.0.0.9"
        "#
    );
    parse_operator_config(&document).unwrap().vrrp.unwrap()
}

/// Returns the names of the settings that differ between the current and a requested configuration.
fn differing_settings(requested: &StartupSettings) -> Vec<&'static str> {
    let scheduler = default_config("127.0.0.1:80");
    let vrrp = vrrp_config(100);
    let current = StartupSettings {
        scheduler: &scheduler,
        vrrp: Some(&vrrp),
    };
    let differing = current.differing_from(requested);
    differing.into_iter().map(StartupSetting::name).collect()
}

#[test]
fn an_unchanged_configuration_has_no_differing_setting() {
    let requested = StartupSettings {
        scheduler: &default_config("127.0.0.1:80"),
        vrrp: Some(&vrrp_config(100)),
    };
    assert!(differing_settings(&requested).is_empty());
}

#[test]
fn a_port_that_the_system_chose_is_no_difference() {
    let requested = StartupSettings {
        scheduler: &default_config(ANY_PORT),
        vrrp: Some(&vrrp_config(100)),
    };
    assert!(differing_settings(&requested).is_empty());
}

#[test]
fn every_changed_startup_setting_is_kept_and_named() {
    let requested = StartupSettings {
        scheduler: &scheduler_config("127.0.0.1:81", "n2", json!(["a", "b"]), json!([])),
        vrrp: Some(&vrrp_config(101)),
    };
    assert_eq!(
        differing_settings(&requested),
        ["listen", "name", "zones", "kinds", "vrrp"]
    );
}

#[test]
fn a_removed_virtual_router_is_kept() {
    let requested = StartupSettings {
        scheduler: &default_config("127.0.0.1:80"),
        vrrp: None,
    };
    assert_eq!(differing_settings(&requested), ["vrrp"]);
}
