//! The configuration: the platform's JSON file with the site's settings in it, and the operator's TOML file.
//!
//! Each document has a deserialized form, in which keys and words are those of the document, and a checked
//! form, which is what the rest of the program uses.

mod error;
mod operator_file;
mod scheduler_file;
mod settings;

pub use error::{ConfigDocument, ConfigError, ConfigProblem};
pub use operator_file::{
    JsonRpcConfig, JsonRpcWorkerConfig, JsonRpcWorkerEndpoint, OperatorConfig, VrrpConfig,
    parse_operator_config,
};
pub use scheduler_file::{SchedulerConfig, parse_scheduler_config};
pub use settings::{parse_settings, parse_site};

use crate::model::WorkerId;
use std::path::{Path, PathBuf};

/// Digits of a worker's id after its prefix.
const WORKER_ID_DIGITS: usize = 8;

/// Where the configuration is read from: at the start, and again on SIGHUP.
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
    /// The operator's file; empty where there is none.
    pub operator: OperatorConfig,
}

impl ConfigSources {
    /// Reads both files. There is a result only if all of both can be used.
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
    .within(document)
}

/// The worker that the files name by `s-` and 8 hexadecimal digits.
fn parse_worker_id(id: &str) -> Option<WorkerId> {
    let digits = id.strip_prefix("s-")?;
    let well_formed = digits.len() == WORKER_ID_DIGITS && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !well_formed {
        return None;
    }
    u64::from_str_radix(digits, 16).ok().map(WorkerId)
}
