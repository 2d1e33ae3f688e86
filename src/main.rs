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

/// Why the program ends with [`ExitCode::FAILURE`].
#[derive(Debug, Error)]
enum StartError {
    /// The arguments are neither none nor the option with its value.
    #[error("usage: function-scheduler [{OPERATOR_OPTION} FILE]")]
    Usage,
    /// The environment variable is not set.
    #[error("{CONFIG_VARIABLE} names no configuration")]
    NoConfiguration,
    /// A configuration file cannot be used.
    #[error(transparent)]
    Configuration(ConfigError),
    /// The handlers of signals cannot be installed.
    #[error("cannot serve: {0}")]
    SignalHandlers(io::Error),
    /// The server did not start, or ended with an error.
    #[error("cannot serve: {0}")]
    Serve(ServerError),
}

fn main() -> ExitCode {
    // Before anything else, so that a signal that comes early is not lost.
    let signals = Signals::install().map_err(StartError::SignalHandlers);
    let _log = Log::open();
    match signals.and_then(|signals| start(&signals)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn start(signals: &Signals) -> Result<(), StartError> {
    let sources = config_sources()?;
    server::run(&sources, signals).map_err(|error| match error {
        ServerError::Configuration(error) => StartError::Configuration(error),
        error => StartError::Serve(error),
    })
}

/// The configuration files that the command line and the environment name.
fn config_sources() -> Result<ConfigSources, StartError> {
    let arguments: Vec<OsString> = std::env::args_os().skip(1).collect();
    let operator_file = parse_arguments(&arguments)?;
    let scheduler_file = std::env::var_os(CONFIG_VARIABLE).ok_or(StartError::NoConfiguration)?;
    Ok(ConfigSources {
        scheduler_file: scheduler_file.into(),
        operator_file,
    })
}

/// Parses the arguments after the program's name: the operator's file, if they name one.
fn parse_arguments(arguments: &[OsString]) -> Result<Option<PathBuf>, StartError> {
    match arguments {
        [] => Ok(None),
        [option, path] if option == OPERATOR_OPTION => Ok(Some(path.into())),
        _ => Err(StartError::Usage),
    }
}
