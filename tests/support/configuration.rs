//! Builds the configuration of a scheduler process under test.

use super::program;
use super::scheduler_process::SchedulerProcess;
use super::settings::default_settings;
use super::temp_folder::TempFolder;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::process::{Command, Stdio};

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
    /// Creates a configuration with the default settings, whose endpoint list contains these node agents with
    /// ids counted from 1.
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

    /// Replaces the default settings.
    pub(crate) fn settings(self, settings: Value) -> Configuration {
        Configuration { settings, ..self }
    }

    /// Replaces the limits on the resources of the process.
    pub(crate) fn limits(self, limits: Value) -> Configuration {
        Configuration { limits, ..self }
    }

    /// Sets the address of the discovery service. Without one, the endpoint list stays as configured.
    pub(crate) fn discovery(self, address: SocketAddr) -> Configuration {
        Configuration {
            discovery: Some(address),
            ..self
        }
    }

    /// Adds an operator's file with this text, which may name paths in the folder of the process.
    pub(crate) fn operator_file(self, text: impl FnOnce(&TempFolder) -> String) -> Configuration {
        let operator_file = Some(text(&self.folder));
        Configuration {
            operator_file,
            ..self
        }
    }

    /// Starts the process and waits until it listens.
    pub(crate) fn start(self) -> SchedulerProcess {
        let config = self.json();
        program::write_config(&self.folder, &config.to_string());
        let command = match &self.operator_file {
            Some(text) => {
                program::write_operator_file(&self.folder, text);
                program::program_with_operator_file(&self.folder)
            }
            None => program::program(&self.folder),
        };
        SchedulerProcess::spawn_logged(command, self.folder, config)
    }

    /// Starts the process on this address with this standard error, without waiting until it listens.
    pub(crate) fn start_with_stderr(self, listen: SocketAddr, stderr: Stdio) -> SchedulerProcess {
        let mut command = program::program(&self.folder);
        command.stderr(stderr);
        self.start_at(listen, command)
    }

    /// Starts the process on this address with this limit on its descriptors, without waiting until it
    /// listens.
    pub(crate) fn start_with_descriptor_limit(self, listen: SocketAddr, limit: usize) -> SchedulerProcess {
        let command = program::program_with_descriptor_limit(&self.folder, limit);
        self.start_at(listen, command)
    }

    fn start_at(self, listen: SocketAddr, command: Command) -> SchedulerProcess {
        let config = self.json_at(listen);
        program::write_config(&self.folder, &config.to_string());
        SchedulerProcess::spawn(command, self.folder, config, listen)
    }

    /// Starts the process on this address with a named pipe as its configuration file, without waiting until
    /// it listens.
    ///
    /// The process blocks on the pipe until [`SchedulerProcess::write_config_in_background`] writes to it.
    pub(crate) fn start_with_config_pipe(self, listen: SocketAddr) -> SchedulerProcess {
        program::make_config_pipe(&self.folder);
        let command = program::program(&self.folder);
        let config = self.json_at(listen);
        SchedulerProcess::spawn(command, self.folder, config, listen)
    }

    fn json_at(&self, listen: SocketAddr) -> Value {
        let mut config = self.json();
        config["listen"] = json!(listen.to_string());
        config
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

/// Returns the entry of a ready worker in the configuration file.
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
