//! Plays seeded schedules of overlapping faults against real schedulers on loopback, and checks from outside that they
//! keep their promises.
//!
//! The same seed gives the same schedule. The world itself, real processes on real sockets, differs from play to play.

mod client;
mod discovery;
mod faults;
mod invariants;
mod lateness;
mod proxy;
mod recorder;
mod report;
mod run;
mod schedule;
mod scheduler;
mod settings;
mod switches;
#[cfg(test)]
mod tests;
mod wire;
mod worker;

use anyhow::{Context, Result};
use clap::{Args, Parser, Subcommand};
use report::Coverage;
use run::Size;
use schedule::{FaultKind, PlannedFault, schedule};
use scheduler::Programs;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Exit status where a promise was broken.
const BROKEN: u8 = 1;
/// Exit status where a run was not possible.
const NOT_RUN: u8 = 2;

/// Plays overlapping faults against real schedulers and checks their promises.
#[derive(Parser)]
#[command(
    version,
    after_help = "Exit status: 0 all promises kept, 1 one was broken, 2 a run was not possible."
)]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays the schedules of some seeds, one after another.
    Run(RunArguments),
    /// Prints the schedule of a seed.
    Show(ScheduleArguments),
}

#[derive(Args)]
struct ScheduleArguments {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Seconds in which faults begin.
    #[arg(long, default_value_t = 7.0)]
    seconds: f64,
    /// Play only these kinds of faults.
    #[arg(long, value_enum, value_delimiter = ',')]
    kinds: Vec<FaultKind>,
}

#[derive(Args)]
struct RunArguments {
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
    fn schedule_of(&self, seed: u64) -> Vec<PlannedFault> {
        schedule(
            seed,
            Duration::from_secs_f64(self.seconds.clamp(0.0, 3_600.0)),
            &self.kinds,
        )
    }
}

impl RunArguments {
    fn programs(&self) -> Result<Programs> {
        let own = std::env::current_exe()?;
        let folder = own.parent().context("this program lies in no folder")?;
        let beside = |given: &Option<PathBuf>, name: &str| given.clone().unwrap_or_else(|| folder.join(name));
        let programs = Programs {
            scheduler: beside(&self.program, "function-scheduler"),
            shim: beside(&self.shim, "libfault_shim.so"),
            log_level: self.log_level.clone(),
        };
        for path in [&programs.scheduler, &programs.shim] {
            anyhow::ensure!(
                path.is_file(),
                "{} is missing: build the workspace",
                path.display()
            );
        }
        Ok(programs)
    }

    fn size(&self) -> Size {
        Size {
            schedulers: usize::from(self.schedulers),
            workers: usize::from(self.workers),
            clients_per_scheduler: usize::from(self.clients),
        }
    }

    async fn run(&self) -> Result<Coverage> {
        let programs = self.programs()?;
        let mut coverage = Coverage::default();
        for seed in self.schedule.seed..self.schedule.seed.saturating_add(self.seeds) {
            let faults = self.schedule.schedule_of(seed);
            fastrand::seed(seed);
            let outcome = run::play(seed, &self.size(), &programs, &faults).await?;
            report::print_outcome(seed, &outcome);
            coverage.add(seed, &faults, &outcome);
        }
        Ok(coverage)
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    match CommandLine::parse().command {
        Command::Show(arguments) => {
            for fault in arguments.schedule_of(arguments.seed) {
                println!("{fault}");
            }
            ExitCode::SUCCESS
        }
        Command::Run(arguments) => match arguments.run().await {
            Ok(coverage) => {
                coverage.print();
                ExitCode::from(if coverage.has_findings() { BROKEN } else { 0 })
            }
            Err(error) => {
                eprintln!("fault-soak: {error:#}");
                ExitCode::from(NOT_RUN)
            }
        },
    }
}
