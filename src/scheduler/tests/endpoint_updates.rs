//! Admission of writes by the state of the worker on the endpoint list and by the age of the list.

use super::*;
use crate::model::WatchStatus;
use crate::policy::WorkerUnavailable;
use crate::scheduler::write_admission::WriteDenied;

const NOT_READY: WriteDenied = WriteDenied::WorkerUnavailable(WorkerUnavailable::NotReady);

#[test]
fn only_a_snapshot_removes_the_workers_that_it_lacks() {
    let ready = |n| endpoint_in_state(WorkerId(n), EndpointState::Ready);
    let cases = [
        (EndpointUpdateKind::Delta, true),
        (EndpointUpdateKind::Failed, true),
        (EndpointUpdateKind::Snapshot, false),
        (EndpointUpdateKind::CachedSnapshot, false),
    ];
    for (kind, is_kept) in cases {
        let mut scheduler = test_scheduler();
        scheduler.update_endpoints(
            at_millis(1),
            EndpointUpdateKind::Snapshot,
            vec![ready(1), ready(2)],
        );
        scheduler.update_endpoints(at_millis(2), kind, vec![ready(2)]);
        let expected = if is_kept { Ok(()) } else { Err(NOT_READY) };
        assert_eq!(
            scheduler.check_worker(at_millis(3), WorkerId(1)),
            expected,
            "{kind:?}"
        );
        assert_eq!(
            scheduler.check_worker(at_millis(3), WorkerId(2)),
            Ok(()),
            "{kind:?}"
        );
    }
}

#[test]
fn a_worker_is_ready_only_while_it_is_listed_as_ready() {
    let mut scheduler = test_scheduler();
    let worker = WorkerId(9);
    assert_eq!(
        scheduler.check_worker(at_millis(0), worker),
        Err(NOT_READY),
        "unknown"
    );
    for (state, expected) in [
        (EndpointState::Ready, Ok(())),
        (EndpointState::Draining, Err(NOT_READY)),
        (EndpointState::Ready, Ok(())),
        (EndpointState::Gone, Err(NOT_READY)),
    ] {
        update_endpoints(
            &mut scheduler,
            at_millis(1),
            vec![endpoint_in_state(worker, state)],
        );
        assert_eq!(
            scheduler.check_worker(at_millis(1), worker),
            expected,
            "{state:?}"
        );
    }
}

/// Attempts and load orders that are queued while the endpoint list becomes stale must not be written, and
/// are counted as denied for this reason.
#[test]
fn commands_to_an_unconfirmed_worker_are_not_written() {
    let mut scheduler = test_scheduler();
    let sent = sent_attempt(&submit(&mut scheduler, 1, IDEMPOTENT_CLASS));
    let order = start_load_order(&mut scheduler, at_millis(0));
    scheduler.watch_changed(at_millis(0), at_millis(0), WatchStatus::Confirmed);
    scheduler.watch_changed(at_millis(100), at_millis(100), WatchStatus::Disconnected);
    // The lease ends 2 s after the disconnect plus 90% of the default grace period of 500 ms.
    let last_admitted = at_millis(2_549);
    let stale_at = at_millis(2_550);
    assert!(scheduler.admits_write(last_admitted, sent.id));
    assert!(!scheduler.admits_write(stale_at, sent.id));
    assert!(!scheduler.admits_load_order(stale_at, order));
    let counters = scheduler.counters();
    assert_eq!(counters.writes_denied_unconfirmed, 2);
    assert_eq!(counters.load_orders_written, 0);

    scheduler.watch_changed(at_millis(2_600), at_millis(2_600), WatchStatus::Confirmed);
    assert!(scheduler.admits_write(at_millis(2_600), sent.id));
}

#[test]
fn a_stale_list_and_expired_leases_are_counted_once_each_time() {
    let mut scheduler = test_scheduler();
    for outage in [at_millis(0), at_millis(60_000)] {
        scheduler.watch_changed(outage, outage, WatchStatus::Confirmed);
        scheduler.watch_changed(outage, outage, WatchStatus::Disconnected);
        for delay in [2_000, 2_450, 2_550, 2_650, 2_750, 9_000] {
            scheduler.fire_timers(outage + Span::from_millis(delay));
        }
        let confirmed = outage + Span::from_millis(9_500);
        scheduler.watch_changed(confirmed, confirmed, WatchStatus::Confirmed);
        scheduler.fire_timers(confirmed + Span::from_millis(500));
    }
    let counters = scheduler.counters();
    assert_eq!(counters.endpoint_list_stale, 2);
    assert_eq!(counters.worker_leases_expired, 4, "two workers, twice");
    assert_eq!(
        scheduler.lease_monitor.next_check(),
        None,
        "no timer while the list is confirmed"
    );
}
