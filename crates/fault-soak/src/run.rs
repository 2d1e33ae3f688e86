//! One run: the world of a seed, its faults, and what the oracle says of it.

use crate::client::{self, ClientWorld};
use crate::discovery::{Discovery, WorkerState};
use crate::faults;
use crate::invariants::{self, Finding, Promise};
use crate::lateness::Lateness;
use crate::proxy;
use crate::recorder::{Event, Incarnation, ProcessEvent, Record, Recorder};
use crate::schedule::PlannedFault;
use crate::scheduler::{Programs, Scheduler};
use crate::settings;
use crate::worker::Worker;
use anyhow::Result;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::time::{sleep, sleep_until};

/// Time without faults before the first one.
const CALM_BEFORE: Duration = Duration::from_millis(800);
/// Time without faults after the last one, in which service has to come back.
const CALM_AFTER: Duration = Duration::from_millis(4_500);
/// The last part of that, in which service is measured.
const RECOVERY_WINDOW: Duration = Duration::from_millis(2_000);
/// The part of the requests that has to be served then, and how many requests it takes to tell.
const RECOVERY_SHARE: f64 = 0.5;
const RECOVERY_REQUESTS: usize = 20;
/// Time for the last answers after the last request: the longest that a client waits, and more.
const LAST_ANSWERS: Duration = Duration::from_millis(2_800);
/// Threads of a scheduler: its event loop and its log.
const MAX_THREADS: usize = 2;
/// Descriptors of a scheduler without clients, beyond connections to workers.
const QUIET_DESCRIPTORS: usize = 40;
/// Connections to one worker at most.
const CONNECTIONS_PER_WORKER: usize = 16;

/// How large the world of a run is.
#[derive(Clone, Debug)]
pub(crate) struct Size {
    pub(crate) schedulers: usize,
    pub(crate) workers: usize,
    pub(crate) clients_per_scheduler: usize,
}

/// A worker's entry in the endpoint list.
#[derive(Debug)]
pub(crate) struct ListedWorker {
    pub(crate) worker: Arc<Worker>,
    pub(crate) address: SocketAddr,
    pub(crate) id: AtomicU32,
    /// Held by whoever replaces its process.
    pub(crate) replacement: tokio::sync::Mutex<()>,
}

/// All that a run consists of.
#[derive(Debug)]
pub(crate) struct World {
    pub(crate) recorder: Arc<Recorder>,
    pub(crate) discovery: Arc<Discovery>,
    pub(crate) workers: Vec<ListedWorker>,
    pub(crate) schedulers: Vec<Arc<Scheduler>>,
    pub(crate) clients: Arc<ClientWorld>,
    pub(crate) next_worker_id: AtomicU32,
}

/// What came of a run.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub(crate) findings: Vec<Finding>,
    pub(crate) records: Vec<Record>,
    /// The last log lines of each scheduler.
    pub(crate) logs: Vec<Vec<String>>,
    /// The most that the soak itself was late.
    pub(crate) lateness: Duration,
}

/// Plays a schedule.
pub(crate) async fn play(
    seed: u64,
    size: &Size,
    programs: &Programs,
    faults: &[PlannedFault],
) -> Result<Outcome> {
    let recorder = Arc::new(Recorder::new());
    let lateness = Lateness::measure(recorder.start());
    let world = Arc::new(World::build(seed, size, programs, &recorder).await?);
    world.start_schedulers().await?;
    for scheduler in &world.schedulers {
        for _ in 0..size.clients_per_scheduler {
            tokio::spawn(client::run(Arc::clone(&world.clients), Arc::clone(scheduler)));
        }
    }
    sleep(CALM_BEFORE).await;
    let running = begin_faults(&world, faults);
    for fault in running {
        let _ = fault.await;
    }
    sleep(CALM_AFTER).await;
    let sending_ended_at = recorder.now();
    world.clients.switches.is_over.store(true, Ordering::Relaxed);
    sleep(LAST_ANSWERS).await;
    world.check_resources();
    world.check_watches();
    let end = recorder.now();
    world.end_schedulers().await;
    let records = recorder.records();
    let mut findings = invariants::check(&records, end, &lateness);
    findings.extend(check_recovery(&records, sending_ended_at));
    Ok(Outcome {
        findings,
        records,
        logs: world.schedulers.iter().map(|scheduler| scheduler.log()).collect(),
        lateness: lateness.worst(),
    })
}

