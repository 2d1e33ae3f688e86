//! The site's settings: JSON as the platform's file contains it and as the simulator sends it (page WIRE,
//! "Start-up settings").

mod classes;
mod convert;
mod document;

use super::error::{ConfigDocument, ConfigError, ConfigProblem};
use crate::model::{Settings, Site};
use document::SettingsDocument;

/// Parses the settings that the policy needs.
///
/// # Errors
///
/// A required key is missing, or a value has another type or is not among those listed for its key.
pub fn parse_settings(json: &[u8]) -> Result<Settings, ConfigError> {
    parse_site(json).map(|site| site.settings)
}

/// Parses the settings with what connections need of them.
///
/// # Errors
///
/// As [`parse_settings`].
pub fn parse_site(json: &[u8]) -> Result<Site, ConfigError> {
    parse(json).map_err(|problem| problem.in_document(ConfigDocument::Settings))
}

fn parse(json: &[u8]) -> Result<Site, ConfigProblem> {
    let document: SettingsDocument = serde_json::from_slice(json)?;
    document.try_into()
}
