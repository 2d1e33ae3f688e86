//! The scheduler as a program: reads its configuration and serves until a signal stops it.
#![forbid(unsafe_code)]

use function_scheduler::config::{ConfigError, ConfigSources};
use function_scheduler::logging::Log;
use function_scheduler::server::{self, ServerError, Signals};
use std::ffi::OsString;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use thiserror::Error;

/// Environment variable that holds the path of the platform's configuration file.
const CONFIG_VARIABLE: &str = "GW_CONFIG";
/// Command-line option for the path of the operator's file.
const OPERATOR_OPTION: &str = "--operator";

/// The reason for exiting with [`ExitCode::FAILURE`].
#[derive(Debug, Error)]
enum StartError {
    /// The arguments are invalid.
    #[error("usage: function-scheduler [{OPERATOR_OPTION} FILE]")]
    Usage,
    /// The environment variable with the path of the configuration is not set.
    #[error("environment variable {CONFIG_VARIABLE} is not set")]
    NoConfiguration,
    /// A configuration file is unreadable or invalid.
    #[error(transparent)]
    Configuration(ConfigError),
    /// The signal handlers cannot be installed.
    #[error("cannot serve: {0}")]
    SignalHandlers(io::Error),
    /// The server failed to start or stopped with an error.
    #[error("cannot serve: {0}")]
    Serve(ServerError),
}

/// Keeps blocks of different sizes apart. With the system's allocator, large buffers of many sizes leave gaps between
/// long-lived blocks, and the process holds several times the memory that is in use.
#[global_allocator]
static ALLOCATOR: tikv_jemallocator::Jemalloc = tikv_jemallocator::Jemalloc;

fn main() -> ExitCode {
    // The handlers are installed before anything else, so that no early signal is lost.
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

/// Returns the paths of the configuration files from the command line and the environment.
fn config_sources() -> Result<ConfigSources, StartError> {
    let arguments: Vec<OsString> = std::env::args_os().skip(1).collect();
    let operator_file = parse_arguments(&arguments)?;
    let scheduler_file = std::env::var_os(CONFIG_VARIABLE).ok_or(StartError::NoConfiguration)?;
    Ok(ConfigSources {
        scheduler_file: scheduler_file.into(),
        operator_file,
    })
}

/// Parses the arguments after the program name. Returns the path of the operator's file, if given.
fn parse_arguments(arguments: &[OsString]) -> Result<Option<PathBuf>, StartError> {
    match arguments {
        [] => Ok(None),
        [option, path] if option == OPERATOR_OPTION => Ok(Some(path.into())),
        _ => Err(StartError::Usage),
    }
}