fn begin_faults(world: &Arc<World>, planned: &[PlannedFault]) -> Vec<tokio::task::JoinHandle<()>> {
    let start = tokio::time::Instant::now();
    let tasks = planned.iter().cloned().enumerate().map(|(number, fault)| {
        let world = Arc::clone(world);
        tokio::spawn(async move {
            sleep_until(start + fault.begins_at).await;
            let text = fault.to_string();
            let event = |begins| Event::Fault {
                number,
                text: text.clone(),
                begins,
                delays_list: fault.kind.delays_list(),
            };
            world.recorder.record(event(true));
            faults::run(&world, &fault).await;
            world.recorder.record(event(false));
        })
    });
    tasks.collect()
}

fn check_recovery(records: &[Record], sending_ended_at: Duration) -> Option<Finding> {
    let since = sending_ended_at.saturating_sub(RECOVERY_WINDOW);
    let (share, requests) = invariants::share_served(records, since);
    let is_back = share >= RECOVERY_SHARE && requests >= RECOVERY_REQUESTS;
    (!is_back).then(|| Finding {
        promise: Promise::NoRecovery,
        at: sending_ended_at,
        request: None,
        text: format!("{share:.2} of {requests} requests served"),
    })
}

impl World {
    async fn build(seed: u64, size: &Size, programs: &Programs, recorder: &Arc<Recorder>) -> Result<World> {
        let discovery = Discovery::listen(size.schedulers).await?;
        let mut workers = Vec::new();
        for index in 0..size.workers {
            let worker = Arc::new(Worker::new(index, Arc::clone(recorder)));
            let behind = worker.listen().await?;
            let address = proxy::listen(&worker, behind).await?;
            let id = index as u32 + 1;
            discovery.publish(id, address, WorkerState::Ready, false);
            workers.push(ListedWorker {
                worker,
                address,
                id: AtomicU32::new(id),
                replacement: tokio::sync::Mutex::default(),
            });
        }
        let mut schedulers = Vec::new();
        for index in 0..size.schedulers {
            let address = free_address(seed, index)?;
            schedulers.push(Arc::new(Scheduler::new(
                index, address, seed, programs, recorder,
            )?));
        }
        Ok(World {
            recorder: Arc::clone(recorder),
            discovery,
            workers,
            schedulers,
            clients: Arc::new(ClientWorld::new(recorder)),
            next_worker_id: AtomicU32::new(size.workers as u32 + 1),
        })
    }

    /// Writes a scheduler's configuration as of now, or the first bytes of it.
    pub(crate) fn write_config(&self, scheduler: &Scheduler, bytes: Option<usize>) -> Result<()> {
        let config = settings::configuration(
            scheduler.index,
            self.schedulers.len(),
            scheduler.address,
            self.discovery.address(scheduler.index),
            &self.discovery.known(),
        );
        scheduler.write_config(&config, bytes)
    }

    async fn start_schedulers(&self) -> Result<()> {
        for scheduler in &self.schedulers {
            self.write_config(scheduler, None)?;
            scheduler.start().await?;
        }
        Ok(())
    }

    /// Descriptors and threads are back to what a quiet scheduler holds.
    fn check_resources(&self) {
        let most_descriptors = QUIET_DESCRIPTORS + self.workers.len() * CONNECTIONS_PER_WORKER;
        for scheduler in self.schedulers.iter().filter(|scheduler| !scheduler.has_ended()) {
            let (descriptors, threads) = (scheduler.count_of("fd"), scheduler.count_of("task"));
            if descriptors > most_descriptors || threads > MAX_THREADS {
                let text = format!("{descriptors} descriptors, {threads} threads at rest");
                self.record_broken(scheduler.incarnation(), text);
            }
        }
    }

    /// Every scheduler follows the endpoint list where it is told.
    fn check_watches(&self) {
        for scheduler in self.schedulers.iter().filter(|scheduler| !scheduler.has_ended()) {
            if !self.discovery.is_followed_by(scheduler.index) {
                self.record_broken(scheduler.incarnation(), "follows no discovery service".to_owned());
            }
        }
    }

    fn record_broken(&self, incarnation: Incarnation, text: String) {
        let event = ProcessEvent::Broken(text);
        self.recorder.record(Event::Process { incarnation, event });
    }

    async fn end_schedulers(&self) {
        let ends = self.schedulers.iter().map(|scheduler| {
            let scheduler = Arc::clone(scheduler);
            tokio::spawn(async move { scheduler.terminate(Duration::ZERO).await })
        });
        for end in ends.collect::<Vec<_>>() {
            let _ = end.await;
        }
    }
}

/// An address that nobody listens on, the same for all lives of a scheduler.
fn free_address(seed: u64, index: usize) -> Result<SocketAddr> {
    let host = Ipv4Addr::new(127, 64 + (seed % 128) as u8, 1 + index as u8, 1);
    let listener = std::net::TcpListener::bind((host, 0))?;
    Ok(listener.local_addr()?)
}
