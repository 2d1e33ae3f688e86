//! Configuration: the platform's JSON file, which embeds the site's settings, and the operator's TOML file.
//!
//! Each document is deserialized into the types of its `document` module, where keys and values are named as
//! in the file, and then converted to validated types, which the rest of the program uses.

mod error;
mod operator_file;
mod scheduler_file;
mod settings;
mod worker;

pub use error::{ConfigDocument, ConfigError, ConfigProblem};
pub use operator_file::{
    JsonRpcConfig, JsonRpcWorkerConfig, JsonRpcWorkerEndpoint, OperatorConfig, VrrpConfig,
    parse_operator_config,
};
pub use scheduler_file::{SchedulerConfig, parse_scheduler_config};
pub use settings::{parse_settings, parse_site};

use std::path::{Path, PathBuf};

/// Paths of the files from which the configuration is read at startup and on SIGHUP.
#[derive(Clone, Debug)]
pub struct ConfigSources {
    /// The platform's configuration file.
    pub scheduler_file: PathBuf,
    /// The operator's file, if there is one.
    pub operator_file: Option<PathBuf>,
}

/// The validated contents of both configuration files.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// The platform's configuration.
    pub scheduler: SchedulerConfig,
    /// The operator's configuration; empty if there is no operator's file.
    pub operator: OperatorConfig,
}

impl ConfigSources {
    /// Reads and validates both files.
    ///
    /// # Errors
    ///
    /// Returns the first problem found in either file. The operator's file is read first.
    pub fn load(&self) -> Result<Configuration, ConfigError> {
        let operator = match &self.operator_file {
            Some(path) => load_operator_config(path)?,
            None => OperatorConfig::default(),
        };
        let scheduler = load_scheduler_config(&self.scheduler_file)?;
        Ok(Configuration { scheduler, operator })
    }
}

fn load_operator_config(path: &Path) -> Result<OperatorConfig, ConfigError> {
    let toml = std::fs::read_to_string(path)
        .map_err(|source| unreadable(ConfigDocument::OperatorFile, path, source))?;
    parse_operator_config(&toml)
}

fn load_scheduler_config(path: &Path) -> Result<SchedulerConfig, ConfigError> {
    let json =
        std::fs::read(path).map_err(|source| unreadable(ConfigDocument::SchedulerFile, path, source))?;
    parse_scheduler_config(&json)
}

fn unreadable(document: ConfigDocument, path: &Path, source: std::io::Error) -> ConfigError {
    ConfigProblem::Unreadable {
        path: path.to_owned(),
        source,
    }
    .in_document(document)
}
