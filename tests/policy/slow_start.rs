//! Tests of slow start: workers that have just started get no more requests than they can serve while they
//! warm up.

use crate::simulated_fleet::{
    COLD_WORKER, OVERLOAD_WINDOW_MS, Restart, SCHEDULERS, SimulatedFleet, cold_budget,
};
use crate::support::policy_fixtures::{endpoint_started_at, request, test_settings};
use crate::support::policy_harness::{PolicyHarness, workers_sent_to};
use function_scheduler::{
    AttemptStatus, Endpoint, EndpointState, EndpointUpdateKind, OnMiss, Settings, Span, Time,
};

/// Replaces the endpoint of the cold worker by one that started `age_ms` ago, and returns it.
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
        harness.finish_last_attempt(AttemptStatus::Ok);
    }
    // Three warm workers serve 50 requests per second. The cold worker may get the rate of one of them times
    // its initial capacity (0.2) times the overload multiple (2.5), in an overload window of 2 s.
    let window_end = cold_sends[0] + Span::from_millis(2000);
    let early = cold_sends.iter().filter(|at| **at < window_end).count();
    assert!((1..=18).contains(&early), "{early}");
}

/// Guards against new workers of a release that get no requests, because one request exceeds the budget of
/// each scheduler in a fleet of 1,700 (incident iffdf7b).
#[test]
fn large_fleet_neither_starves_nor_floods_a_cold_worker() {
    let mut sent_to_cold = 0;
    for index in 0..600 {
        let settings = Settings {
            scheduler_count: 600,
            index,
            ..test_settings(OnMiss::Load)
        };
        let mut harness = PolicyHarness::new(settings, 4);
        start_cold_worker(&mut harness, 500);
        let sent_to = harness.receive_and_place(request(1, u64::from(index)));
        sent_to_cold += sent_to.iter().filter(|worker| **worker == COLD_WORKER).count();
    }
    // Without slow start, a quarter of the 600 requests goes to the cold worker; about a tenth of those is
    // admitted.
    assert!((5..=40).contains(&sent_to_cold), "{sent_to_cold}");
}

/// Guards against sending the new workers of a release half of what they can serve while the old ones are
/// overloaded (rennes-campus, case4356).
#[test]
fn admission_to_a_cold_worker_follows_its_capacity() {
    for (age_ms, expected) in [(0, 0.2), (4_500, 0.4), (9_000, 0.6)] {
        let mut sent_to_cold = 0;
        for index in 0..400 {
            let mut settings = Settings {
                scheduler_count: 400,
                index,
                ..test_settings(OnMiss::Load)
            };
            settings.safety_limits.overload_multiple = 4.0;
            let mut harness = PolicyHarness::new(settings, 1);
            start_cold_worker(&mut harness, age_ms);
            sent_to_cold += harness.receive_and_place(request(1, u64::from(index))).len();
        }
        let fraction = sent_to_cold as f64 / 400.0;
        assert!(
            (expected - 0.06..expected + 0.06).contains(&fraction),
            "{fraction} after {age_ms} ms"
        );
    }
}

/// How the cold worker temporarily leaves the endpoint list.
#[derive(Clone, Copy, Debug)]
enum Departure {
    /// It stays listed.
    None,
    /// A snapshot omits it.
    OmittedFromSnapshot,
    /// A delta reports it as gone.
    ReportedGone,
}

fn depart(harness: &mut PolicyHarness, cold: Endpoint, departure: Departure) {
    match departure {
        Departure::None => {}
        Departure::OmittedFromSnapshot => harness.update_endpoints(EndpointUpdateKind::Snapshot, vec![]),
        Departure::ReportedGone => {
            let gone = Endpoint {
                state: EndpointState::Gone,
                ..cold
            };
            harness.update_endpoints(EndpointUpdateKind::Delta, vec![gone]);
        }
    }
}

/// A stale list omits a cold worker and the next one contains it again: the requests sent to it before still
/// count. Otherwise all schedulers together would send it a second budget in the same window.
#[test]
fn cold_worker_that_leaves_the_list_for_a_while_gets_no_second_budget() {
    for departure in [
        Departure::None,
        Departure::OmittedFromSnapshot,
        Departure::ReportedGone,
    ] {
        let mut sent_before = 0;
        let mut sent_after = 0;
        for index in 0..200 {
            let settings = Settings {
                scheduler_count: 200,
                index,
                ..test_settings(OnMiss::Load)
            };
            let mut harness = PolicyHarness::new(settings, 1);
            let cold = start_cold_worker(&mut harness, 9_000);
            if harness.receive_and_place(request(1, 7)).is_empty() {
                continue;
            }
            sent_before += 1;
            harness.finish_last_attempt(AttemptStatus::Ok);
            depart(&mut harness, cold, departure);
            harness.advance_ms(300);
            harness.update_endpoints(EndpointUpdateKind::Delta, vec![cold]);
            for id in 2..12 {
                sent_after += workers_sent_to(&harness.receive(request(id, 7))).len();
            }
        }
        let within_window = sent_before > 0 && sent_after == 0;
        assert!(
            within_window,
            "{departure:?}: {sent_before} and {sent_after} within the overload window"
        );
    }
}

/// In an overloaded fleet, one worker starts cold, and some or all schedulers restart around that time. The
/// requests that all schedulers send to the cold worker must stay within its budget.
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
            let sent = sends[n..]
                .iter()
                .filter(|at| **at < start + OVERLOAD_WINDOW_MS)
                .count();
            let within = sent as f64 <= budget;
            assert!(
                within,
                "{sent} requests of {budget:.0} from {start} ms, restarts {restarts:?}"
            );
        }
        assert!(
            sends.len() > 10,
            "the cold worker is left idle: {} requests",
            sends.len()
        );
    }
}

/// The start time may be in the future: the wall clock of the worker may be ahead, or the clock of this
/// machine may have been stepped back. A worker cannot start after it is listed, so it must warm up from the
/// time at which it is listed, not an hour later.
#[test]
fn worker_with_a_start_time_in_the_future_still_warms_up() {
    let hour = Span::from_millis(3_600_000);
    let mut sent_to_it = 0;
    for index in 0..100 {
        let settings = Settings {
            scheduler_count: 100,
            index,
            ..test_settings(OnMiss::Load)
        };
        let mut harness = PolicyHarness::new(settings, 1);
        let future_endpoint = endpoint_started_at(COLD_WORKER.0, harness.now + hour);
        harness.update_endpoints(EndpointUpdateKind::Delta, vec![future_endpoint]);
        harness.advance_ms(20_000);
        // Any later change lists the worker again.
        harness.update_endpoints(EndpointUpdateKind::Delta, vec![future_endpoint]);
        sent_to_it += harness.receive_and_place(request(1, u64::from(index))).len();
    }
    assert_eq!(sent_to_it, 100, "it is warm after 18 s");
}
