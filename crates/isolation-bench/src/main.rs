//! Measures how long usual clients of a scheduler wait beside a peer that sends at full speed.
//!
//! For each kind of bad peer, the program starts a scheduler with stand-ins for its workers, its discovery service
//! and four usual clients, lets the bad peer send for some seconds, and prints one row of a table: what the usual
//! clients got, how long the turns of the scheduler's event loop took, its peak memory, and how it shuts down while the
//! bad peer still sends. Compare the rows with that of `none`. Everything runs on loopback.
//!
//! - [`deployment`] starts and watches the scheduler's process.
//! - [`core_share`] gives it a share of a core.
//! - [`worker`] and [`discovery`] are the stand-ins that the scheduler connects to.
//! - [`usual_client`] sends requests and measures the responses.
//! - [`bad_peer`] lists the kinds of bad peers, [`bad_client`], [`connector`] and [`advertiser`] play them.
//! - [`frames`] encodes the frames of the client protocol.

mod advertiser;
mod bad_client;
mod bad_peer;
mod connector;
mod core_share;
mod deployment;
mod discovery;
mod frames;
mod scenario;
mod usual_client;
mod worker;

use anyhow::Result;
use bad_peer::BadPeer;
use clap::{Parser, ValueEnum};
use scenario::{Measurement, ScenarioOptions};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// The exit status if a usual request was lost.
const LOST: u8 = 1;
/// The exit status if a run was not possible.
const NOT_RUN: u8 = 2;

/// Measures how long usual clients wait beside peers that send at full speed.
#[derive(Parser)]
#[command(
    version,
    after_help = "Exit status: 0 if no usual request was lost, 1 if any was, 2 if a run was not possible."
)]
struct Arguments {
    /// Kinds of bad peers, each measured alone; by default all.
    #[arg(long, value_enum, value_delimiter = ',')]
    peers: Vec<BadPeer>,
    /// Number of connections of the bad clients.
    #[arg(long, default_value_t = 150, value_parser = clap::value_parser!(u16).range(1..=336))]
    connections: u16,
    /// Limit on the scheduler's descriptors.
    #[arg(long, default_value_t = 1024)]
    descriptors: u32,
    /// Limit on the scheduler's memory, in MB.
    #[arg(long, default_value_t = 192)]
    memory_mb: u32,
    /// Share of a core that the scheduler gets, in periods of 50 ms.
    #[arg(long, default_value_t = 1.0, value_parser = core_share::parse)]
    cores: f64,
    /// Seed of what the bad clients send; by default a random one, which is printed.
    #[arg(long)]
    seed: Option<u64>,
    /// Time for which the bad peer sends, in seconds.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u16).range(1..=600))]
    seconds: u16,
    /// Path of the scheduler program; by default the one in this program's directory.
    #[arg(long)]
    program: Option<PathBuf>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match measure_all(&arguments) {
        Ok(lost) if lost > 0 => ExitCode::from(LOST),
        Ok(_) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("isolation-bench: {error:#}");
            ExitCode::from(NOT_RUN)
        }
    }
}

/// Measures each kind and prints its row. Returns the number of usual requests that were lost.
fn measure_all(arguments: &Arguments) -> Result<usize> {
    let options = ScenarioOptions {
        program: program(arguments)?,
        connections: usize::from(arguments.connections),
        descriptors: arguments.descriptors,
        memory_mb: arguments.memory_mb,
        cores: arguments.cores,
        seed: arguments.seed.unwrap_or_else(|| fastrand::u64(..)),
        length: Duration::from_secs(u64::from(arguments.seconds)),
    };
    let peers = match &arguments.peers[..] {
        [] => BadPeer::value_variants(),
        peers => peers,
    };
    println!("cores {}, seed {}", options.cores, options.seed);
    println!("{}", Measurement::HEADER);
    let mut lost = 0;
    for peer in peers {
        let measurement = scenario::run(*peer, &options)?;
        println!("{measurement}");
        lost += measurement.lost();
    }
    Ok(lost)
}

fn program(arguments: &Arguments) -> Result<PathBuf> {
    let default = std::env::current_exe()?.with_file_name("function-scheduler");
    let program = arguments.program.clone().unwrap_or(default);
    let path = program.display();
    anyhow::ensure!(program.is_file(), "{path} is missing: build the workspace");
    Ok(program)
}
