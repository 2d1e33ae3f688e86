//! The command line.

use crate::environment::{EnvironmentSize, LaunchOptions};
use crate::faults::{FaultKind, PlannedFault, schedule};
use anyhow::{Context, Result};
use clap::{Args, Parser, Subcommand};
use std::ops::Range;
use std::path::PathBuf;
use std::time::Duration;

/// Longest time in which faults start, in seconds.
const MAX_SECONDS: f64 = 3_600.0;

/// Injects overlapping faults into real schedulers and checks their invariants.
#[derive(Parser)]
#[command(
    version,
    after_help = "Exit status: 0 no invariant was violated, 1 one was, 2 a run was not possible."
)]
pub(crate) struct CommandLine {
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Runs the schedules of some seeds, one after another.
    Run(RunArguments),
    /// Prints the schedule of a seed.
    Show(ScheduleArguments),
    /// Lists the kinds of faults.
    Kinds,
}

#[derive(Args)]
pub(crate) struct ScheduleArguments {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Seconds in which faults start.
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
    /// How many seeds, counting up.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Schedulers, each a process of its own.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u8).range(1..=40))]
    schedulers: u8,
    /// Stand-in workers.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u8).range(1..=40))]
    workers: u8,
    /// Clients of each scheduler.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u8).range(1..=20))]
    clients: u8,
    /// The scheduler; by default the one beside this program.
    #[arg(long)]
    program: Option<PathBuf>,
    /// The library that injects faults into it; by default the one beside this program.
    #[arg(long)]
    shim: Option<PathBuf>,
    /// Least severe level of the schedulers' logs.
    #[arg(long, default_value = "info")]
    log_level: String,
}

impl ScheduleArguments {
    /// The schedule of a seed with these arguments.
    pub(crate) fn schedule_of(&self, seed: u64) -> Vec<PlannedFault> {
        let length = Duration::from_secs_f64(self.seconds.clamp(0.0, MAX_SECONDS));
        schedule(seed, length, &self.kinds)
    }
}

impl RunArguments {
    /// The seeds to run.
    pub(crate) fn seeds(&self) -> Range<u64> {
        let first = self.schedule.seed;
        first..first.saturating_add(self.seeds)
    }

    /// The schedule of a seed.
    pub(crate) fn schedule_of(&self, seed: u64) -> Vec<PlannedFault> {
        self.schedule.schedule_of(seed)
    }

    /// How the schedulers are started. Fails if a file of the build is missing.
    pub(crate) fn launch_options(&self) -> Result<LaunchOptions> {
        let own_path = std::env::current_exe()?;
        let folder = own_path.parent().context("this program lies in no folder")?;
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

    /// The size of the environment.
    pub(crate) fn environment_size(&self) -> EnvironmentSize {
        EnvironmentSize {
            schedulers: usize::from(self.schedulers),
            workers: usize::from(self.workers),
            clients_per_scheduler: usize::from(self.clients),
        }
    }
}
