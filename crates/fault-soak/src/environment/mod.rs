//! The environment of a run: real schedulers with stand-ins for everything around them. It owns the processes, sockets and
//! tasks; faults act on it, and what happens in it is recorded.
//!
//! - [`scheduler`]: a scheduler under test, with its files, its log and its process.
//! - [`client`], [`worker`] and [`discovery`]: the stand-ins that the schedulers talk to; [`proxy`]: the network to a worker.
//! - [`switches`]: what faults change in the stand-ins.
//! - [`settings`]: the configuration that the schedulers are given.
//! - [`health`]: checks of the schedulers at rest.

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

/// Clients of a crowd.
const CROWD_CLIENTS: usize = 30;

/// The size of an environment.
#[derive(Clone, Debug)]
pub(crate) struct EnvironmentSize {
    pub(crate) schedulers: usize,
    pub(crate) workers: usize,
    pub(crate) clients_per_scheduler: usize,
}

/// A worker with its entry in the endpoint list.
#[derive(Debug)]
pub(crate) struct ListedWorker {
    pub(crate) stand_in: Arc<Worker>,
    pub(crate) address: SocketAddr,
    /// The id of its current process.
    pub(crate) id: AtomicU32,
    /// Held while its process is being replaced.
    pub(crate) replacement: tokio::sync::Mutex<()>,
}

/// Everything that runs in a run.
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
    /// Starts the stand-ins and then the schedulers, and waits until these are ready.
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

    /// Starts the clients, which send requests until [`Environment::stop_clients`].
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

    /// Has many more clients send requests to a scheduler for some time.
    pub(crate) async fn run_crowd(&self, scheduler: &Arc<Scheduler>, length: Duration) {
        let ends_at = Instant::now() + length;
        let crowd: Vec<_> = (0..CROWD_CLIENTS)
            .map(|_| {
                let (clients, scheduler) = (Arc::clone(&self.clients), Arc::clone(scheduler));
                tokio::spawn(client::run(clients, scheduler, Some(ends_at)))
            })
            .collect();
        for client in crowd {
            // A task fails by a panic only, which the runtime has printed.
            let _ = client.await;
        }
    }

    /// Has the clients send no further request.
    pub(crate) fn stop_clients(&self) {
        self.clients.stop();
    }

    /// The scheduler that a fault's target denotes.
    pub(crate) fn scheduler(&self, target: usize) -> &Arc<Scheduler> {
        &self.schedulers[target % self.schedulers.len()]
    }

    /// The worker that a fault's target denotes.
    pub(crate) fn worker(&self, target: usize) -> &ListedWorker {
        &self.workers[target % self.workers.len()]
    }

    /// An id for a new worker process.
    pub(crate) fn next_worker_id(&self) -> u32 {
        self.next_worker_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Writes a scheduler's configuration as of now.
    pub(crate) fn write_config(&self, scheduler: &Scheduler) -> Result<()> {
        scheduler.write_config(&self.configuration_of(scheduler))
    }

    /// Writes the first `length` bytes of a scheduler's configuration as of now.
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

    /// Terminates all schedulers, and waits until they have exited.
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
            // A task fails by a panic only, which the runtime has printed.
            let _ = exit.await;
        }
    }
}

/// Starts the workers, each behind a proxy, and publishes them as ready.
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

/// The id of the first process of the worker with this index.
fn first_worker_id(index: usize) -> u32 {
    index as u32 + 1
}

/// An address that nothing listens on, for all incarnations of a scheduler.
fn free_address(seed: u64, index: usize) -> Result<SocketAddr> {
    let host = Ipv4Addr::new(127, 64 + (seed % 128) as u8, 1 + index as u8, 1);
    let listener = TcpListener::bind((host, 0))?;
    Ok(listener.local_addr()?)
}
