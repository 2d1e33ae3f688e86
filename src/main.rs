//! The scheduler as a program: reads its configuration and serves until a signal ends it.
#![forbid(unsafe_code)]

use function_scheduler::config::{ConfigError, ConfigSources};
use function_scheduler::logging::Log;
use function_scheduler::server::{self, ServerError, Signals};
use std::ffi::OsString;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use thiserror::Error;

/// The environment variable that names the platform's configuration file.
const CONFIG_VARIABLE: &str = "GW_CONFIG";
/// The option that names the operator's file.
const OPERATOR_OPTION: &str = "--operator";

/// Why the program ends without success.
#[derive(Debug, Error)]
enum StartError {
    #[error("usage: function-scheduler [--operator FILE]")]
    Usage,
    #[error("{CONFIG_VARIABLE} names no configuration")]
    NoConfiguration,
    #[error(transparent)]
    Configuration(ConfigError),
    #[error("cannot serve: {0}")]
    SignalHandlers(io::Error),
    #[error("cannot serve: {0}")]
    Serve(ServerError),
}

fn main() -> ExitCode {
    let signals = Signals::install();
    let _log = Log::open();
    let result = signals
        .map_err(StartError::SignalHandlers)
        .and_then(|signals| start(&signals));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn start(signals: &Signals) -> Result<(), StartError> {
    let arguments: Vec<OsString> = std::env::args_os().skip(1).collect();
    let operator_file = operator_file(&arguments)?;
    let scheduler_file = std::env::var_os(CONFIG_VARIABLE)
        .ok_or(StartError::NoConfiguration)?
        .into();
    let sources = ConfigSources {
        scheduler_file,
        operator_file,
    };
    server::run(&sources, signals).map_err(|error| match error {
        ServerError::Configuration(error) => StartError::Configuration(error),
        error => StartError::Serve(error),
    })
}

/// The operator's file, if the arguments name one.
fn operator_file(arguments: &[OsString]) -> Result<Option<PathBuf>, StartError> {
    match arguments {
        [] => Ok(None),
        [option, path] if option == OPERATOR_OPTION => Ok(Some(path.into())),
        _ => Err(StartError::Usage),
    }
}
