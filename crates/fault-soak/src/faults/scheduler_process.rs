//! Faults of a scheduler's process: restarts, pauses, and the operating system faults that the shim injects.

use super::schedule::PlannedFault;
use super::system_call_failure::SystemCallFailure;
use crate::environment::{Environment, Scheduler};
use fault_control::Slot;
use nix::sys::signal::Signal;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// The longest pause. It is shorter than the tolerance for the time limit that a worker is given (0.15 s).
const MAX_PAUSE: Duration = Duration::from_millis(100);
/// The range of the time for which a scheduler still gets new clients after SIGTERM, in milliseconds.
const ROTATION_DELAYS_MS: RangeInclusive<u64> = 200..=400;
/// The range of the time between two signals of a series, in milliseconds.
const SIGNAL_INTERVALS_MS: RangeInclusive<u64> = 0..=120;
/// The rate of short reads and writes, per thousand.
const SHORT_IO_PER_MILLE: i64 = 500;
/// The steps of the wall clock, in seconds.
const CLOCK_STEPS_S: [i64; 6] = [-3_600, -10, -2, 2, 10, 3_600];
const NANOSECONDS_PER_SECOND: i64 = 1_000_000_000;

/// Sends SIGTERM, waits for the exit and starts the scheduler again.
pub(super) async fn terminate_and_restart(environment: &Environment, scheduler: &Arc<Scheduler>) {
    let Ok(_lifecycle) = scheduler.lifecycle.try_lock() else {
        return;
    };
    let rotation_delay = Duration::from_millis(fastrand::u64(ROTATION_DELAYS_MS));
    scheduler.terminate(rotation_delay).await;
    restart(environment, scheduler).await;
}

/// Sends SIGHUP and SIGUSR1, then SIGTERM and the same signals again during the shutdown, and starts the
/// scheduler again.
pub(super) async fn send_signal_series(environment: &Environment, scheduler: &Arc<Scheduler>) {
    let Ok(_lifecycle) = scheduler.lifecycle.try_lock() else {
        return;
    };
    for signal in [Signal::SIGHUP, Signal::SIGUSR1, Signal::SIGHUP] {
        if scheduler.is_ready() {
            scheduler.signal(signal);
        }
        pause_between_signals().await;
    }
    let late_signals = async {
        for signal in [
            Signal::SIGHUP,
            Signal::SIGTERM,
            Signal::SIGUSR1,
            Signal::SIGTERM,
            Signal::SIGHUP,
        ] {
            pause_between_signals().await;
            scheduler.signal(signal);
        }
    };
    let rotation_delay = Duration::from_millis(fastrand::u64(ROTATION_DELAYS_MS));
    tokio::join!(scheduler.terminate(rotation_delay), late_signals);
    restart(environment, scheduler).await;
}

/// Waits for a random time between two signals of a series.
async fn pause_between_signals() {
    sleep(Duration::from_millis(fastrand::u64(SIGNAL_INTERVALS_MS))).await;
}

/// Sends SIGKILL and starts the scheduler again after half of the fault's duration.
pub(super) async fn kill_and_restart(
    environment: &Environment,
    scheduler: &Arc<Scheduler>,
    fault: &PlannedFault,
) {
    let Ok(_lifecycle) = scheduler.lifecycle.try_lock() else {
        return;
    };
    scheduler.kill().await;
    sleep(fault.duration / 2).await;
    restart(environment, scheduler).await;
}

/// Starts a scheduler with the current configuration.
///
/// Errors are ignored here. A process that starts but does not become ready is recorded as unhealthy.
async fn restart(environment: &Environment, scheduler: &Arc<Scheduler>) {
    let _ = environment.write_config(scheduler);
    let _ = scheduler.start().await;
}

/// Pauses the scheduler's process for the duration of the fault, or for [`MAX_PAUSE`] if that is shorter.
pub(super) async fn pause(scheduler: &Scheduler, fault: &PlannedFault) {
    scheduler.signal(Signal::SIGSTOP);
    sleep(fault.duration.min(MAX_PAUSE)).await;
    scheduler.signal(Signal::SIGCONT);
}

/// Steps the scheduler's wall clock, and steps it back when the fault ends.
pub(super) async fn step_clock(scheduler: &Scheduler, fault: &PlannedFault) {
    let seconds = CLOCK_STEPS_S[fault.variant as usize % CLOCK_STEPS_S.len()];
    let nanoseconds = seconds * NANOSECONDS_PER_SECOND;
    set_slot_during(scheduler, fault, Slot::WALL_CLOCK_OFFSET, nanoseconds).await;
}

/// Injects short reads and writes into the scheduler for the duration of the fault.
pub(super) async fn shorten_io(scheduler: &Scheduler, fault: &PlannedFault) {
    set_slot_during(scheduler, fault, Slot::SHORT_IO_RATE, SHORT_IO_PER_MILLE).await;
}

/// Injects failures into the system call that the fault's variant selects, for the duration of the fault.
pub(super) async fn fail_system_call(scheduler: &Scheduler, fault: &PlannedFault) {
    let failure = SystemCallFailure::of_variant(fault.variant);
    let rate = i64::from(failure.rate_per_mille);
    let _ = scheduler.set_control(Slot::failure_rate_of(failure.call), rate);
    set_slot_during(
        scheduler,
        fault,
        Slot::error_of(failure.call),
        failure.error as i64,
    )
    .await;
}

/// Sets a slot of the control file for the duration of the fault and clears it afterwards.
async fn set_slot_during(scheduler: &Scheduler, fault: &PlannedFault, slot: Slot, value: i64) {
    let _ = scheduler.set_control(slot, value);
    sleep(fault.duration).await;
    let _ = scheduler.set_control(slot, 0);
}
