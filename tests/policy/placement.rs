//! Tests of placement: which worker a request is sent to.

use crate::support::policy_fixtures::{attempt_outcome, ready_endpoint, request, test_settings};
use crate::support::policy_harness::{
    PolicyHarness, rejections_and_failures, requested_loads, workers_sent_to,
};
use function_scheduler::{
    AttemptOutcome, AttemptStatus, Endpoint, EndpointState, EndpointUpdateKind, Event, LoadMetric, OnMiss,
    RequestId, Settings,
};

#[test]
fn request_goes_to_its_primary_worker_without_a_load_order_where_workers_load_on_demand() {
    let mut harness = PolicyHarness::new(test_settings(OnMiss::Load), 4);
    let actions = harness.receive(request(1, 7));
    let primary = workers_sent_to(&actions);
    assert_eq!((primary.len(), requested_loads(&actions).len()), (1, 0));
    harness.finish_last_attempt(AttemptStatus::Ok);
    assert_eq!(
        harness.receive_and_place(request(2, 7)),
        primary,
        "the function stays on the warm worker"
    );
}

#[test]
fn schedulers_of_a_fleet_agree_on_the_primary_worker_of_a_function() {
    let settings = test_settings(OnMiss::Load);
    let of_a_fleet = Settings {
        index: 1,
        scheduler_count: 2,
        ..settings.clone()
    };
    let mut one = PolicyHarness::new(settings, 9);
    let mut other = PolicyHarness::new(of_a_fleet, 9);
    for n in 0..20 {
        let request = || request(n, u64::from(n));
        assert_eq!(
            one.receive_and_place(request()),
            other.receive_and_place(request())
        );
    }
}

#[test]
fn draining_and_gone_workers_get_neither_requests_nor_loads() {
    let mut harness = PolicyHarness::new(test_settings(OnMiss::Miss), 2);
    let draining = Endpoint {
        state: EndpointState::Draining,
        ..ready_endpoint(1)
    };
    let gone = Endpoint {
        state: EndpointState::Gone,
        ..ready_endpoint(2)
    };
    harness.update_endpoints(EndpointUpdateKind::Delta, vec![draining, gone]);
    let mut actions = harness.receive(request(1, 7));
    actions.extend(harness.advance_ms(2600));
    assert!(workers_sent_to(&actions).is_empty() && requested_loads(&actions).is_empty());
    assert_eq!(rejections_and_failures(&actions).len(), 1);
}

/// Guards against requests that start loads on one worker after another in an overload, because their
/// primary worker has no capacity.
#[test]
fn primary_worker_at_capacity_does_not_spread_loads_along_the_hash_order() {
    let mut harness = PolicyHarness::new(test_settings(OnMiss::Load), 8);
    for n in 0..20 {
        harness.receive(request(n, 7));
        harness.advance_ms(10);
        harness.receive(request(100 + n, 7));
    }
    let used = harness.workers_used();
    assert!(used.len() <= 2, "{used:?}");
}

/// Guards against requests that wait until their deadline for the only worker with their function loaded,
/// while other workers are idle.
#[test]
fn request_does_not_wait_for_a_worker_at_capacity_while_others_have_capacity() {
    let mut harness = PolicyHarness::new(test_settings(OnMiss::Load), 4);
    let primary = harness.receive_and_place(request(0, 7))[0];
    harness.finish_last_attempt(AttemptStatus::Ok);
    let mut elsewhere = 0;
    for n in 1..30 {
        let sent = harness.receive_and_place(request(n, 7));
        elsewhere += sent.iter().filter(|worker| **worker != primary).count();
    }
    assert_eq!(
        elsewhere, 0,
        "requests stay on the warm worker while it has capacity"
    );
    let actions = harness.advance_ms(300);
    assert!(
        workers_sent_to(&actions).iter().any(|worker| *worker != primary),
        "{actions:?}"
    );
}

/// Guards against requests for rare functions queueing at a primary worker: each of a hundred schedulers has
/// one request in flight there and considers it idle, although its load reports show ninety (rennes-campus,
/// case4356).
#[test]
fn primary_worker_that_reports_many_requests_is_avoided_until_the_report_is_old() {
    let settings = Settings {
        load_metrics: vec![LoadMetric::Utilization, LoadMetric::InFlight],
        scheduler_count: 100,
        ..test_settings(OnMiss::Load)
    };
    let mut harness = PolicyHarness::new(settings, 6);
    let finish_with_report = |harness: &mut PolicyHarness, request: RequestId, load_report: Vec<f32>| {
        let outcome = AttemptOutcome {
            load_report,
            ..attempt_outcome(request, 0, AttemptStatus::Ok)
        };
        harness.handle(Event::AttemptFinished(outcome));
    };
    let primary = harness.receive_and_place(request(1, 7));
    finish_with_report(&mut harness, RequestId(1), vec![1.0, 90.0]);
    let next = harness.receive_and_place(request(2, 7));
    assert!(next.len() == 1 && next != primary, "{next:?} is not {primary:?}");
    finish_with_report(&mut harness, RequestId(2), vec![0.1, 1.0]);
    harness.advance_ms(30_000);
    assert_eq!(harness.receive_and_place(request(3, 7)), primary);
}
