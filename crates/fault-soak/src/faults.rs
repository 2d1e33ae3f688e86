//! How each kind of fault is played.

use crate::discovery::WorkerState;
use crate::recorder::Event;
use crate::run::{ListedWorker, World};
use crate::schedule::{FaultKind, PlannedFault};
use crate::scheduler::Scheduler;
use crate::switches::Switch;
use fault_control::Slot;
use nix::sys::signal::Signal;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Longest pause of a process: the time limit that a worker is told may be off by 0.15 s.
const MAX_PAUSE: Duration = Duration::from_millis(100);
/// How long the front still sends clients to a scheduler that was told to end, in milliseconds.
const FRONT_GOES_ON_MS: std::ops::RangeInclusive<u64> = 200..=400;
/// How long a worker drains before it is gone, and how long its address then stays empty.
const DRAIN_TIMES_MS: std::ops::RangeInclusive<u64> = 1_500..=6_000;
const EMPTY_TIME: Duration = Duration::from_millis(300);
/// Parts of a thousand reads and writes that are cut short.
const SHORT_IO_PER_MILLE: i64 = 500;
/// Clients that connect and say nothing.
const IDLE_CLIENTS: usize = 120;
/// Steps of the wall clock, in seconds.
const CLOCK_STEPS_S: [i64; 6] = [-3_600, -10, -2, 2, 10, 3_600];
const NANOSECONDS_PER_SECOND: i64 = 1_000_000_000;

/// Plays a fault from its beginning to its end.
pub(crate) async fn run(world: &World, fault: &PlannedFault) {
    let scheduler = &world.schedulers[fault.target % world.schedulers.len()];
    let listed = &world.workers[fault.target % world.workers.len()];
    let worker = &listed.worker.switches;
    match fault.kind {
        FaultKind::Terminate => restart(world, scheduler, fault, true).await,
        FaultKind::Kill => restart(world, scheduler, fault, false).await,
        FaultKind::Reload => reload(world, scheduler).await,
        FaultKind::ReloadHalfWritten => reload_half_written(world, scheduler, fault).await,
        FaultKind::Pause => pause(scheduler, fault).await,
        FaultKind::ClockStep => {
            let seconds = CLOCK_STEPS_S[fault.variant as usize % CLOCK_STEPS_S.len()];
            let _ = scheduler.set_control(Slot::WALL_CLOCK_OFFSET, seconds * NANOSECONDS_PER_SECOND);
            sleep(fault.lasts).await;
            let _ = scheduler.set_control(Slot::WALL_CLOCK_OFFSET, 0);
        }
        FaultKind::SystemCall => fail_system_call(scheduler, fault).await,
        FaultKind::ShortIo => {
            let _ = scheduler.set_control(Slot::SHORT_IO_RATE, SHORT_IO_PER_MILLE);
            sleep(fault.lasts).await;
            let _ = scheduler.set_control(Slot::SHORT_IO_RATE, 0);
        }
        FaultKind::LogStall => hold(world, &scheduler.log_stalls, fault).await,
        FaultKind::WorkerStall => hold(world, &worker.stalls, fault).await,
        FaultKind::WorkerErrors => hold(world, &worker.answers_errors, fault).await,
        FaultKind::WorkerSpoils => hold(world, &worker.spoils, fault).await,
        FaultKind::WorkerRepeats => hold(world, &worker.repeats, fault).await,
        FaultKind::WorkerReplaced => replace_worker(world, listed).await,
        FaultKind::NetworkDelay => hold(world, &worker.delays, fault).await,
        FaultKind::NetworkSplit => hold(world, &worker.splits, fault).await,
        FaultKind::NetworkReset => hold(world, &worker.resets, fault).await,
        FaultKind::NetworkSilent => hold(world, &worker.silent, fault).await,
        FaultKind::DiscoveryDown => hold(world, &world.discovery.switches.down, fault).await,
        FaultKind::DiscoverySilent => hold(world, &world.discovery.switches.silent, fault).await,
        FaultKind::ClientsLeave => hold(world, &world.clients.switches.leave, fault).await,
        FaultKind::ClientsMalformed => hold(world, &world.clients.switches.malformed, fault).await,
        FaultKind::ClientsStubborn => hold(world, &world.clients.switches.stubborn, fault).await,
        FaultKind::ClientsIdle => idle_clients(scheduler, fault).await,
    }
}

