//! The platform's JSON file, which `GW_CONFIG` names (page DEPLOY).

mod document;
mod known_events;

use super::error::{ConfigDocument, ConfigError, ConfigProblem};
use super::parse_site;
use crate::discovery::WatchEvent;
use crate::model::Site;
use document::{LimitsDocument, SchedulerDocument};
use std::net::SocketAddr;

/// File descriptors that the process may hold where the file gives no limit.
const DEFAULT_MAX_DESCRIPTORS: usize = 1024;
/// Memory that the process may use where the file gives no limit, in MB.
const DEFAULT_MEMORY_MB: usize = 192;
/// Least memory limit, in MB; a smaller one in the file counts as this.
const MIN_MEMORY_MB: f64 = 1.0;
/// Greatest memory limit, in MB; a greater one in the file counts as this.
const MAX_MEMORY_MB: f64 = 1e6;

/// What the platform gives a scheduler at its start.
#[derive(Clone, Debug)]
pub struct SchedulerConfig {
    /// The scheduler's name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Seed of random numbers; 0 where the file has none, or one that is not hexadecimal or above 64 bits.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub max_descriptors: usize,
    /// Memory that the process may use, in MB: 1 to 1,000,000.
    pub memory_mb: usize,
    /// The discovery service, which publishes the endpoint list; absent where there is none.
    pub discovery_service: Option<SocketAddr>,
    /// The watch events up to now, by their offsets.
    pub known_events: Vec<WatchEvent>,
    /// The site.
    pub site: Site,
}

/// Parses the platform's file.
///
/// # Errors
///
/// What is missing, has another type, or is a value that is not known, in the file itself or in the settings
/// that it contains.
pub fn parse_scheduler_config(json: &[u8]) -> Result<SchedulerConfig, ConfigError> {
    let document: SchedulerDocument = serde_json::from_slice(json).map_err(|error| invalid(error.into()))?;
    // Errors of the settings give positions in this text, as for the settings that the simulator sends.
    let site = parse_site(document.settings.to_string().as_bytes())?;
    let known_events = known_events::parse(&document.known, &site).map_err(invalid)?;
    Ok(SchedulerConfig {
        name: document.name,
        listen: document.listen,
        seed: u64::from_str_radix(&document.seed, 16).unwrap_or_default(),
        max_descriptors: document.limits.max_descriptors.unwrap_or(DEFAULT_MAX_DESCRIPTORS),
        memory_mb: memory_limit(&document.limits),
        discovery_service: document.discovery_service,
        known_events,
        site,
    })
}

fn invalid(problem: ConfigProblem) -> ConfigError {
    problem.in_document(ConfigDocument::SchedulerFile)
}

/// The memory limit in whole MB, inside its range.
fn memory_limit(limits: &LimitsDocument) -> usize {
    limits.memory_mb.map_or(DEFAULT_MEMORY_MB, |megabytes| {
        megabytes.clamp(MIN_MEMORY_MB, MAX_MEMORY_MB) as usize
    })
}
