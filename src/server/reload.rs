//! Reload of the configuration files on SIGHUP: validate, then apply, then report what was kept.
//!
//! Both files are read and checked as a whole before anything of them is used; where one is bad, everything
//! stays as it was. Requests in flight and connections go on in any case.

use super::jsonrpc_listener::JsonRpcUpdate;
use super::leader::LeaderElection;
use super::startup_settings::{StartupSetting, StartupSettings};
use super::transient::is_transient;
use super::{Server, limits};
use crate::collections::ExponentialBackoff;
use crate::config::{ConfigError, ConfigProblem, Configuration, SchedulerConfig};
use crate::model::{Span, Time};
use std::io;
use thiserror::Error;
use tracing::{debug, info, warn};

/// Delays before a rejected reload is retried. What the signal announced counts as known 4 s after it (page TERMS).
const RETRY_BACKOFF: ExponentialBackoff = ExponentialBackoff::new(Span::from_millis(100), 4);
/// How often a rejected reload is retried: for 3.1 s in all.
const MAX_RETRIES: u32 = 5;

/// Why a reload is rejected.
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
    fn is_transient(&self) -> bool {
        match self {
            ReloadError::Configuration(error) => matches!(
                error.problem,
                ConfigProblem::Unreadable { .. } | ConfigProblem::Json(_) | ConfigProblem::Toml(_)
            ),
            ReloadError::JsonRpcSocket(error) => is_transient(error),
        }
    }
}

/// A configuration that has passed all checks, and what had to be acquired for it.
struct ValidReload {
    configuration: Configuration,
    jsonrpc: JsonRpcUpdate,
}

/// A reload that was rejected for a transient reason, and is to be retried.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReloadRetry {
    /// When it is retried.
    pub(super) due_at: Time,
    /// Attempts before that.
    earlier_attempts: u32,
}

impl Server {
    /// Reads the configuration files again and applies them if both are valid.
    pub(super) fn reload(&mut self) {
        self.try_reload(0);
    }

    /// Retries a rejected reload once that is due.
    pub(super) fn retry_reload(&mut self, now: Time) {
        if let Some(retry) = self.reload_retry.take_if(|retry| retry.due_at <= now) {
            self.try_reload(retry.earlier_attempts);
        }
    }

    fn try_reload(&mut self, earlier_attempts: u32) {
        self.reload_retry = None;
        match self.validate_reload() {
            Ok(reload) => {
                let kept = self.apply_reload(reload);
                self.report_reload(&kept);
            }
            Err(error) => self.reject_reload(&error, earlier_attempts),
        }
    }

    fn reject_reload(&mut self, error: &ReloadError, earlier_attempts: u32) {
        let cause = error.to_string();
        if earlier_attempts == 0 {
            warn!(cause = cause.as_str(), "reload rejected");
        } else {
            debug!(earlier_attempts, cause = cause.as_str(), "reload retry rejected");
        }
        if error.is_transient() && earlier_attempts < MAX_RETRIES {
            self.reload_retry = Some(ReloadRetry {
                due_at: self.reactor.now() + RETRY_BACKOFF.delay(earlier_attempts),
                earlier_attempts: earlier_attempts + 1,
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
            warn!(setting = setting.name(), "setting kept until restart");
        }
        info!(offset = self.discovery.last_offset(), "reloaded");
    }
}
