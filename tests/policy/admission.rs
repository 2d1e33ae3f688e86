//! Tests of load shedding: which requests are rejected early, and when.

use crate::support::policy_fixtures::{request, test_settings};
use crate::support::policy_harness::{PolicyHarness, rejections_and_failures, workers_sent_to};
use function_scheduler::{
    Action, AttemptStatus, IncomingRequest, OnMiss, RejectionCause, RequestId, Settings, Span,
};

/// Guards against holding a request that no worker can serve until just before its deadline.
#[test]
fn request_without_a_worker_is_rejected_early_with_a_retry_after() {
    let mut settings = test_settings(OnMiss::Miss);
    settings.permissions.max_retry_after = Some(Span::from_millis(500));
    let mut harness = PolicyHarness::new(settings, 0);
    harness.receive(request(1, 7));
    assert!(
        rejections_and_failures(&harness.advance_ms(1000)).is_empty(),
        "a worker may still appear"
    );
    let rejection = Action::Reject {
        id: RequestId(1),
        retry_after: Span::from_millis(250),
        cause: RejectionCause::NotServed,
    };
    let actions = harness.advance_ms(100);
    assert_eq!(
        rejections_and_failures(&actions),
        vec![rejection],
        "rejected before half of its 2500 ms has passed"
    );
}

/// Guards against queues at the workers that grow until all responses are late (incidents i0164ec and
/// i650135).
#[test]
fn overload_is_shed_by_the_scheduler_and_not_queued_at_workers() {
    let mut harness = PolicyHarness::new(test_settings(OnMiss::Load), 1);
    harness.receive(request(100, 7));
    harness.finish_last_attempt(AttemptStatus::Ok);
    let mut actions = vec![];
    for n in 0..60 {
        actions.extend(harness.receive(request(n, 7)));
    }
    let sent = workers_sent_to(&actions).len();
    assert!(sent < 30, "{sent}");
    let later = harness.advance_ms(400);
    let ended_or_sent = rejections_and_failures(&later).len() + workers_sent_to(&later).len();
    assert_eq!(ended_or_sent, 60 - sent, "the rest is rejected early");
}

/// Clients may have a time limit far shorter than the latency objective of their class (incident i16eeb2).
#[test]
fn short_time_limit_of_a_client_bounds_the_wait_for_capacity() {
    for (remaining_ms, rejected) in [(300, true), (2500, false)] {
        let mut harness = PolicyHarness::new(test_settings(OnMiss::Load), 1);
        harness.receive(request(100, 7));
        harness.finish_last_attempt(AttemptStatus::Ok);
        for n in 0..60 {
            let remaining = Span::from_millis(remaining_ms);
            harness.receive(IncomingRequest {
                remaining,
                ..request(n, 7)
            });
        }
        let ended = rejections_and_failures(&harness.advance_ms(120));
        assert_eq!(!ended.is_empty(), rejected, "{remaining_ms}");
    }
}

/// In an overloaded large fleet, each scheduler sends too few requests to each worker for the limit of a
/// single worker to take effect.
#[test]
fn saturation_over_all_workers_sheds_before_anything_is_queued() {
    let settings = Settings {
        scheduler_count: 200,
        ..test_settings(OnMiss::Load)
    };
    let mut harness = PolicyHarness::new(settings, 40);
    for n in 0..60 {
        harness.receive(request(1000 + n, u64::from(n)));
        harness.finish_last_attempt(AttemptStatus::Ok);
    }
    let mut ended = 0;
    for n in 0..60 {
        let actions = harness.receive(request(n, u64::from(n)));
        ended += rejections_and_failures(&actions).len();
        for attempt in 0..5 {
            let last = harness.sent.last();
            if last.is_some_and(|last| last.request == RequestId(n) && last.attempt == attempt) {
                harness.finish_attempt(RequestId(n), attempt, AttemptStatus::AtCapacity);
            }
        }
        harness.advance_ms(100);
    }
    assert!((20..=55).contains(&ended), "{ended}");
}
