//! Leases: until when workers are given new work while discovery does not confirm the endpoint list.

use crate::support::policy_fixtures::{request, test_settings};
use crate::support::policy_harness::{PolicyHarness, requested_loads, workers_sent_to};
use function_scheduler::{
    Action, AttemptStatus, Endpoint, EndpointSource, EndpointUpdateKind, FunctionId, LoadStatus, OnMiss,
    RejectionCause, Settings, Span, Time, WatchStatus, WorkerId, WorkerUnavailable,
};

/// What may be used of the grace period of [`test_settings`], which is 500 ms.
const USABLE_GRACE: Span = Span::from_millis(450);
const ONE_STEP: Span = Span(1);

/// What becomes of the watch, and when, in milliseconds.
type Change = (u64, WatchStatus);

fn settings() -> Settings {
    test_settings(OnMiss::Load)
}

fn harness(workers: u64) -> PolicyHarness {
    PolicyHarness::new(settings(), workers)
}

/// A policy whose list became stale just now.
fn harness_with_stale_list(workers: u64) -> PolicyHarness {
    let mut harness = harness(workers);
    harness.watch_changed(WatchStatus::Requested);
    harness.now = harness.now + USABLE_GRACE;
    harness
}

fn rejection_cause(actions: &[Action]) -> Option<RejectionCause> {
    actions.iter().find_map(|action| match action {
        Action::Reject { cause, .. } => Some(*cause),
        _ => None,
    })
}

#[test]
fn the_list_is_stale_once_what_was_not_delivered_counts_as_notified() {
    use WatchStatus::{Confirmed, Disabled, Disconnected, EventReceived, Requested};
    let second = 1_000;
    let cases: [(Vec<Change>, Option<u64>); 9] = [
        (vec![], None),
        (vec![(0, Confirmed)], Some(4 * second)),
        (vec![(0, Confirmed), (1_000, Confirmed)], Some(5 * second)),
        (vec![(0, Confirmed), (500, Disconnected)], Some(2_500)),
        (vec![(0, Confirmed), (2_500, Disconnected)], Some(4 * second)),
        (
            vec![(0, Confirmed), (100, Disconnected), (200, Requested)],
            Some(200),
        ),
        (vec![(0, Requested), (100, EventReceived)], Some(1_100)),
        (vec![(0, Confirmed), (100, EventReceived)], Some(4 * second)),
        (vec![(0, Confirmed), (100, Disabled)], None),
    ];
    for (changes, notified_after) in cases {
        let mut harness = harness(1);
        let start = harness.now;
        for (delay, status) in &changes {
            harness.now = start + Span::from_millis(*delay);
            harness.watch_changed(*status);
        }
        let expected = notified_after.map(|delay| start + Span::from_millis(delay) + USABLE_GRACE);
        assert_eq!(harness.policy().list_stale_at(), expected, "{changes:?}");
    }
}

#[test]
fn only_an_accepted_attempt_renews_the_lease_of_its_worker_and_from_its_sending() {
    let cases = [
        (AttemptStatus::Ok, true),
        (AttemptStatus::Error, false),
        (AttemptStatus::AtCapacity, false),
        (AttemptStatus::Miss, false),
        (AttemptStatus::Timeout, false),
        (AttemptStatus::Reset, false),
    ];
    for (status, is_renewed) in cases {
        let mut harness = harness(1);
        harness.watch_changed(WatchStatus::Requested);
        harness.now = harness.now + Span::from_millis(300);
        let sent_at = harness.now;
        harness.receive(request(1, 7));
        harness.now = harness.now + Span::from_millis(100);
        harness.finish_last_attempt(status);
        let check = |at: Time| harness.policy().check_available(at, WorkerId(1));
        let expired = Err(WorkerUnavailable::LeaseExpired);
        let while_renewed = if is_renewed { Ok(()) } else { expired };
        assert_eq!(
            check(sent_at + Span(USABLE_GRACE.0 - 1)),
            while_renewed,
            "{status:?}"
        );
        assert_eq!(check(sent_at + USABLE_GRACE), expired, "{status:?}");
    }
}

