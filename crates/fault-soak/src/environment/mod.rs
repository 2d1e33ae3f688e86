//! The test environment of a run: real scheduler processes, and stand-ins for everything they talk to.
//!
//! The environment owns the processes, sockets and tasks. The faults act on it, and its clients, workers and
//! processes record what they observe.
//!
//! - [`scheduler`] manages a scheduler under test: its files, its log and its process.
//! - [`client`], [`worker`] and [`discovery`] are the stand-ins that the schedulers talk to.
//! - [`proxy`] stands in for the network between the schedulers and a worker.
//! - [`switches`] turns faults of the stand-ins on and off.
//! - [`settings`] generates the configuration of the schedulers.
//! - [`health`] checks the idle schedulers at the end of a run.

mod client;
mod discovery;
mod frame_codec;
mod health;
mod listener;
mod proxy;
mod scheduler;
pub(crate) mod settings;
mod switches;
mod worker;

pub(crate) use discovery::WorkerState;
pub(crate) use scheduler::{LaunchOptions, Scheduler};
pub(crate) use switches::FaultSwitch;

use crate::recorder::Recorder;
use anyhow::Result;
use client::Clients;
use discovery::Discovery;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use worker::Worker;

/// Number of additional clients that [`Environment::run_crowd`] starts.
const CROWD_CLIENTS: usize = 30;

/// The numbers of schedulers, stand-in workers and stand-in clients in an environment.
#[derive(Clone, Debug)]
pub(crate) struct EnvironmentSize {
    pub(crate) schedulers: usize,
    pub(crate) workers: usize,
    pub(crate) clients_per_scheduler: usize,
}

/// A stand-in worker and its entry in the endpoint list.
#[derive(Debug)]
pub(crate) struct ListedWorker {
    pub(crate) stand_in: Arc<Worker>,
    pub(crate) address: SocketAddr,
    /// The endpoint id of the worker's current process.
    pub(crate) id: AtomicU32,
    /// Locked while the worker's process is being replaced.
    pub(crate) replacement: tokio::sync::Mutex<()>,
}

/// The schedulers of a run and the stand-ins around them.
#[derive(Debug)]
pub(crate) struct Environment {
    pub(crate) recorder: Arc<Recorder>,
    pub(crate) discovery: Arc<Discovery>,
    pub(crate) schedulers: Vec<Arc<Scheduler>>,
    pub(crate) clients: Arc<Clients>,
    workers: Vec<ListedWorker>,
    next_worker_id: AtomicU32,
    longest_deadline: Duration,
}

impl Environment {
    /// Starts the stand-ins, then one scheduler after another.
    ///
    /// Waits until each scheduler is ready, has exited, or has failed to become ready in time.
    pub(crate) async fn start(
        seed: u64,
        size: &EnvironmentSize,
        launch: &LaunchOptions,
        recorder: &Arc<Recorder>,
    ) -> Result<Environment> {
        let discovery = Discovery::listen(size.schedulers).await?;
        let workers = start_workers(size.workers, &discovery, recorder).await?;
        let mut schedulers = Vec::new();
        for index in 0..size.schedulers {
            let address = free_address(seed, index)?;
            let scheduler = Scheduler::new(index, address, seed, launch, recorder)?;
            schedulers.push(Arc::new(scheduler));
        }
        let longest_deadline = settings::longest_deadline(seed);
        let environment = Environment {
            recorder: Arc::clone(recorder),
            discovery,
            schedulers,
            clients: Arc::new(Clients::new(recorder, longest_deadline)),
            workers,
            next_worker_id: AtomicU32::new(first_worker_id(size.workers)),
            longest_deadline,
        };
        for scheduler in &environment.schedulers {
            environment.write_config(scheduler)?;
            scheduler.start().await?;
        }
        Ok(environment)
    }

    /// Starts the clients, which send requests until [`Environment::stop_clients`] is called.
    pub(crate) fn start_clients(&self, clients_per_scheduler: usize) {
        for scheduler in &self.schedulers {
            for _ in 0..clients_per_scheduler {
                tokio::spawn(client::run(
                    Arc::clone(&self.clients),
                    Arc::clone(scheduler),
                    None,
                ));
            }
        }
    }

