//! Workers that have just started get no more requests than they can serve while they warm up.

use crate::support::policy_harness::{
    PolicyHarness, endpoint_started_at, ready_endpoint, request, test_settings, workers_sent_to,
};
use function_scheduler::{
    Endpoint, EndpointState, EndpointUpdateKind, OnMiss, RequestId, Settings, Span, Status, Time, WorkerId,
};
use std::collections::VecDeque;

/// The worker that starts, in every test here.
const COLD_WORKER: WorkerId = WorkerId(1);

/// Replaces the endpoint of the cold worker by one that started so long ago.
fn start_cold_worker(harness: &mut PolicyHarness, age_ms: u64) -> Endpoint {
    let cold = endpoint_started_at(COLD_WORKER.0, harness.now - Span::from_millis(age_ms));
    harness.update_endpoints(EndpointUpdateKind::Delta, vec![cold]);
    cold
}

#[test]
fn cold_worker_gets_no_more_than_its_initial_capacity() {
    let mut harness = PolicyHarness::new(test_settings(OnMiss::Load), 4);
    let mut cold_sends: Vec<Time> = vec![];
    for step in 0..400 {
        if step == 200 {
            start_cold_worker(&mut harness, 500);
        }
        let id = step + 1;
        let sent_to = harness.receive_and_place(request(id, u64::from(id)));
        if step >= 200 && sent_to.contains(&COLD_WORKER) {
            cold_sends.push(harness.now);
        }
        harness.advance_ms(20);
        harness.finish_last_attempt(Status::Ok);
    }
    // 50 requests a second over three warm workers; a fifth of one's rate, two and a half times, for 2 s.
    let window_end = cold_sends[0] + Span::from_millis(2000);
    let early = cold_sends.iter().filter(|at| **at < window_end).count();
    assert!((1..=18).contains(&early), "{early}");
}

/// Incident iffdf7b: one request was more than each of 1,700 schedulers' shares, and a release starved its successors.
#[test]
fn large_fleet_neither_starves_nor_floods_a_cold_worker() {
    let mut sent_to_cold = 0;
    for index in 0..600 {
        let settings = Settings { fleet_size: 600, index, ..test_settings(OnMiss::Load) };
        let mut harness = PolicyHarness::new(settings, 4);
        start_cold_worker(&mut harness, 500);
        let sent_to = harness.receive_and_place(request(1, u64::from(index)));
        sent_to_cold += sent_to.iter().filter(|worker| **worker == COLD_WORKER).count();
    }
    // A quarter of 600 requests would go there; about a tenth of those is admitted.
    assert!((5..=40).contains(&sent_to_cold), "{sent_to_cold}");
}

/// rennes-campus, case4356: of what a release's successors could do they were given half, and the old workers were
/// overloaded.
#[test]
fn admission_to_a_cold_worker_follows_its_capacity() {
    for (age_ms, expected) in [(0, 0.2), (4_500, 0.4), (9_000, 0.6)] {
        let mut sent_to_cold = 0;
        for index in 0..400 {
            let mut settings = Settings { fleet_size: 400, index, ..test_settings(OnMiss::Load) };
            settings.safety_limits.overload_multiple = 4.0;
            let mut harness = PolicyHarness::new(settings, 1);
            start_cold_worker(&mut harness, age_ms);
            sent_to_cold += harness.receive_and_place(request(1, u64::from(index))).len();
        }
        let part = sent_to_cold as f64 / 400.0;
        assert!((expected - 0.06..expected + 0.06).contains(&part), "{part} after {age_ms} ms");
    }
}

/// How the cold worker leaves the endpoint list for a while.
#[derive(Clone, Copy, Debug)]
enum Departure {
    /// It stays listed.
    None,
    /// A full list leaves it out.
    OmittedFromFullList,
    /// A change says that it is gone.
    ReportedGone,
}

fn depart(harness: &mut PolicyHarness, cold: Endpoint, departure: Departure) {
    match departure {
        Departure::None => {}
        Departure::OmittedFromFullList => harness.update_endpoints(EndpointUpdateKind::Full, vec![]),
        Departure::ReportedGone => {
            let gone = Endpoint { state: EndpointState::Gone, ..cold };
            harness.update_endpoints(EndpointUpdateKind::Delta, vec![gone]);
        }
    }
}

