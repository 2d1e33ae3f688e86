//! The configuration: the platform's JSON file with the site's settings in it, and the operator's TOML file.
//!
//! Each document has a deserialized form, in its module `document`, where keys and values are named as in the
//! file, and a checked form, which is what the rest of the program uses.

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

/// The files from which the configuration is read: at the start, and again on SIGHUP.
#[derive(Clone, Debug)]
pub struct ConfigSources {
    /// The platform's configuration file.
    pub scheduler_file: PathBuf,
    /// The operator's file, if there is one.
    pub operator_file: Option<PathBuf>,
}

/// Both files, read and checked.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// The platform's configuration.
    pub scheduler: SchedulerConfig,
    /// The operator's; empty where there is no file.
    pub operator: OperatorConfig,
}

impl ConfigSources {
    /// Reads and checks both files. A problem in either file is an error for both.
    ///
    /// # Errors
    ///
    /// The first problem found, the operator's file being read first.
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
