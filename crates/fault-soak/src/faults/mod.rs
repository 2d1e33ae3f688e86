//! The fault kinds, the schedule of a seed, and the injection of each kind.

mod client_connections;
mod discovery_outage;
mod kind;
mod reload;
mod schedule;
mod scheduler_process;
mod system_call_failure;
#[cfg(test)]
mod tests;
mod worker_replacement;

pub(crate) use kind::FaultKind;
pub(crate) use schedule::{PlannedFault, schedule};

use crate::environment::{Environment, FaultSwitch};
use tokio::time::sleep;

/// Injects a fault and waits until the fault has ended.
pub(crate) async fn inject(environment: &Environment, fault: &PlannedFault) {
    let scheduler = environment.scheduler(fault.target);
    let worker = environment.worker(fault.target);
    let worker_faults = &worker.stand_in.switches;
    let discovery_faults = &environment.discovery.switches;
    let client_faults = &environment.clients.switches;
    let activate = |switch| activate(environment, switch, fault);
    match fault.kind {
        FaultKind::Terminate => scheduler_process::terminate_and_restart(environment, scheduler).await,
        FaultKind::Kill => scheduler_process::kill_and_restart(environment, scheduler, fault).await,
        FaultKind::Reload => reload::reload(environment, scheduler),
        FaultKind::ReloadTruncatedConfig => reload::reload_truncated(environment, scheduler, fault).await,
        FaultKind::Pause => scheduler_process::pause(scheduler, fault).await,
        FaultKind::ClockStep => scheduler_process::step_clock(scheduler, fault).await,
        FaultKind::SystemCallErrors => scheduler_process::fail_system_call(scheduler, fault).await,
        FaultKind::ShortIo => scheduler_process::shorten_io(scheduler, fault).await,
        FaultKind::LogStall => activate(&scheduler.log_stall).await,
        FaultKind::WorkerStall => activate(&worker_faults.stall).await,
        FaultKind::WorkerErrors => activate(&worker_faults.error_responses).await,
        FaultKind::WorkerCorruptResponses => activate(&worker_faults.corrupt_responses).await,
        FaultKind::WorkerDuplicateResponses => activate(&worker_faults.duplicate_responses).await,
        FaultKind::WorkerReplacement => {
            worker_replacement::replace(environment, worker, worker_replacement::random_drain_time()).await;
        }
        FaultKind::NetworkDelay => activate(&worker_faults.delay).await,
        FaultKind::NetworkFragmentation => activate(&worker_faults.fragmentation).await,
        FaultKind::NetworkReset => activate(&worker_faults.resets).await,
        FaultKind::NetworkBlackHole => activate(&worker_faults.black_hole).await,
        FaultKind::DiscoveryDown => activate(&discovery_faults.down).await,
        FaultKind::DiscoveryBlackHole => activate(&discovery_faults.black_hole).await,
        FaultKind::ClientsAbandonRequests => activate(&client_faults.abandon_requests).await,
        FaultKind::ClientsMalformedFrames => activate(&client_faults.malformed_frames).await,
        FaultKind::ClientsIgnoreGoAway => activate(&client_faults.ignore_go_away).await,
        FaultKind::ClientsIdle => client_connections::open_idle(scheduler, fault).await,
        FaultKind::LongDiscoveryOutage => discovery_outage::disconnect_and_drain(environment, fault).await,
        FaultKind::SignalSeries => scheduler_process::send_signal_series(environment, scheduler).await,
        FaultKind::ClientsCrowd => environment.run_crowd(scheduler, fault.duration).await,
    }
}

/// Turns a switch on for the duration of the fault.
async fn activate(environment: &Environment, switch: &FaultSwitch, fault: &PlannedFault) {
    switch.activate(environment.recorder.now());
    sleep(fault.duration).await;
    switch.deactivate(environment.recorder.now());
}
