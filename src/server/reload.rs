//! Reload of the configuration files on SIGHUP: validate, then apply, then report what was kept.
//!
//! Both files are read and checked as a whole before anything of them is used; where one is bad, everything
//! stays as it was. Requests in flight and connections go on in any case.

use super::accept::JsonRpcUpdate;
use super::leader::LeaderElection;
use super::transient::is_transient;
use super::{Server, limits};
use crate::collections::ExponentialBackoff;
use crate::config::{ConfigError, ConfigProblem, Configuration, SchedulerConfig, VrrpConfig};
use crate::model::{Span, Time};
use std::io;
use thiserror::Error;
use tracing::{debug, info, warn};

/// Delays before a refused reload is tried again. What the signal announced counts as known 4 s after it (page TERMS).
const RETRY_BACKOFF: ExponentialBackoff = ExponentialBackoff::new(Span::from_millis(100), 4);
/// How often a refused reload is tried again: for 3.1 s in all.
const MAX_RETRIES: u32 = 5;

/// Why a reload is refused.
#[derive(Debug, Error)]
enum ReloadError {
    /// One of the files can't be read or isn't valid.
    #[error(transparent)]
    Configuration(#[from] ConfigError),
    /// The JSON-RPC frontend's socket can't be bound, or its file can't be given its mode.
    #[error(transparent)]
    JsonRpcSocket(io::Error),
}

impl ReloadError {
    /// Whether the same reload may succeed a moment later: a file cannot be read, or may be half written, or the
    /// system is short of something.
    fn may_pass(&self) -> bool {
        match self {
            ReloadError::Configuration(error) => matches!(
                error.problem,
                ConfigProblem::Unreadable { .. } | ConfigProblem::Json(_) | ConfigProblem::Toml(_)
            ),
            ReloadError::JsonRpcSocket(error) => is_transient(error),
        }
    }
}

/// A setting that only takes effect at a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StartupSetting {
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
    pub(super) fn name(self) -> &'static str {
        match self {
            StartupSetting::Listen => "listen",
            StartupSetting::Name => "name",
            StartupSetting::Zones => "zones",
            StartupSetting::Kinds => "kinds",
            StartupSetting::Vrrp => "vrrp",
        }
    }
}

/// A configuration, as far as it only takes effect at a start.
pub(super) struct StartupSettings<'a> {
    /// The platform's configuration.
    pub(super) scheduler: &'a SchedulerConfig,
    /// The operator's virtual router, if there is one.
    pub(super) vrrp: Option<&'a VrrpConfig>,
}

impl StartupSettings<'_> {
    /// The settings that have other values in a requested configuration.
    pub(super) fn differing_from(&self, requested: &StartupSettings) -> Vec<StartupSetting> {
        let mut settings = StartupSetting::ALL.to_vec();
        settings.retain(|setting| self.differs(*setting, requested));
        settings
    }

    fn differs(&self, setting: StartupSetting, requested: &StartupSettings) -> bool {
        let present = self.scheduler;
        let new = requested.scheduler;
        match setting {
            // Port 0 leaves the choice to the system, which has made it.
            StartupSetting::Listen => new.listen.port() != 0 && new.listen != present.listen,
            StartupSetting::Name => new.name != present.name,
            StartupSetting::Zones => new.site.zones != present.site.zones,
            StartupSetting::Kinds => new.site.kinds != present.site.kinds,
            StartupSetting::Vrrp => requested.vrrp != self.vrrp,
        }
    }
}

/// A configuration that has passed all checks, and what had to be acquired for it.
struct ValidReload {
    configuration: Configuration,
    jsonrpc: JsonRpcUpdate,
}

/// A reload that was refused for a reason that may pass, and is to be tried again.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReloadRetry {
    /// When it is tried.
    pub(super) due_at: Time,
    /// Tries before that.
    tries: u32,
}

impl Server {
    /// Reads the configuration files again and applies them if both are valid.
    pub(super) fn reload(&mut self) {
        self.try_reload(0);
    }

    /// Tries a refused reload again once that is due.
    pub(super) fn retry_reload(&mut self, now: Time) {
        if let Some(retry) = self.reload_retry.take_if(|retry| retry.due_at <= now) {
            self.try_reload(retry.tries);
        }
    }

    fn try_reload(&mut self, earlier_tries: u32) {
        self.reload_retry = None;
        match self.validate_reload() {
            Ok(reload) => {
                let kept = self.apply_reload(reload);
                self.report_reload(&kept);
            }
            Err(error) => self.refuse_reload(&error, earlier_tries),
        }
    }

    fn refuse_reload(&mut self, error: &ReloadError, earlier_tries: u32) {
        if earlier_tries == 0 {
            warn!("reload refused why=\"{error}\"");
        } else {
            debug!("reload still refused tries={earlier_tries} why=\"{error}\"");
        }
        if error.may_pass() && earlier_tries < MAX_RETRIES {
            self.reload_retry = Some(ReloadRetry {
                due_at: self.reactor.now() + RETRY_BACKOFF.delay(earlier_tries),
                tries: earlier_tries + 1,
            });
        }
    }

    fn validate_reload(&mut self) -> Result<ValidReload, ReloadError> {
        let configuration = self.sources.load()?;
        let jsonrpc = self
            .acceptor
            .prepare_jsonrpc(configuration.operator.jsonrpc.as_ref(), &mut self.reactor)
            .map_err(ReloadError::JsonRpcSocket)?;
        Ok(ValidReload {
            configuration,
            jsonrpc,
        })
    }

    /// Applies a configuration; the settings that keep their values although the files have others.
    fn apply_reload(&mut self, reload: ValidReload) -> Vec<StartupSetting> {
        let Configuration {
            scheduler: mut config,
            operator,
        } = reload.configuration;
        let requested = StartupSettings {
            scheduler: &config,
            vrrp: operator.vrrp.as_ref(),
        };
        let kept = self.startup_settings().differing_from(&requested);
        self.keep_startup_settings(&mut config);
        self.acceptor.apply_jsonrpc(reload.jsonrpc, &mut self.reactor);
        let now = self.reactor.now();
        let known = std::mem::take(&mut config.known_events);
        self.config = config;
        self.reactor
            .shared
            .scheduler
            .reconfigure(now, self.config.site.clone());
        self.apply_limits();
        self.set_configured_workers(now, &operator);
        self.reload_discovery(now, known);
        kept
    }

    fn apply_limits(&mut self) {
        let worker_limits = limits::worker_limits(&self.config);
        self.pool.configure(worker_limits, &mut self.reactor);
        limits::limit_memory(&self.config, &mut self.reactor);
        self.acceptor.set_limits(limits::client_limits(&self.config));
    }

    /// The values in use of the settings that only take effect at a start.
    fn startup_settings(&self) -> StartupSettings<'_> {
        StartupSettings {
            scheduler: &self.config,
            vrrp: self.leader_election.as_ref().map(LeaderElection::config),
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
            warn!("reload kept what={}", setting.name());
        }
        info!("reloaded offset={}", self.discovery.last_offset());
    }
}
