//! The configuration of a scheduler process under test.

use super::scheduler_process::SchedulerProcess;
use super::temp_folder::TempFolder;
use super::{IDEMPOTENT_CLASS, KEYED_CLASS};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::process::Stdio;

/// Builds the configuration files of a scheduler process and starts it.
pub(crate) struct Configuration {
    folder: TempFolder,
    workers: Vec<SocketAddr>,
    settings: Value,
    limits: Value,
    discovery: Option<SocketAddr>,
    operator_file: Option<String>,
}

impl Configuration {
    /// A configuration with the default settings, whose endpoint list holds these node agents, with ids from 1 on.
    pub(crate) fn new(workers: &[SocketAddr]) -> Configuration {
        Configuration {
            folder: TempFolder::new(),
            workers: workers.to_vec(),
            settings: default_settings(),
            limits: json!({"sockets": 256}),
            discovery: None,
            operator_file: None,
        }
    }

    /// Replaces the settings, which are the default ones otherwise.
    pub(crate) fn settings(self, settings: Value) -> Configuration {
        Configuration { settings, ..self }
    }

    /// Replaces the limits on the resources of the process.
    pub(crate) fn limits(self, limits: Value) -> Configuration {
        Configuration { limits, ..self }
    }

    /// The address of the discovery service; without one the endpoint list stays as it is.
    pub(crate) fn discovery(self, address: SocketAddr) -> Configuration {
        Configuration {
            discovery: Some(address),
            ..self
        }
    }

    /// The text of the operator's file, which may name paths in the process's folder.
    pub(crate) fn operator_file(self, text: impl FnOnce(&TempFolder) -> String) -> Configuration {
        let operator_file = Some(text(&self.folder));
        Configuration {
            operator_file,
            ..self
        }
    }

    /// Writes the files and starts the process; returns once it listens.
    pub(crate) fn start(self) -> SchedulerProcess {
        let config = self.json();
        SchedulerProcess::spawn(self.folder, config, self.operator_file)
    }

    /// Writes the files and starts the process on this address, with this standard error; returns at once.
    pub(crate) fn start_with_stderr(self, listen: SocketAddr, stderr: Stdio) -> SchedulerProcess {
        let mut config = self.json();
        config["listen"] = json!(listen.to_string());
        SchedulerProcess::spawn_with_stderr(self.folder, config, listen, stderr)
    }

    /// Starts the process on this address with so few descriptors; returns at once.
    pub(crate) fn start_with_descriptors(self, listen: SocketAddr, limit: usize) -> SchedulerProcess {
        let mut config = self.json();
        config["listen"] = json!(listen.to_string());
        SchedulerProcess::spawn_with_descriptors(self.folder, config, listen, limit)
    }

    /// Starts the process on this address with a named pipe as its configuration file, which it therefore waits for.
    pub(crate) fn start_with_config_pipe(self, listen: SocketAddr) -> SchedulerProcess {
        let mut config = self.json();
        config["listen"] = json!(listen.to_string());
        SchedulerProcess::spawn_with_config_pipe(self.folder, config, listen)
    }

    fn json(&self) -> Value {
        let targets: Vec<Value> = (1..)
            .zip(&self.workers)
            .map(|(id, address)| serving_target(id, *address))
            .collect();
        let topology = json!({"rev": 1, "all": true, "targets": targets});
        let mut config = json!({
            "name": "n0",
            "listen": "127.0.0.1:0",
            "seed": "7",
            "settings": self.settings,
            "limits": self.limits,
            "known": {"offset": 1, "batch": [{"offset": 1, "topology": topology}]},
        });
        if let Some(address) = self.discovery {
            config["bus"] = json!(address.to_string());
        }
        config
    }
}

/// A ready worker as the configuration file writes it.
fn serving_target(id: u32, address: SocketAddr) -> Value {
    json!({
        "uid": format!("s-{id:08x}"),
        "endpoint": address.to_string(),
        "az": "a",
        "model": "std",
        "pod_group": 0,
        "state": "SERVING",
        "capacity_hint": 4,
        "boot_ms": 0,
    })
}

/// Settings of a lone scheduler with one class that is idempotent and one that is keyed.
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

/// Settings of one scheduler in a large fleet: its requests to one worker share a connection.
pub(crate) fn large_fleet_settings() -> Value {
    let mut settings = default_settings();
    settings["fleetSize"] = json!(100);
    settings
}

/// The settings of a large fleet, with a connect timeout that no test reaches.
pub(crate) fn slow_connect_settings() -> Value {
    let mut settings = large_fleet_settings();
    settings["bounds"]["connectTimeoutNs"] = json!(15_000_000_000u64);
    settings
}

/// Settings under which the scheduler sends health checks to silent workers.
pub(crate) fn health_check_settings() -> Value {
    let mut settings = default_settings();
    settings["bounds"]["probes"] = json!(true);
    settings
}

/// Settings in which the keyed class has this deduplication window.
pub(crate) fn deduplication_window_settings(nanoseconds: u64) -> Value {
    let mut settings = default_settings();
    settings["classes"][1]["repeatWindowNs"] = json!(nanoseconds);
    settings
}
