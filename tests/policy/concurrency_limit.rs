//! Tests of the adaptive limit on the requests in flight at each worker.

use crate::support::policy_fixtures::{attempt_outcome, request, test_settings};
use crate::support::policy_harness::{PolicyHarness, workers_sent_to};
use function_scheduler::{AttemptOutcome, AttemptStatus, Event, InstanceState, OnMiss, RequestId, Span};

/// Guards against a side effect of a load that fails for lack of memory: requests avoid the loaded instances
/// of the worker, and its limit is lowered.
#[test]
fn worker_without_memory_for_a_new_instance_still_serves_its_loaded_ones() {
    let mut harness = PolicyHarness::new(test_settings(OnMiss::Load), 4);
    let primary = harness.receive_and_place(request(0, 7))[0];
    harness.finish_last_attempt(AttemptStatus::Ok);
    let mut rejected_by_primary = 0;
    for n in 1..200 {
        if harness.receive_and_place(request(n, 1000 + u64::from(n))) != [primary] {
            harness.finish_last_attempt(AttemptStatus::Ok);
            continue;
        }
        rejected_by_primary += 1;
        let next = workers_sent_to(&harness.finish_attempt(RequestId(n), 0, AttemptStatus::AtCapacity));
        assert!(!next.is_empty() && next[0] != primary, "{next:?}");
        harness.finish_attempt(RequestId(n), 1, AttemptStatus::Ok);
        harness.advance_ms(20);
        assert_eq!(harness.receive_and_place(request(1000 + n, 7)), [primary]);
        harness.finish_last_attempt(AttemptStatus::Ok);
        harness.advance_ms(200);
    }
    assert!(rejected_by_primary > 20, "{rejected_by_primary}");
    let sent = (0..40).flat_map(|n| harness.receive_and_place(request(5000 + n, 7)));
    assert!(
        sent.filter(|worker| *worker == primary).count() >= 6,
        "its limit is unchanged"
    );
}

/// Guards against a limit that drops to one request although the worker responds quickly: an instance was
/// evicted without notice, and the worker has no memory for another.
#[test]
fn quick_worker_that_rejects_a_request_keeps_its_limit_and_loses_the_instance() {
    let mut harness = PolicyHarness::new(test_settings(OnMiss::Load), 2);
    let primary = harness.receive_and_place(request(0, 7))[0];
    harness.finish_last_attempt(AttemptStatus::Ok);
    for n in 1..12 {
        if harness.receive_and_place(request(n, 7)) == [primary] {
            let next = workers_sent_to(&harness.finish_attempt(RequestId(n), 0, AttemptStatus::AtCapacity));
            assert!(!next.contains(&primary), "no immediate retry on the same worker");
        }
        harness.finish_last_attempt(AttemptStatus::Ok);
        harness.advance_ms(200);
    }
    let sent: Vec<_> = (100..140)
        .flat_map(|n| harness.receive_and_place(request(n, 100 + u64::from(n))))
        .collect();
    assert!(
        sent.iter().filter(|worker| **worker == primary).count() >= 6,
        "{sent:?}"
    );
}

/// Guards against lowering the limit further while new responses are quick, because the mean latency is
/// still high after slow ones.
#[test]
fn quick_responses_after_slow_ones_do_not_cut_the_limit_further() {
    let mut harness = PolicyHarness::new(test_settings(OnMiss::Load), 1);
    for n in 0..12 {
        harness.receive(request(n, 7));
        harness.advance_ms(200);
        let latency = Span::from_millis(if (1..6).contains(&n) { 700 } else { 100 });
        harness.handle(Event::AttemptFinished(AttemptOutcome {
            latency,
            instance_state: InstanceState::Loaded,
            ..attempt_outcome(RequestId(n), 0, AttemptStatus::Ok)
        }));
    }
    let sent = (100..120)
        .flat_map(|n| harness.receive_and_place(request(n, 7)))
        .count();
    assert!(
        (4..=6).contains(&sent),
        "the limit is lowered for the slow responses alone: {sent}"
    );
}

/// Submits 30 requests spread over this many functions, and returns how many are sent immediately.
fn sent_of_30_requests(harness: &mut PolicyHarness, functions: u32) -> usize {
    let requests = (100..130).map(|n| request(n, u64::from(n % functions)));
    requests
        .map(|request| harness.receive_and_place(request).len())
        .sum()
}

/// Guards against limits that are filled by requests which wait for their loads on idle cores, so that other
/// requests are rejected after a fifth of their latency objective (rennes-campus, day 7 with few
/// schedulers).
#[test]
fn requests_that_wait_for_loads_leave_capacity_for_others() {
    let mut harness = PolicyHarness::new(test_settings(OnMiss::Load), 1);
    let sent = sent_of_30_requests(&mut harness, 100);
    assert_eq!(
        sent, 15,
        "no instance is loaded: each request counts as half against the limit of 8"
    );
    let mut harness = PolicyHarness::new(test_settings(OnMiss::Load), 1);
    harness.receive(request(1, 0));
    harness.finish_last_attempt(AttemptStatus::Ok);
    assert_eq!(sent_of_30_requests(&mut harness, 1), 8, "an instance is loaded");
}