#[test]
fn a_request_without_a_confirmed_worker_is_rejected_at_once() {
    let mut harness = harness_with_stale_list(3);
    let actions = harness.receive(request(1, 7));
    assert_eq!(rejection_cause(&actions), Some(RejectionCause::NoConfirmedWorker));
    assert!(workers_sent_to(&actions).is_empty());
    harness.watch_changed(WatchStatus::Confirmed);
    assert_eq!(
        harness.receive_and_place(request(2, 7)).len(),
        1,
        "the list is confirmed"
    );
}

/// Ends the last attempt and its retries, as workers would of which the first two are draining.
fn answer_last_attempt(harness: &mut PolicyHarness) {
    loop {
        let is_draining = harness.sent.last().expect("an attempt is sent").worker.0 <= 2;
        if !is_draining {
            harness.finish_last_attempt(AttemptStatus::Ok);
            return;
        }
        harness.finish_last_attempt(AttemptStatus::AtCapacity);
    }
}

#[test]
fn requests_go_to_the_workers_that_still_accept() {
    let mut harness = harness(6);
    harness.watch_changed(WatchStatus::Requested);
    let stale_at = harness.now + USABLE_GRACE;
    harness.advance_ms(100);
    for n in 0..12 {
        harness.receive(request(n, u64::from(n)));
        answer_last_attempt(&mut harness);
    }
    let used = harness.workers_used();
    assert!(
        used.iter().any(|worker| worker.0 <= 2),
        "draining workers were tried"
    );
    harness.now = stale_at;
    let before = harness.sent.len();
    for n in 100..140 {
        assert_eq!(harness.receive_and_place(request(n, u64::from(n))).len(), 1);
        answer_last_attempt(&mut harness);
    }
    assert!(harness.sent[before..].iter().all(|sent| sent.worker.0 > 2));
}

#[test]
fn an_unconfirmed_worker_gets_no_load_orders() {
    let mut settings = test_settings(OnMiss::Miss);
    settings.permissions.may_order = true;
    for is_stale in [false, true] {
        let mut harness = PolicyHarness::new(settings.clone(), 3);
        harness.watch_changed(WatchStatus::Confirmed);
        let actions = harness.receive(request(1, 7));
        let last_miss = harness.miss_everywhere(actions);
        assert_eq!(
            requested_loads(&last_miss).len(),
            1,
            "the function is loaded nowhere"
        );
        let loading = requested_loads(&last_miss)[0].worker;
        if is_stale {
            harness.watch_changed(WatchStatus::Requested);
            harness.now = harness.now + USABLE_GRACE;
        }
        let mut actions = harness.finish_load(loading, FunctionId(7), LoadStatus::Error);
        actions.extend(harness.advance_ms(200));
        assert_eq!(requested_loads(&actions).is_empty(), is_stale);
    }
}

/// Nobody publishes changes of workers that the configuration lists.
#[test]
fn a_worker_of_the_configuration_needs_no_lease() {
    let mut harness = harness_with_stale_list(0);
    let configured = Endpoint {
        worker: WorkerId(9),
        source: EndpointSource::Configuration,
        weight: 1.0,
        ..Endpoint::default()
    };
    harness.update_endpoints(EndpointUpdateKind::Delta, vec![configured]);
    assert_eq!(harness.receive_and_place(request(1, 7)), [WorkerId(9)]);
}

#[test]
fn a_process_that_has_replaced_another_does_not_have_its_lease() {
    let mut harness = harness(1);
    harness.watch_changed(WatchStatus::Requested);
    harness.receive(request(1, 7));
    harness.finish_last_attempt(AttemptStatus::Ok);
    harness.now = harness.now + Span(USABLE_GRACE.0 - 1);
    assert_eq!(harness.policy().check_available(harness.now, WorkerId(1)), Ok(()));
    let restarted = Endpoint {
        worker: WorkerId(1),
        started_at: Some(harness.now),
        weight: 1.0,
        ..Endpoint::default()
    };
    harness.update_endpoints(EndpointUpdateKind::Delta, vec![restarted]);
    let later = harness.now + ONE_STEP;
    assert_eq!(
        harness.policy().check_available(later, WorkerId(1)),
        Err(WorkerUnavailable::LeaseExpired)
    );
}