    /// Lets [`CROWD_CLIENTS`] additional clients send requests to one scheduler for the given time.
    pub(crate) async fn run_crowd(&self, scheduler: &Arc<Scheduler>, length: Duration) {
        let ends_at = Instant::now() + length;
        let crowd: Vec<_> = (0..CROWD_CLIENTS)
            .map(|_| {
                let (clients, scheduler) = (Arc::clone(&self.clients), Arc::clone(scheduler));
                tokio::spawn(client::run(clients, scheduler, Some(ends_at)))
            })
            .collect();
        for client in crowd {
            // The task fails only if it panics, and the panic message has already been printed.
            let _ = client.await;
        }
    }

    /// Tells all clients to send no further requests.
    pub(crate) fn stop_clients(&self) {
        self.clients.stop();
    }

    /// Returns the scheduler that a fault's target number selects.
    pub(crate) fn scheduler(&self, target: usize) -> &Arc<Scheduler> {
        &self.schedulers[target % self.schedulers.len()]
    }

    /// Returns the worker that a fault's target number selects.
    pub(crate) fn worker(&self, target: usize) -> &ListedWorker {
        &self.workers[target % self.workers.len()]
    }

    /// Returns an unused endpoint id for a new worker process.
    pub(crate) fn next_worker_id(&self) -> u32 {
        self.next_worker_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Writes a scheduler's current configuration to its configuration file.
    pub(crate) fn write_config(&self, scheduler: &Scheduler) -> Result<()> {
        scheduler.write_config(&self.configuration_of(scheduler))
    }

    /// Writes only the first `length` bytes of a scheduler's current configuration to its configuration file.
    pub(crate) fn write_truncated_config(&self, scheduler: &Scheduler, length: usize) -> Result<()> {
        let configuration = self.configuration_of(scheduler);
        scheduler.write_config(&configuration[..length.min(configuration.len())])
    }

    fn configuration_of(&self, scheduler: &Scheduler) -> String {
        let configuration = settings::configuration(
            scheduler.index,
            self.schedulers.len(),
            scheduler.address,
            self.discovery.address(scheduler.index),
            &self.discovery.known_events(),
            self.longest_deadline,
        );
        configuration.to_string()
    }

    /// Terminates all schedulers and waits until they have exited.
    pub(crate) async fn terminate_schedulers(&self) {
        let exits: Vec<_> = self
            .schedulers
            .iter()
            .map(|scheduler| {
                let scheduler = Arc::clone(scheduler);
                tokio::spawn(async move { scheduler.terminate(Duration::ZERO).await })
            })
            .collect();
        for exit in exits {
            // The task fails only if it panics, and the panic message has already been printed.
            let _ = exit.await;
        }
    }
}

/// Starts the stand-in workers, each behind its own proxy, and publishes them as ready in the endpoint list.
async fn start_workers(
    count: usize,
    discovery: &Discovery,
    recorder: &Arc<Recorder>,
) -> Result<Vec<ListedWorker>> {
    let mut workers = Vec::new();
    for index in 0..count {
        let stand_in = Arc::new(Worker::new(index, Arc::clone(recorder)));
        let upstream = stand_in.listen().await?;
        let address = proxy::listen(&stand_in, upstream).await?;
        let id = first_worker_id(index);
        discovery.publish(id, address, WorkerState::Ready);
        workers.push(ListedWorker {
            stand_in,
            address,
            id: AtomicU32::new(id),
            replacement: tokio::sync::Mutex::default(),
        });
    }
    Ok(workers)
}

/// Returns the endpoint id of the first process of the worker with this index.
fn first_worker_id(index: usize) -> u32 {
    index as u32 + 1
}

/// Returns a free loopback address, on which all incarnations of a scheduler are to listen.
fn free_address(seed: u64, index: usize) -> Result<SocketAddr> {
    let host = Ipv4Addr::new(127, 64 + (seed % 128) as u8, 1 + index as u8, 1);
    let listener = TcpListener::bind((host, 0))?;
    Ok(listener.local_addr()?)
}
