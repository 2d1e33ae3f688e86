//! Injects seeded schedules of overlapping faults into real schedulers on loopback, and checks their
//! invariants from outside.
//!
//! The same seed gives the same schedule. The environment, real processes on real sockets, differs from run
//! to run.
//!
//! The modules, each of which depends on those below it only:
//!
//! - `command_line`, `coverage` and `report` are what a user sees.
//! - [`run`] plays one schedule from its start to the verdict.
//! - [`faults`] has the kinds of faults, the schedules, and how each kind is injected.
//! - [`invariants`] is the oracle: it judges the records of a run.
//! - [`environment`] runs the schedulers, with stand-ins for workers, networks, discovery and clients.
//! - [`recorder`], `request` and `timer_lag` hold what was observed.

mod command_line;
mod coverage;
mod environment;
mod faults;
mod invariants;
mod recorder;
mod report;
mod request;
mod run;
mod timer_lag;

use anyhow::Result;
use clap::{Parser, ValueEnum};
use command_line::{Command, CommandLine, RunArguments, ScheduleArguments};
use coverage::Coverage;
use faults::FaultKind;
use std::process::ExitCode;

/// Exit status if an invariant was violated.
const VIOLATED: u8 = 1;
/// Exit status if a run was not possible.
const NOT_RUN: u8 = 2;

#[tokio::main]
async fn main() -> ExitCode {
    match CommandLine::parse().command {
        Command::Run(arguments) => run_seeds(&arguments).await.unwrap_or_else(|error| {
            eprintln!("fault-soak: {error:#}");
            ExitCode::from(NOT_RUN)
        }),
        Command::Show(arguments) => {
            print_schedule(&arguments);
            ExitCode::SUCCESS
        }
        Command::Kinds => {
            print_kinds();
            ExitCode::SUCCESS
        }
    }
}

async fn run_seeds(arguments: &RunArguments) -> Result<ExitCode> {
    let launch = arguments.launch_options()?;
    let size = arguments.environment_size();
    let mut coverage = Coverage::default();
    for seed in arguments.seeds() {
        let schedule = arguments.schedule_of(seed);
        fastrand::seed(seed);
        let result = run::run(seed, &size, &launch, &schedule).await?;
        report::print(seed, &result);
        coverage.add(seed, &schedule, &result);
    }
    coverage.print();
    Ok(if coverage.has_violations() {
        ExitCode::from(VIOLATED)
    } else {
        ExitCode::SUCCESS
    })
}

fn print_schedule(arguments: &ScheduleArguments) {
    for fault in arguments.schedule_of(arguments.seed) {
        println!("{fault}");
    }
}

fn print_kinds() {
    for kind in FaultKind::value_variants() {
        let (name, description) = kind.name_and_description();
        println!("{name:<26} {description}");
    }
}
