//! Reload of the configuration files on SIGHUP: validate, then apply, then report what was kept.
//!
//! Both files are read and checked as a whole before anything of them is used; where one is bad, everything
//! stays as it was. Requests in flight and connections go on in any case.

use super::accept::JsonRpcUpdate;
use super::leader::LeaderElection;
use super::{Server, limits};
use crate::config::{ConfigError, Configuration, OperatorConfig, SchedulerConfig};
use std::io;
use thiserror::Error;

/// Why a reload is refused.
#[derive(Debug, Error)]
enum ReloadError {
    /// One of the files can't be read or isn't valid.
    #[error(transparent)]
    Configuration(#[from] ConfigError),
    /// The JSON-RPC front's socket can't be bound, or its file can't be given its mode.
    #[error(transparent)]
    JsonRpcSocket(io::Error),
}

/// A setting that only takes effect at a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StartupSetting {
    Listen,
    Name,
    Zones,
    Kinds,
    Vrrp,
}

impl StartupSetting {
    const ALL: [StartupSetting; 5] = [
        StartupSetting::Listen,
        StartupSetting::Name,
        StartupSetting::Zones,
        StartupSetting::Kinds,
        StartupSetting::Vrrp,
    ];

    /// Its name in the log.
    fn name(self) -> &'static str {
        match self {
            StartupSetting::Listen => "listen",
            StartupSetting::Name => "name",
            StartupSetting::Zones => "zones",
            StartupSetting::Kinds => "kinds",
            StartupSetting::Vrrp => "vrrp",
        }
    }
}

/// A configuration that has passed all checks, and what had to be acquired for it.
struct ValidReload {
    configuration: Configuration,
    jsonrpc: JsonRpcUpdate,
}

impl Server {
    /// Reads the configuration files again and applies them if both are valid.
    pub(super) fn reload(&mut self) {
        match self.validate_reload() {
            Ok(reload) => {
                let kept = self.apply_reload(reload);
                self.report_reload(&kept);
            }
            Err(error) => eprintln!("function-scheduler: reload refused why=\"{error}\""),
        }
    }

    fn validate_reload(&mut self) -> Result<ValidReload, ReloadError> {
        let configuration = self.sources.load()?;
        let jsonrpc = self
            .acceptor
            .prepare_jsonrpc(configuration.operator.jsonrpc.as_ref(), &mut self.reactor)
            .map_err(ReloadError::JsonRpcSocket)?;
        Ok(ValidReload { configuration, jsonrpc })
    }

    /// Applies a configuration; the settings that keep their values although the files have others.
    fn apply_reload(&mut self, reload: ValidReload) -> Vec<StartupSetting> {
        let Configuration { scheduler: mut config, operator } = reload.configuration;
        let kept = self.differing_startup_settings(&config, &operator);
        self.keep_startup_settings(&mut config);
        self.acceptor.apply_jsonrpc(reload.jsonrpc, &mut self.reactor);
        let now = self.reactor.now();
        let known = std::mem::take(&mut config.known_events);
        self.config = config;
        self.scheduler.reconfigure(now, self.config.site.clone());
        self.apply_limits();
        self.set_configured_workers(now, &operator);
        self.reload_discovery(now, known);
        kept
    }

    fn apply_limits(&mut self) {
        let worker_limits = limits::worker_limits(&self.config);
        self.pool.configure(worker_limits, &mut self.reactor, &mut self.scheduler);
        limits::limit_memory(&self.config, &mut self.scheduler, &mut self.reactor);
        self.acceptor.set_max_connections(limits::max_connections_with_clients(&self.config));
    }

    /// The settings that have other values in the files than in use.
    fn differing_startup_settings(
        &self,
        config: &SchedulerConfig,
        operator: &OperatorConfig,
    ) -> Vec<StartupSetting> {
        let mut settings = StartupSetting::ALL.to_vec();
        settings.retain(|setting| self.differs(*setting, config, operator));
        settings
    }

    fn differs(&self, setting: StartupSetting, config: &SchedulerConfig, operator: &OperatorConfig) -> bool {
        match setting {
            // Port 0 leaves the choice to the system, which has made it.
            StartupSetting::Listen => config.listen.port() != 0 && config.listen != self.config.listen,
            StartupSetting::Name => config.name != self.config.name,
            StartupSetting::Zones => config.site.zones != self.config.site.zones,
            StartupSetting::Kinds => config.site.kinds != self.config.site.kinds,
            StartupSetting::Vrrp => {
                let present = self.leader_election.as_ref().map(LeaderElection::config);
                operator.vrrp.as_ref() != present
            }
        }
    }

    /// Gives a new configuration the values in use of the settings that only take effect at a start.
    fn keep_startup_settings(&self, config: &mut SchedulerConfig) {
        config.listen = self.config.listen;
        config.name.clone_from(&self.config.name);
        config.site.zones.clone_from(&self.config.site.zones);
        config.site.kinds.clone_from(&self.config.site.kinds);
    }

    fn report_reload(&self, kept: &[StartupSetting]) {
        for setting in kept {
            eprintln!("function-scheduler: reload kept what={}", setting.name());
        }
        eprintln!("function-scheduler: reloaded offset={}", self.discovery.last_offset());
    }
}
