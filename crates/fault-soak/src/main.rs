//! Injects seeded schedules of overlapping faults into real schedulers on loopback and checks their
//! invariants from the outside.
//!
//! A seed always gives the same schedule. The timing still differs from run to run, because the environment
//! consists of real processes and real sockets.
//!
//! The modules, each of which depends only on those below it:
//!
//! - `command_line`, `coverage` and `report` are the user interface.
//! - [`run`] executes one schedule and checks its result.
//! - [`faults`] defines the fault kinds, generates the schedules and injects the faults.
//! - [`invariants`] is the test oracle: it checks the records of a run for violations.
//! - [`environment`] runs the schedulers, with stand-ins for the workers, networks, discovery and clients.
//! - [`recorder`], `request` and `timer_lag` hold the observations of a run.

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

/// The exit status if an invariant was violated.
const VIOLATED: u8 = 1;
/// The exit status if a run was not possible.
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