/// A late list leaves a cold worker out and the next one names it again: what it was sent before still counts, or
/// all schedulers together would send it a second budget in the same window.
#[test]
fn cold_worker_that_leaves_the_list_for_a_while_gets_no_second_budget() {
    for departure in [Departure::None, Departure::OmittedFromFullList, Departure::ReportedGone] {
        let mut sent_before = 0;
        let mut sent_after = 0;
        for index in 0..200 {
            let settings = Settings { fleet_size: 200, index, ..test_settings(OnMiss::Load) };
            let mut harness = PolicyHarness::new(settings, 1);
            let cold = start_cold_worker(&mut harness, 9_000);
            if harness.receive_and_place(request(1, 7)).is_empty() {
                continue;
            }
            sent_before += 1;
            harness.finish_last_attempt(Status::Ok);
            depart(&mut harness, cold, departure);
            harness.advance_ms(300);
            harness.update_endpoints(EndpointUpdateKind::Delta, vec![cold]);
            for id in 2..12 {
                sent_after += workers_sent_to(&harness.receive(request(id, 7))).len();
            }
        }
        let within_window = sent_before > 0 && sent_after == 0;
        assert!(within_window, "{departure:?}: {sent_before} and {sent_after} within the overload window");
    }
}

/// Schedulers in the simulated fleet.
const SCHEDULERS: u32 = 30;
/// Workers in the simulated fleet.
const WORKERS: u64 = 8;
/// Requests that a warm worker serves in a second.
const WORKER_RATE: f64 = 10.0;
/// Requests that come to the fleet in a second: a third more than all workers serve.
const REQUEST_RATE: f64 = WORKER_RATE * WORKERS as f64 * 1.3;
/// When the cold worker starts.
const COLD_START_MS: u64 = 6_000;
/// How long each attempt takes.
const LATENCY_MS: u64 = 200;
/// The step of the simulation, as that of the harness's clock.
const STEP_MS: u64 = 10;
const INITIAL_CAPACITY: f64 = 0.16;
const WARM_UP_MS: u64 = 17_000;
const OVERLOAD_MULTIPLE: f64 = 4.0;
const OVERLOAD_WINDOW_MS: u64 = 3_000;

/// The schedulers with indexes below `count` start anew.
#[derive(Clone, Copy, Debug)]
struct Restart {
    at_ms: u64,
    count: u32,
}

/// An attempt of the simulated fleet that will be answered.
struct InFlight {
    answered_at_ms: u64,
    scheduler: usize,
    request: RequestId,
    attempt: u16,
}

/// A generator of reproducible numbers from 0 to 1.
struct RandomNumbers {
    state: u64,
}

impl RandomNumbers {
    fn new(seed: u64) -> RandomNumbers {
        RandomNumbers { state: 0x9e37_79b9_7f4a_7c15 ^ seed }
    }

    fn next(&mut self) -> f64 {
        self.state =
            self.state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.state >> 33) as f64 / (1u64 << 31) as f64
    }
}

/// Many schedulers with more requests than their workers can serve.
struct SimulatedFleet {
    schedulers: Vec<PolicyHarness>,
    cold: Endpoint,
    random: RandomNumbers,
    in_flight: VecDeque<InFlight>,
    last_id: u32,
    /// When an attempt was sent to the cold worker after its start, in milliseconds.
    cold_sends_ms: Vec<u64>,
}

