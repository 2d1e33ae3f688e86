//! Tests of outlier detection: workers that fail or do not respond are avoided, and their requests are placed
//! elsewhere.

use crate::support::policy_fixtures::{
    IDEMPOTENT, NON_IDEMPOTENT, attempt_outcome, ready_endpoint, request, request_of_class, test_settings,
};
use crate::support::policy_harness::{PolicyHarness, cancel_count, health_check_count, workers_sent_to};
use function_scheduler::{
    Action, AttemptOutcome, AttemptStatus, Endpoint, EndpointUpdateKind, Event, HealthCheckStatus, OnMiss,
    RequestId, Span, WorkerId, ZoneId,
};
use std::collections::BTreeSet;

/// Guards against discarding the loaded instances of a worker after a single reset connection, which starts
/// loads on other workers (incident i650135).
#[test]
fn reset_connection_keeps_the_loaded_instances_but_a_refused_one_does_not() {
    for (status, stays) in [
        (AttemptStatus::Reset, true),
        (AttemptStatus::ConnectFailed, false),
    ] {
        let mut harness = PolicyHarness::new(test_settings(OnMiss::Load), 3);
        let primary = harness.receive_and_place(request(1, 7));
        harness.finish_last_attempt(AttemptStatus::Ok);
        harness.receive(request(2, 7));
        let retry = workers_sent_to(&harness.finish_last_attempt(status));
        assert_eq!(retry == primary, stays, "{status:?}");
    }
}

/// Guards against sending more and more requests to a worker that fails every request at once, because its
/// load is the lowest.
#[test]
fn worker_that_fails_every_request_at_once_is_ejected() {
    let mut harness = PolicyHarness::new(test_settings(OnMiss::Load), 4);
    let faulty = harness.receive_and_place(request(0, 7))[0];
    harness.finish_last_attempt(AttemptStatus::Ok);
    let mut attempts_at_faulty = 0;
    for n in 1..100 {
        let mut sent_to = harness.receive_and_place(request(n, 7));
        for attempt in 0..3 {
            let Some(worker) = sent_to.first().copied() else {
                break;
            };
            attempts_at_faulty += usize::from(worker == faulty);
            let status = if worker == faulty {
                AttemptStatus::Error
            } else {
                AttemptStatus::Ok
            };
            sent_to = workers_sent_to(&harness.finish_attempt(RequestId(n), attempt, status));
            assert!(
                !sent_to.contains(&faulty) || worker != faulty,
                "no immediate retry on the worker that just failed"
            );
        }
        harness.advance_ms(10);
    }
    assert!(attempts_at_faulty < 15, "{attempts_at_faulty} of 99");
}

/// Guards against requests that wait until their deadlines for an unreachable machine, which resets no
/// connection.
#[test]
fn silent_worker_is_health_checked_and_its_requests_are_placed_elsewhere() {
    for (class, moves) in [(IDEMPOTENT, true), (NON_IDEMPOTENT, false)] {
        let mut harness = PolicyHarness::new(test_settings(OnMiss::Load), 4);
        let primary = harness.receive_and_place(request_of_class(1, 7, class))[0];
        assert_eq!(health_check_count(&harness.advance_ms(700)), 0);
        assert_eq!(
            health_check_count(&harness.advance_ms(400)),
            1,
            "one health check at a time"
        );
        let actions = harness.handle(Event::HealthCheckFinished {
            worker: primary,
            status: HealthCheckStatus::Timeout,
        });
        assert_eq!(cancel_count(&actions), 0);
        assert_eq!(health_check_count(&harness.advance_ms(300)), 1);
        let actions = harness.handle(Event::HealthCheckFinished {
            worker: primary,
            status: HealthCheckStatus::Failed,
        });
        let cancel = Action::Cancel {
            id: RequestId(1),
            attempt: 0,
        };
        assert_eq!(actions.contains(&cancel), moves, "{class:?}");
        if moves {
            let next = workers_sent_to(&harness.finish_attempt(RequestId(1), 0, AttemptStatus::Cancelled));
            assert!(next.len() == 1 && next[0] != primary, "{next:?}");
        }
        let other = harness.receive_and_place(request(2, 7))[0];
        assert_ne!(other, primary, "an ejected worker gets no new request");
    }
    let mut harness = PolicyHarness::new(test_settings(OnMiss::Load), 4);
    let primary = harness.receive_and_place(request(1, 7))[0];
    harness.advance_ms(1100);
    harness.handle(Event::HealthCheckFinished {
        worker: primary,
        status: HealthCheckStatus::Alive,
    });
    assert_eq!(
        health_check_count(&harness.advance_ms(700)),
        0,
        "the worker is alive and only slow"
    );
}

/// Returns whether a worker is in the zone that the test makes unreachable.
fn is_unreachable(worker: &WorkerId) -> bool {
    worker.0 % 2 == 1
}

/// Submits a request for a function of its own, serves it unless its worker is unreachable, and returns the
/// worker.
fn place_and_serve(harness: &mut PolicyHarness, id: u32) -> WorkerId {
    let worker = harness.receive_and_place(request(id, u64::from(id)))[0];
    if !is_unreachable(&worker) {
        harness.finish_last_attempt(AttemptStatus::Ok);
    }
    worker
}

/// Guards against sending requests to an unreachable zone, where each waits until its deadline. Health checks
/// are not allowed there, and no connection is reset (rennes-campus, case3338).
#[test]
fn zone_that_is_silent_to_several_requests_is_ejected_and_its_requests_are_placed_elsewhere() {
    let mut settings = test_settings(OnMiss::Load);
    settings.permissions.may_probe = false;
    let mut harness = PolicyHarness::new(settings, 0);
    let in_one_of_two_zones = |n: u64| Endpoint {
        zone: ZoneId((n % 2) as u8),
        ..ready_endpoint(n)
    };
    harness.update_endpoints(
        EndpointUpdateKind::Snapshot,
        (1..=8).map(in_one_of_two_zones).collect(),
    );
    let mut ids = 1..;
    let mut place_next = |harness: &mut PolicyHarness| place_and_serve(harness, ids.next().unwrap());
    let mut silent = BTreeSet::new();
    while silent.len() < 3 {
        silent.extend(Some(place_next(&mut harness)).filter(is_unreachable));
    }
    let cancels = cancel_count(&harness.advance_ms(390));
    assert_eq!(cancels, 0, "half the latency objective of 800 ms has not passed");
    while is_unreachable(&place_next(&mut harness)) {}
    assert!(cancel_count(&harness.advance_ms(210)) >= 3);
    assert!((0..30).all(|_| !is_unreachable(&place_next(&mut harness))));
}

/// Guards against ignoring an attempt that ends without a response: it must count against its worker
/// (rennes-campus, case3338).
#[test]
fn worker_that_was_silent_for_a_requests_whole_time_is_avoided() {
    let mut settings = test_settings(OnMiss::Load);
    settings.permissions.may_probe = false;
    let mut harness = PolicyHarness::new(settings, 4);
    let primary = harness.receive_and_place(request(1, 7));
    let cancel = Action::Cancel {
        id: RequestId(1),
        attempt: 0,
    };
    assert!(harness.advance_ms(2500).contains(&cancel));
    harness.handle(Event::AttemptFinished(AttemptOutcome {
        latency: Span::from_millis(2498),
        request_finished: true,
        ..attempt_outcome(RequestId(1), 0, AttemptStatus::Cancelled)
    }));
    let next = harness.receive_and_place(request(2, 7));
    assert!(next.len() == 1 && next != primary, "{next:?} is not {primary:?}");
}
