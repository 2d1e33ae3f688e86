//! A simulated fleet of schedulers that receives more requests than its workers can serve. One of the workers
//! starts cold.

use crate::support::policy_fixtures::{endpoint_started_at, ready_endpoint, request, test_settings};
use crate::support::policy_harness::PolicyHarness;
use function_scheduler::{
    AttemptStatus, Endpoint, EndpointUpdateKind, OnMiss, RequestId, Settings, Span, WorkerId,
};
use std::collections::VecDeque;

/// The worker that starts cold in all tests of slow start.
pub(crate) const COLD_WORKER: WorkerId = WorkerId(1);
/// Number of schedulers in the simulated fleet.
pub(crate) const SCHEDULERS: u32 = 30;
/// Number of workers in the simulated fleet.
const WORKERS: u64 = 8;
/// Requests that a warm worker serves per second.
const WORKER_RATE: f64 = 10.0;
/// Requests that the fleet receives per second: 30% more than all workers serve.
const REQUEST_RATE: f64 = WORKER_RATE * WORKERS as f64 * 1.3;
/// Time at which the cold worker starts.
const COLD_START_MS: u64 = 6_000;
/// Latency of every attempt.
const LATENCY_MS: u64 = 200;
/// Duration of a run.
const RUN_MS: u64 = 14_000;
/// Time step of the simulation, equal to that of the harness's clock.
const STEP_MS: u64 = 10;
/// Fraction of its full capacity that a worker has when it starts.
const INITIAL_CAPACITY: f64 = 0.16;
/// Time that a worker takes to reach its full capacity.
const WARM_UP_MS: u64 = 17_000;
/// Multiple of its capacity that a worker may be sent within the overload window.
const OVERLOAD_MULTIPLE: f64 = 4.0;
/// Window in which the requests to a worker are counted.
pub(crate) const OVERLOAD_WINDOW_MS: u64 = 3_000;

/// A restart of the schedulers with indexes below `count`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Restart {
    /// Time since the start of the simulation.
    pub(crate) at_ms: u64,
    /// Number of schedulers that restart.
    pub(crate) count: u32,
}

/// An attempt in the simulated fleet that will get a response.
struct InFlight {
    response_at_ms: u64,
    scheduler: usize,
    request: RequestId,
    attempt: u16,
}

/// A linear congruential generator of numbers from 0 to 1, reproducible for a given seed.
struct RandomNumbers {
    state: u64,
}

impl RandomNumbers {
    fn new(seed: u64) -> RandomNumbers {
        RandomNumbers {
            state: 0x9e37_79b9_7f4a_7c15 ^ seed,
        }
    }

    fn next(&mut self) -> f64 {
        self.state = self
            .state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.state >> 33) as f64 / (1u64 << 31) as f64
    }
}

/// Many schedulers that receive more requests than their workers can serve.
pub(crate) struct SimulatedFleet {
    schedulers: Vec<PolicyHarness>,
    cold: Endpoint,
    random: RandomNumbers,
    in_flight: VecDeque<InFlight>,
    last_id: u32,
    /// Times at which attempts were sent to the cold worker after its start, in milliseconds.
    pub(crate) cold_sends_ms: Vec<u64>,
}

impl SimulatedFleet {
    /// Creates a fleet whose workers are all warm.
    pub(crate) fn new(seed: u64) -> SimulatedFleet {
        let schedulers: Vec<PolicyHarness> = (0..SCHEDULERS)
            .map(|index| PolicyHarness::new(fleet_settings(index), WORKERS))
            .collect();
        let cold_start = schedulers[0].now + Span::from_millis(COLD_START_MS);
        SimulatedFleet {
            schedulers,
            cold: endpoint_started_at(COLD_WORKER.0, cold_start),
            random: RandomNumbers::new(seed),
            in_flight: VecDeque::new(),
            last_id: 0,
            cold_sends_ms: vec![],
        }
    }