/// Keeps a switch on for the time of the fault.
async fn hold(world: &World, switch: &Switch, fault: &PlannedFault) {
    switch.begin(world.recorder.now());
    sleep(fault.lasts).await;
    switch.end(world.recorder.now());
}

/// Ends a scheduler, and starts it again a moment later.
async fn restart(world: &World, scheduler: &Arc<Scheduler>, fault: &PlannedFault, gracefully: bool) {
    let Ok(_lifecycle) = scheduler.lifecycle.try_lock() else {
        return;
    };
    if gracefully {
        let front_goes_on = Duration::from_millis(fastrand::u64(FRONT_GOES_ON_MS));
        scheduler.terminate(front_goes_on).await;
    } else {
        scheduler.kill().await;
        sleep(fault.lasts / 2).await;
    }
    let _ = world.write_config(scheduler, None);
    let _ = scheduler.start().await;
}

/// A signal is only for a process that has said that it is ready.
fn signal_if_ready(scheduler: &Scheduler, signal: Signal) {
    if scheduler.is_ready.load(Ordering::Relaxed) {
        scheduler.signal(signal);
    }
}

/// Moves discovery to its other address and has every scheduler told, the hit one first.
async fn reload(world: &World, scheduler: &Arc<Scheduler>) {
    world.discovery.move_on();
    let others = world
        .schedulers
        .iter()
        .filter(|other| other.index != scheduler.index);
    for scheduler in std::iter::once(scheduler).chain(others) {
        let _ = world.write_config(scheduler, None);
        signal_if_ready(scheduler, Signal::SIGHUP);
    }
}

async fn reload_half_written(world: &World, scheduler: &Arc<Scheduler>, fault: &PlannedFault) {
    world.discovery.move_on();
    let half = Some(500 + fault.variant as usize % 1_000);
    let _ = world.write_config(scheduler, half);
    signal_if_ready(scheduler, Signal::SIGHUP);
    sleep(fault.lasts.min(Duration::from_millis(400))).await;
    for scheduler in &world.schedulers {
        let _ = world.write_config(scheduler, None);
        if !Arc::ptr_eq(
            scheduler,
            &world.schedulers[fault.target % world.schedulers.len()],
        ) {
            signal_if_ready(scheduler, Signal::SIGHUP);
        }
    }
}

async fn pause(scheduler: &Scheduler, fault: &PlannedFault) {
    scheduler.signal(Signal::SIGSTOP);
    sleep(fault.lasts.min(MAX_PAUSE)).await;
    scheduler.signal(Signal::SIGCONT);
}

async fn fail_system_call(scheduler: &Scheduler, fault: &PlannedFault) {
    let (call, error, per_mille) = fault.failing_call();
    let _ = scheduler.set_control(Slot::failure_rate_of(call), per_mille);
    let _ = scheduler.set_control(Slot::error_of(call), i64::from(error));
    sleep(fault.lasts).await;
    let _ = scheduler.set_control(Slot::error_of(call), 0);
}

/// Drains a worker, lets its process go, and puts another one at its address.
async fn replace_worker(world: &World, listed: &ListedWorker) {
    let Ok(_replacement) = listed.replacement.try_lock() else {
        return;
    };
    let worker = listed.worker.index;
    let id = listed.id.load(Ordering::Relaxed);
    world.recorder.record(Event::Draining { worker });
    world
        .discovery
        .publish(id, listed.address, WorkerState::Draining, false);
    sleep(Duration::from_millis(fastrand::u64(DRAIN_TIMES_MS))).await;
    world
        .discovery
        .publish(id, listed.address, WorkerState::Gone, false);
    listed.worker.switches.is_gone.store(true, Ordering::Relaxed);
    sleep(EMPTY_TIME).await;
    let id = world.next_worker_id.fetch_add(1, Ordering::Relaxed);
    listed.id.store(id, Ordering::Relaxed);
    listed.worker.switches.is_gone.store(false, Ordering::Relaxed);
    world.recorder.record(Event::Ready { worker });
    world
        .discovery
        .publish(id, listed.address, WorkerState::Ready, true);
}

/// Connects many clients that say nothing.
async fn idle_clients(scheduler: &Scheduler, fault: &PlannedFault) {
    let mut idle = Vec::new();
    for _ in 0..IDLE_CLIENTS {
        let connect = TcpStream::connect(scheduler.address);
        if let Ok(Ok(stream)) = tokio::time::timeout(Duration::from_millis(50), connect).await {
            idle.push(stream);
        }
    }
    sleep(fault.lasts).await;
}
