//! Tests of retries: which failed attempts are followed by another, and how a request without a further
//! attempt ends.

use crate::support::policy_fixtures::{KEYED, NON_IDEMPOTENT, request, request_of_class, test_settings};
use crate::support::policy_harness::{PolicyHarness, rejections_and_failures, workers_sent_to};
use function_scheduler::{Action, AttemptStatus, OnMiss, RequestId};

#[test]
fn request_whose_attempt_gets_no_response_fails_just_before_its_deadline() {
    let mut harness = PolicyHarness::new(test_settings(OnMiss::Load), 2);
    harness.receive(request_of_class(1, 7, NON_IDEMPOTENT));
    assert!(
        rejections_and_failures(&harness.advance_ms(2480)).is_empty(),
        "an attempt is in flight"
    );
    let actions = harness.advance_ms(20);
    let failure = Action::Fail { id: RequestId(1) };
    assert_eq!(
        rejections_and_failures(&actions),
        vec![failure],
        "it may have run"
    );
    assert!(actions.contains(&Action::Cancel {
        id: RequestId(1),
        attempt: 0
    }));
    let after_end = harness.finish_attempt(RequestId(1), 0, AttemptStatus::Cancelled);
    assert!(
        after_end
            .iter()
            .all(|action| matches!(action, Action::SetTimer { .. }))
    );
}

#[test]
fn non_idempotent_request_is_retried_only_if_it_cannot_have_run() {
    for status in [
        AttemptStatus::Error,
        AttemptStatus::Reset,
        AttemptStatus::Timeout,
        AttemptStatus::Cancelled,
    ] {
        let mut harness = PolicyHarness::new(test_settings(OnMiss::Load), 4);
        harness.receive(request_of_class(1, 7, NON_IDEMPOTENT));
        let actions = harness.finish_last_attempt(status);
        assert!(workers_sent_to(&actions).is_empty());
        assert_eq!(
            rejections_and_failures(&actions),
            vec![Action::Fail { id: RequestId(1) }]
        );
    }
    for status in [
        AttemptStatus::AtCapacity,
        AttemptStatus::ConnectFailed,
        AttemptStatus::Expired,
        AttemptStatus::NotSent,
    ] {
        let mut harness = PolicyHarness::new(test_settings(OnMiss::Load), 4);
        harness.receive(request_of_class(1, 7, NON_IDEMPOTENT));
        assert_eq!(
            workers_sent_to(&harness.finish_last_attempt(status)).len(),
            1,
            "{status:?}"
        );
    }
}

#[test]
fn keyed_request_is_retried_only_in_its_cell_and_deduplication_window() {
    let mut harness = PolicyHarness::new(test_settings(OnMiss::Load), 6);
    let first = harness.receive_and_place(request_of_class(1, 7, KEYED))[0];
    let next = workers_sent_to(&harness.finish_last_attempt(AttemptStatus::Error))[0];
    assert_eq!(first.0 % 2, next.0 % 2, "the same cell");
    harness.advance_ms(1000);
    let actions = harness.finish_last_attempt(AttemptStatus::Error);
    assert!(workers_sent_to(&actions).is_empty(), "the window is over");
    let failure = Action::Fail { id: RequestId(1) };
    assert_eq!(
        rejections_and_failures(&actions),
        vec![failure],
        "failed at once, not at its deadline"
    );
}

/// Guards against sending a request to the same unreachable worker up to five times: with nearly half of the
/// workers unreachable and others overloaded, too few are healthy for ejected workers to be left out
/// (rennes-campus, day 3).
#[test]
fn request_is_sent_to_each_worker_only_once_if_all_are_unreachable() {
    let mut harness = PolicyHarness::new(test_settings(OnMiss::Load), 5);
    harness.receive(request(1, 7));
    for _ in 0..4 {
        harness.finish_last_attempt(AttemptStatus::ConnectFailed);
    }
    assert_eq!(
        (harness.sent.len(), harness.workers_used().len()),
        (5, 5),
        "{:?}",
        harness.sent
    );
}

/// For a moment no connection can be opened. An attempt that was not sent does not count against the maximum
/// number of attempts, and it is not repeated immediately without end.
#[test]
fn attempts_that_were_not_sent_neither_count_nor_follow_at_once() {
    let mut harness = PolicyHarness::new(test_settings(OnMiss::Load), 2);
    harness.receive(request(1, 7));
    for _ in 0..20 {
        let at_once = harness.finish_last_attempt(AttemptStatus::NotSent);
        assert!(rejections_and_failures(&at_once).is_empty(), "ended too early");
        if workers_sent_to(&at_once).is_empty() {
            let later = harness.advance_ms(50);
            assert_eq!(workers_sent_to(&later).len(), 1, "tried again after a pause");
        }
    }
    let attempts_in_a_row = harness.sent.len();
    assert_eq!(attempts_in_a_row, 21);
    // Attempts that may have been sent count as usual.
    let mut sent = 1;
    while rejections_and_failures(&harness.finish_last_attempt(AttemptStatus::ConnectFailed)).is_empty() {
        sent += 1;
    }
    assert_eq!(sent, test_settings(OnMiss::Load).permissions.max_attempts);
}
