//! Tests of determinism and of robustness against unknown, repeated and invalid events.

use crate::support::policy_fixtures::{IDEMPOTENT, request, request_of_class, test_settings};
use crate::support::policy_harness::{PolicyHarness, rejections_and_failures};
use function_scheduler::{
    Action, AttemptStatus, ClassId, Event, FunctionId, IncomingRequest, LoadStatus, OnMiss, RequestId, Span,
    WorkerId,
};

#[test]
fn unknown_and_invalid_events_are_ignored() {
    let mut harness = PolicyHarness::new(test_settings(OnMiss::Miss), 2);
    harness.finish_attempt(RequestId(9), 3, AttemptStatus::Ok);
    harness.finish_load(WorkerId(77), FunctionId(8), LoadStatus::Error);
    harness.handle(Event::ClientDisconnected(RequestId(9)));
    for (n, invalid) in [0.0, f64::NAN, f64::INFINITY, -3.0].into_iter().enumerate() {
        let ordinary = request(100 + n as u32, 3);
        let remaining = Span(n as u64);
        harness.receive(IncomingRequest {
            memory_mb: invalid,
            concurrency: invalid,
            remaining,
            ..ordinary
        });
    }
    let actions = harness.receive(request_of_class(200, 3, ClassId(99)));
    assert_eq!(
        rejections_and_failures(&actions),
        vec![Action::Fail { id: RequestId(200) }]
    );
    harness.receive(request_of_class(1, 7, IDEMPOTENT));
    harness.finish_last_attempt(AttemptStatus::Ok);
    let repeated = harness.finish_last_attempt(AttemptStatus::Ok);
    let only_timers = repeated
        .iter()
        .all(|action| matches!(action, Action::SetTimer { .. }));
    assert!(only_timers, "a repeated outcome changes nothing");
}

/// Returns all actions for 300 requests for seven functions, of which every fifth misses.
fn actions_of_a_run() -> Vec<Action> {
    let mut harness = PolicyHarness::new(test_settings(OnMiss::Miss), 5);
    let mut actions = vec![];
    for n in 0..300 {
        actions.extend(harness.receive(request(n, u64::from(n % 7))));
        if !harness.sent.is_empty() {
            let status = if n % 5 == 0 {
                AttemptStatus::Miss
            } else {
                AttemptStatus::Ok
            };
            actions.extend(harness.finish_last_attempt(status));
        }
        actions.extend(harness.advance_ms(20));
    }
    actions
}

#[test]
fn same_events_give_the_same_actions() {
    assert_eq!(actions_of_a_run(), actions_of_a_run());
}

/// Guards against thousands of timers that expire at once and keep the caller from all other events (review,
/// ids that no worker knows): they run in parts, and the policy asks to be called again at once for the rest.
#[test]
fn timers_that_expire_at_once_run_in_parts() {
    const REQUESTS: u32 = 1_000;
    const MAX_TIMERS_PER_EVENT: usize = 256;
    let mut harness = PolicyHarness::new(test_settings(OnMiss::Load), 1);
    let mut ended = 0;
    let mut parts = 0;
    for id in 0..REQUESTS {
        ended += rejections_and_failures(&harness.receive(request(id, 3))).len();
    }
    let mut must_run_again = false;
    while ended < REQUESTS as usize {
        let actions = if must_run_again {
            harness.handle(Event::TimerFired)
        } else {
            harness.advance(Span(1))
        };
        let ended_now = rejections_and_failures(&actions).len();
        assert!(ended_now <= MAX_TIMERS_PER_EVENT, "{ended_now}");
        ended += ended_now;
        must_run_again = actions.contains(&Action::SetTimer { delay: Span(0) });
        parts += usize::from(must_run_again);
    }
    assert!(parts > 0, "no timers were left for another event");
}