impl SimulatedFleet {
    fn new(seed: u64) -> SimulatedFleet {
        let schedulers: Vec<PolicyHarness> =
            (0..SCHEDULERS).map(|index| PolicyHarness::new(fleet_settings(index), WORKERS)).collect();
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

    /// Starts schedulers anew, with the endpoint list of that time and without their requests.
    fn restart(&mut self, restart: Restart) {
        for index in 0..restart.count {
            let scheduler = index as usize;
            let mut harness = PolicyHarness::new(fleet_settings(index), WORKERS);
            harness.now = self.schedulers[scheduler].now;
            harness.update_endpoints(EndpointUpdateKind::Full, self.endpoints(restart.at_ms));
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

    /// One step of one scheduler: time passes, and a request may come.
    fn step_scheduler(&mut self, scheduler: usize, now_ms: u64) {
        let harness = &mut self.schedulers[scheduler];
        if now_ms == COLD_START_MS {
            harness.update_endpoints(EndpointUpdateKind::Delta, vec![self.cold]);
        }
        let sent_before = harness.sent.len();
        harness.advance_ms(STEP_MS);
        if self.random.next() < REQUEST_RATE / f64::from(SCHEDULERS) / 100.0 {
            self.last_id += 1;
            // A few functions draw most requests.
            let function = (self.random.next() * self.random.next() * 40.0) as u64;
            harness.receive(request(self.last_id, function));
        }
        for sent in &harness.sent[sent_before..] {
            let answered_at_ms = now_ms + LATENCY_MS;
            let attempt =
                InFlight { answered_at_ms, scheduler, request: sent.request, attempt: sent.attempt };
            self.in_flight.push_back(attempt);
            if sent.worker == COLD_WORKER && now_ms >= COLD_START_MS {
                self.cold_sends_ms.push(now_ms);
            }
        }
    }

    fn answer_attempts(&mut self, now_ms: u64) {
        while self.in_flight.front().is_some_and(|attempt| attempt.answered_at_ms <= now_ms) {
            if let Some(due) = self.in_flight.pop_front() {
                self.schedulers[due.scheduler].finish_attempt(due.request, due.attempt, Status::Ok);
            }
        }
    }

    fn run(&mut self, restarts: &[Restart]) {
        for now_ms in (0..14_000).step_by(STEP_MS as usize) {
            for restart in restarts.iter().filter(|restart| restart.at_ms == now_ms) {
                self.restart(*restart);
            }
            for scheduler in 0..self.schedulers.len() {
                self.step_scheduler(scheduler, now_ms);
            }
            self.answer_attempts(now_ms);
        }
    }
}

fn fleet_settings(index: u32) -> Settings {
    let mut settings = Settings { fleet_size: SCHEDULERS, index, ..test_settings(OnMiss::Load) };
    let limits = &mut settings.safety_limits;
    limits.overload_multiple = OVERLOAD_MULTIPLE;
    limits.overload_window = Span::from_millis(OVERLOAD_WINDOW_MS);
    limits.initial_capacity = INITIAL_CAPACITY;
    limits.warm_up_duration = Span::from_millis(WARM_UP_MS);
    settings
}

/// The most requests that may go to the cold worker in an overload window that begins then, with a slack for chance.
fn cold_budget(window_start_ms: u64) -> f64 {
    let warmed_up = (window_start_ms - COLD_START_MS) as f64 / WARM_UP_MS as f64;
    let capacity = INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * warmed_up;
    let requests = OVERLOAD_MULTIPLE * capacity * WORKER_RATE * (OVERLOAD_WINDOW_MS as f64 / 1000.0);
    requests + 2.0 * requests.sqrt() + 2.0
}

/// Thirty schedulers with more requests than the workers are good for, one worker that starts cold and schedulers
/// that start anew, some or all, just before or after it: what all of them send it keeps to the budget, with its slack.
#[test]
fn fleet_keeps_a_cold_workers_budget_also_after_restarts() {
    let restart = |at_ms, count| Restart { at_ms, count };
    let cases = [
        vec![],
        vec![restart(5_900, SCHEDULERS)],
        vec![restart(6_500, 20)],
        vec![restart(6_100, 15), restart(7_000, 30)],
    ];
    for (seed, restarts) in (0..).zip(cases) {
        let mut fleet = SimulatedFleet::new(seed);
        fleet.run(&restarts);
        let sends = &fleet.cold_sends_ms;
        for (n, start) in sends.iter().enumerate() {
            let budget = cold_budget(*start);
            let sent = sends[n..].iter().filter(|at| **at < start + OVERLOAD_WINDOW_MS).count();
            let within = sent as f64 <= budget;
            assert!(within, "{sent} requests of {budget:.0} from {start} ms, restarts {restarts:?}");
        }
        assert!(sends.len() > 10, "and it is not left idle: {} requests", sends.len());
    }
}
