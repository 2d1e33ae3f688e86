//! Reload of the configuration files on SIGHUP: validates the files, applies them, and logs the settings
//! that keep their values.
//!
//! Both files are read and checked completely before any part of them is applied. If either is invalid,
//! nothing changes. Requests in flight and open connections continue in any case.

use super::jsonrpc_listener::JsonRpcUpdate;
use super::leader::LeaderElection;
use super::memory_budget::MemoryBudget;
use super::startup_settings::{StartupSetting, StartupSettings};
use super::transient::is_transient;
use super::{Server, limits};
use crate::collections::ExponentialBackoff;
use crate::config::{ConfigError, ConfigProblem, Configuration, SchedulerConfig};
use crate::model::{Span, Time};
use std::io;
use thiserror::Error;
use tracing::{debug, info, warn};

/// Delays before a rejected reload is retried. A change announced by the signal counts as known 4 s after it
/// (page TERMS), so the retries end before that.
const RETRY_BACKOFF: ExponentialBackoff = ExponentialBackoff::new(Span::from_millis(100), 4);
/// Maximum number of retries of a rejected reload; with [`RETRY_BACKOFF`] they span 3.1 s.
const MAX_RETRIES: u32 = 5;

/// The reason for rejecting a reload.
#[derive(Debug, Error)]
enum ReloadError {
    /// One of the files is unreadable or invalid.
    #[error(transparent)]
    Configuration(#[from] ConfigError),
    /// The socket of the JSON-RPC frontend cannot be bound, or the mode of its file cannot be set.
    #[error(transparent)]
    JsonRpcSocket(io::Error),
}

impl ReloadError {
    /// Returns whether the same reload may succeed if retried: a file is unreadable or possibly half
    /// written, or the system is short of a resource.
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

/// A validated configuration together with the resources acquired for it.
struct ValidReload {
    configuration: Configuration,
    jsonrpc: JsonRpcUpdate,
}

/// A pending retry of a reload that was rejected for a transient reason.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReloadRetry {
    /// Time of the retry.
    pub(super) due_at: Time,
    /// Number of attempts so far.
    earlier_attempts: u32,
}

impl Server {
    /// Reads the configuration files again and applies them if both are valid.
    pub(super) fn reload(&mut self) {
        self.try_reload(0);
    }

    /// Retries a rejected reload if the retry is due.
    pub(super) fn retry_reload(&mut self, now: Time) {
        if let Some(retry) = self.reload_retry.take_if(|retry| retry.due_at <= now) {
            self.try_reload(retry.earlier_attempts);
        }
    }

    fn try_reload(&mut self, earlier_attempts: u32) {
        self.reload_retry = None;
        match self.validate_reload() {
            Ok(reload) => {
                let kept_settings = self.apply_reload(reload);
                self.report_reload(&kept_settings);
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

    /// Applies a configuration. Returns the settings that keep their current values although the files
    /// changed them.
    fn apply_reload(&mut self, reload: ValidReload) -> Vec<StartupSetting> {
        let Configuration {
            scheduler: mut config,
            operator,
        } = reload.configuration;
        let requested = StartupSettings {
            scheduler: &config,
            vrrp: operator.vrrp.as_ref(),
        };
        let kept_settings = self.startup_settings().differing_from(&requested);
        self.keep_startup_settings(&mut config);
        self.acceptor.apply_jsonrpc(reload.jsonrpc, &mut self.reactor);
        let now = self.reactor.now();
        let known_events = std::mem::take(&mut config.known_events);
        self.config = config;
        self.reactor
            .shared
            .scheduler
            .reconfigure(now, self.config.site.clone());
        self.apply_limits();
        self.set_configured_workers(now, &operator);
        self.reload_discovery(now, known_events);
        kept_settings
    }

    fn apply_limits(&mut self) {
        let worker_limits = limits::worker_limits(&self.config);
        self.pool.configure(worker_limits, &mut self.reactor);
        let client_limits = limits::client_limits(&self.config);
        let budget = MemoryBudget::new(self.config.memory_mb);
        budget.apply(client_limits.guaranteed, &mut self.reactor);
        self.acceptor.set_limits(client_limits);
    }

    /// Returns the current values of the settings that take effect only at startup.
    fn startup_settings(&self) -> StartupSettings<'_> {
        StartupSettings {
            scheduler: &self.config,
            vrrp: self.leader_election.as_ref().map(LeaderElection::config),
        }
    }

    /// Copies the current values of the settings that take effect only at startup into a new configuration.
    fn keep_startup_settings(&self, config: &mut SchedulerConfig) {
        config.listen = self.config.listen;
        config.name.clone_from(&self.config.name);
        config.site.zones.clone_from(&self.config.site.zones);
        config.site.kinds.clone_from(&self.config.site.kinds);
    }

    fn report_reload(&self, kept_settings: &[StartupSetting]) {
        for setting in kept_settings {
            warn!(setting = setting.name(), "setting kept until restart");
        }
        info!(offset = self.discovery.last_offset(), "reloaded");
    }
}
