//! A run, which injects the faults of a schedule into an environment and checks the invariants.

use crate::environment::settings::longest_deadline;
use crate::environment::{Environment, EnvironmentSize, LaunchOptions};
use crate::faults::{self, PlannedFault};
use crate::invariants::{self, Violation};
use crate::recorder::{Event, FaultPhase, Record, Recorder};
use crate::timer_lag::TimerLag;
use anyhow::Result;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until};

/// The time without faults before the schedule starts.
const WARM_UP: Duration = Duration::from_millis(800);
/// The time without faults after the last one, in which the service has to recover.
const RECOVERY_TIME: Duration = Duration::from_millis(4_500);
/// How long after the longest deadline of the last requests the run still waits for responses.
const LAST_RESPONSES_MARGIN: Duration = Duration::from_millis(800);

/// The result of a run.
#[derive(Debug)]
pub(crate) struct RunResult {
    pub(crate) violations: Vec<Violation>,
    pub(crate) records: Vec<Record>,
    /// The last log lines of each scheduler.
    pub(crate) log_tails: Vec<Vec<String>>,
    /// The longest lag of this program's own timers.
    pub(crate) max_timer_lag: Duration,
}

/// Runs a schedule and checks the invariants.
pub(crate) async fn run(
    seed: u64,
    size: &EnvironmentSize,
    launch: &LaunchOptions,
    schedule: &[PlannedFault],
) -> Result<RunResult> {
    let recorder = Arc::new(Recorder::new());
    let timer_lag = TimerLag::measure(recorder.start());
    let environment = Arc::new(Environment::start(seed, size, launch, &recorder).await?);
    environment.start_clients(size.clients_per_scheduler);
    sleep(WARM_UP).await;
    inject_all(&environment, schedule).await;
    sleep(RECOVERY_TIME).await;
    let clients_stopped_at = recorder.now();
    environment.stop_clients();
    sleep(longest_deadline(seed) + LAST_RESPONSES_MARGIN).await;
    environment.check_idle_schedulers();
    let ended_at = recorder.now();
    environment.terminate_schedulers().await;

    let records = recorder.records();
    let mut violations = invariants::check(&records, ended_at, &timer_lag);
    violations.extend(invariants::check_recovery(&records, clients_stopped_at));
    let schedulers = environment.schedulers.iter();
    Ok(RunResult {
        violations,
        records,
        log_tails: schedulers.map(|scheduler| scheduler.log_tail()).collect(),
        max_timer_lag: timer_lag.max(),
    })
}

/// Injects all faults at their scheduled times and waits until the last one has ended.
async fn inject_all(environment: &Arc<Environment>, schedule: &[PlannedFault]) {
    let start = Instant::now();
    let faults: Vec<JoinHandle<()>> = schedule
        .iter()
        .cloned()
        .enumerate()
        .map(|(number, fault)| {
            let environment = Arc::clone(environment);
            tokio::spawn(async move {
                sleep_until(start + fault.starts_at).await;
                inject(&environment, number, &fault).await;
            })
        })
        .collect();
    for fault in faults {
        // The task fails only if it panics, and the panic message has already been printed.
        let _ = fault.await;
    }
}

/// Injects a fault and records its start and its end.
async fn inject(environment: &Environment, number: usize, fault: &PlannedFault) {
    let event = |phase| Event::Fault {
        number,
        description: fault.to_string(),
        phase,
        discovery_effect: fault.kind.discovery_effect(),
    };
    environment.recorder.record(event(FaultPhase::Started));
    faults::inject(environment, fault).await;
    environment.recorder.record(event(FaultPhase::Ended));
}
