//! The platform's JSON file, whose path is in `GW_CONFIG` (page DEPLOY).

mod document;
mod known_events;

use super::error::{ConfigDocument, ConfigError, ConfigProblem};
use super::parse_site;
use crate::discovery::WatchEvent;
use crate::model::Site;
use document::{LimitsDocument, SchedulerDocument};
use std::net::SocketAddr;

/// Default limit on the file descriptors that the process may hold.
const DEFAULT_MAX_DESCRIPTORS: usize = 1024;
/// Default limit on the memory that the process may use, in MB.
const DEFAULT_MEMORY_MB: usize = 192;
/// Smallest memory limit, in MB; a lower value in the file is raised to it.
const MIN_MEMORY_MB: f64 = 1.0;
/// Largest memory limit, in MB; a higher value in the file is lowered to it.
const MAX_MEMORY_MB: f64 = 1e6;

/// Configuration of a scheduler in the platform's file.
#[derive(Clone, Debug)]
pub struct SchedulerConfig {
    /// Name of the scheduler, which stays the same across restarts.
    pub name: String,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// Seed of the random number generator; 0 if the file has none, or one that is not hexadecimal or exceeds
    /// 64 bits.
    pub seed: u64,
    /// Number of file descriptors that the process may hold.
    pub max_descriptors: usize,
    /// Memory that the process may use, in MB: 1 to 1,000,000.
    pub memory_mb: usize,
    /// Address of the discovery service, which publishes the endpoint list; `None` if there is no service.
    pub discovery_service: Option<SocketAddr>,
    /// The watch events that had been published when the file was written, sorted by offset.
    pub known_events: Vec<WatchEvent>,
    /// The site's settings.
    pub site: Site,
}

/// Parses the platform's file.
///
/// # Errors
///
/// Returns an error if a required key is missing, or a value is unknown or has the wrong type, in the file
/// itself or in the settings that it embeds.
pub fn parse_scheduler_config(json: &[u8]) -> Result<SchedulerConfig, ConfigError> {
    let document: SchedulerDocument = serde_json::from_slice(json).map_err(|error| invalid(error.into()))?;
    // The settings are parsed from their own text, so that errors state a position within the settings, as
    // they do for settings that the simulator sends.
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

/// Returns the memory limit in whole MB, clamped to its range.
fn memory_limit(limits: &LimitsDocument) -> usize {
    limits.memory_mb.map_or(DEFAULT_MEMORY_MB, |megabytes| {
        megabytes.clamp(MIN_MEMORY_MB, MAX_MEMORY_MB) as usize
    })
}
