//! The site's settings: JSON that is embedded in the platform's file and that the simulator sends (page WIRE,
//! "Start-up settings").

mod classes;
mod convert;
mod document;

use super::error::{ConfigDocument, ConfigError, ConfigProblem};
use crate::model::{Settings, Site};
use document::SettingsDocument;

/// Parses the settings of the policy.
///
/// # Errors
///
/// Returns an error if a required key is missing, or a value has the wrong type or is not one of those
/// defined for its key.
pub fn parse_settings(json: &[u8]) -> Result<Settings, ConfigError> {
    parse_site(json).map(|site| site.settings)
}

/// Parses all settings: those of the policy and those of connections and requests.
///
/// # Errors
///
/// Returns an error in the same cases as [`parse_settings`].
pub fn parse_site(json: &[u8]) -> Result<Site, ConfigError> {
    parse(json).map_err(|problem| problem.in_document(ConfigDocument::Settings))
}

fn parse(json: &[u8]) -> Result<Site, ConfigProblem> {
    let document: SettingsDocument = serde_json::from_slice(json)?;
    document.try_into()
}
