//! The command line interface.

use crate::environment::{EnvironmentSize, LaunchOptions};
use crate::faults::{FaultKind, PlannedFault, schedule};
use anyhow::{Context, Result};
use clap::{Args, Parser, Subcommand};
use std::ops::Range;
use std::path::PathBuf;
use std::time::Duration;

/// The upper bound of `--seconds`. A larger argument is reduced to it.
const MAX_SECONDS: f64 = 3_600.0;

/// Injects overlapping faults into real schedulers and checks their invariants.
#[derive(Parser)]
#[command(
    version,
    after_help = "Exit status: 0 if no invariant was violated, 1 if any was, 2 if a run was not possible."
)]
pub(crate) struct CommandLine {
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Runs the fault schedules of one or more seeds, one after another.
    Run(RunArguments),
    /// Prints the fault schedule of a seed.
    Show(ScheduleArguments),
    /// Lists the kinds of faults.
    Kinds,
}

#[derive(Args)]
pub(crate) struct ScheduleArguments {
    /// Seed of the schedule. If several seeds are run, this is the first one.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Length of the period in which faults start, in seconds.
    #[arg(long, default_value_t = 7.0)]
    seconds: f64,
    /// Inject only these kinds of faults.
    #[arg(long, value_enum, value_delimiter = ',')]
    kinds: Vec<FaultKind>,
}

#[derive(Args)]
pub(crate) struct RunArguments {
    #[command(flatten)]
    schedule: ScheduleArguments,
    /// Number of consecutive seeds to run.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Number of schedulers, each a separate process.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u8).range(1..=40))]
    schedulers: u8,
    /// Number of stand-in workers.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u8).range(1..=40))]
    workers: u8,
    /// Number of stand-in clients per scheduler.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u8).range(1..=20))]
    clients: u8,
    /// Path of the scheduler program; by default the one in this program's directory.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Path of the fault injection library; by default the one in this program's directory.
    #[arg(long)]
    shim: Option<PathBuf>,
    /// Minimum severity of the schedulers' log lines.
    #[arg(long, default_value = "info")]
    log_level: String,
}

impl ScheduleArguments {
    /// Returns the schedule that a seed has with these arguments.
    pub(crate) fn schedule_of(&self, seed: u64) -> Vec<PlannedFault> {
        let length = Duration::from_secs_f64(self.seconds.clamp(0.0, MAX_SECONDS));
        schedule(seed, length, &self.kinds)
    }
}

impl RunArguments {
    /// Returns the seeds to run.
    pub(crate) fn seeds(&self) -> Range<u64> {
        let first = self.schedule.seed;
        first..first.saturating_add(self.seeds)
    }

    /// Returns the schedule of a seed.
    pub(crate) fn schedule_of(&self, seed: u64) -> Vec<PlannedFault> {
        self.schedule.schedule_of(seed)
    }

    /// Returns the options for starting schedulers.
    ///
    /// Returns an error if the scheduler program or the fault injection library is missing.
    pub(crate) fn launch_options(&self) -> Result<LaunchOptions> {
        let own_path = std::env::current_exe()?;
        let folder = own_path
            .parent()
            .context("this program's path has no parent directory")?;
        let path_or_default =
            |given: &Option<PathBuf>, name: &str| given.clone().unwrap_or_else(|| folder.join(name));
        let options = LaunchOptions {
            program: path_or_default(&self.program, "function-scheduler"),
            shim: path_or_default(&self.shim, "libfault_shim.so"),
            log_level: self.log_level.clone(),
        };
        for path in [&options.program, &options.shim] {
            let path_text = path.display();
            anyhow::ensure!(path.is_file(), "{path_text} is missing: build the workspace");
        }
        Ok(options)
    }

    /// Returns the size of the environment.
    pub(crate) fn environment_size(&self) -> EnvironmentSize {
        EnvironmentSize {
            schedulers: usize::from(self.schedulers),
            workers: usize::from(self.workers),
            clients_per_scheduler: usize::from(self.clients),
        }
    }
}