    /// Replaces schedulers by new ones with the current endpoint list; attempts of the old ones get no
    /// response.
    fn restart(&mut self, restart: Restart) {
        for index in 0..restart.count {
            let scheduler = index as usize;
            let mut harness = PolicyHarness::new(fleet_settings(index), WORKERS);
            harness.now = self.schedulers[scheduler].now;
            harness.update_endpoints(EndpointUpdateKind::Snapshot, self.endpoints(restart.at_ms));
            self.schedulers[scheduler] = harness;
            self.in_flight.retain(|attempt| attempt.scheduler != scheduler);
        }
    }

    fn endpoints(&self, at_ms: u64) -> Vec<Endpoint> {
        let mut endpoints: Vec<Endpoint> = (1..=WORKERS).map(ready_endpoint).collect();
        if at_ms >= COLD_START_MS {
            endpoints[0] = self.cold;
        }
        endpoints
    }

    /// Advances one scheduler by one step, in which a request may arrive.
    fn step_scheduler(&mut self, scheduler: usize, now_ms: u64) {
        let harness = &mut self.schedulers[scheduler];
        if now_ms == COLD_START_MS {
            harness.update_endpoints(EndpointUpdateKind::Delta, vec![self.cold]);
        }
        let sent_before = harness.sent.len();
        harness.advance_ms(STEP_MS);
        if self.random.next() < REQUEST_RATE / f64::from(SCHEDULERS) / 100.0 {
            self.last_id += 1;
            // The distribution is skewed: a few functions receive most requests.
            let function = (self.random.next() * self.random.next() * 40.0) as u64;
            harness.receive(request(self.last_id, function));
        }
        for sent in &harness.sent[sent_before..] {
            let response_at_ms = now_ms + LATENCY_MS;
            let attempt = InFlight {
                response_at_ms,
                scheduler,
                request: sent.request,
                attempt: sent.attempt,
            };
            self.in_flight.push_back(attempt);
            if sent.worker == COLD_WORKER && now_ms >= COLD_START_MS {
                self.cold_sends_ms.push(now_ms);
            }
        }
    }

    /// Ends all attempts that are due.
    fn respond_to_attempts(&mut self, now_ms: u64) {
        while self
            .in_flight
            .front()
            .is_some_and(|attempt| attempt.response_at_ms <= now_ms)
        {
            if let Some(due) = self.in_flight.pop_front() {
                self.schedulers[due.scheduler].finish_attempt(due.request, due.attempt, AttemptStatus::Ok);
            }
        }
    }

    /// Runs the fleet with these restarts.
    pub(crate) fn run(&mut self, restarts: &[Restart]) {
        for now_ms in (0..RUN_MS).step_by(STEP_MS as usize) {
            for restart in restarts.iter().filter(|restart| restart.at_ms == now_ms) {
                self.restart(*restart);
            }
            for scheduler in 0..self.schedulers.len() {
                self.step_scheduler(scheduler, now_ms);
            }
            self.respond_to_attempts(now_ms);
        }
    }
}

fn fleet_settings(index: u32) -> Settings {
    let mut settings = Settings {
        scheduler_count: SCHEDULERS,
        index,
        ..test_settings(OnMiss::Load)
    };
    let limits = &mut settings.safety_limits;
    limits.overload_multiple = OVERLOAD_MULTIPLE;
    limits.overload_window = Span::from_millis(OVERLOAD_WINDOW_MS);
    limits.initial_capacity = INITIAL_CAPACITY;
    limits.warm_up_duration = Span::from_millis(WARM_UP_MS);
    settings
}

/// Returns the largest number of requests that may be sent to the cold worker in an overload window that
/// begins at this time, including a tolerance for random variation.
pub(crate) fn cold_budget(window_start_ms: u64) -> f64 {
    let warmed_up = (window_start_ms - COLD_START_MS) as f64 / WARM_UP_MS as f64;
    let capacity = INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * warmed_up;
    let requests = OVERLOAD_MULTIPLE * capacity * WORKER_RATE * (OVERLOAD_WINDOW_MS as f64 / 1000.0);
    requests + 2.0 * requests.sqrt() + 2.0
}
