//! The last check before the first byte of a command.

use super::*;
use crate::policy::WorkerUnavailable;
use crate::scheduler::write_admission::WriteDenied;

/// A command that is queued while its worker begins to drain must not be written.
#[test]
fn commands_to_a_draining_worker_are_not_written() {
    let mut scheduler = test_scheduler();
    let sent = sent_attempt(&submit(&mut scheduler, 1, IDEMPOTENT_CLASS));
    let order = start_load_order(&mut scheduler, at_millis(0));
    let draining = |worker| endpoint_in_state(worker, EndpointState::Draining);
    assert!(scheduler.admits_write(at_millis(9), sent.id));

    update_endpoints(
        &mut scheduler,
        at_millis(10),
        vec![draining(sent.worker), draining(LOADING_WORKER)],
    );
    assert!(!scheduler.admits_write(at_millis(11), sent.id));
    assert!(!scheduler.admits_load_order(at_millis(11), order));
    assert_eq!(
        scheduler.check_attempt(at_millis(11), sent.id),
        Err(WriteDenied::WorkerUnavailable(WorkerUnavailable::NotReady))
    );
    assert_eq!(
        scheduler.check_load_order(at_millis(11), order),
        Err(WriteDenied::WorkerUnavailable(WorkerUnavailable::NotReady))
    );

    let ready = endpoint_in_state(sent.worker, EndpointState::Ready);
    update_endpoints(&mut scheduler, at_millis(12), vec![ready]);
    assert!(scheduler.admits_write(at_millis(12), sent.id));

    scheduler.update_endpoints(at_millis(13), EndpointUpdateKind::Snapshot, vec![]);
    assert!(
        !scheduler.admits_write(at_millis(13), sent.id),
        "absent from a snapshot means gone"
    );
}

/// Load orders that were queued on a slow connection must not be written in a burst beyond the rate limit.
#[test]
fn the_load_rate_limit_holds_when_orders_are_written() {
    let mut scheduler = test_scheduler();
    for stream in 0..10 {
        submit(&mut scheduler, stream, IDEMPOTENT_CLASS);
    }
    let orders: Vec<LoadOrderId> = (0..9)
        .map(|_| start_load_order(&mut scheduler, at_millis(0)))
        .collect();
    let written = orders
        .iter()
        .filter(|order| scheduler.admits_load_order(at_millis(1), **order))
        .count();
    assert_eq!(written, 6, "3 and 30% of 10");
    assert_eq!(
        scheduler.check_load_order(at_millis(1), orders[8]),
        Err(WriteDenied::RateLimited)
    );
    let late = start_load_order(&mut scheduler, at_millis(5002));
    assert!(
        scheduler.admits_load_order(at_millis(5002), late),
        "the window has moved on"
    );
}

#[test]
fn only_functions_that_were_requested_are_loaded() {
    let mut scheduler = test_scheduler();
    let order = start_load_order(&mut scheduler, at_millis(0));
    assert!(!scheduler.admits_load_order(at_millis(0), order));
    assert_eq!(
        scheduler.check_load_order(at_millis(0), order),
        Err(WriteDenied::FunctionNotRequested)
    );
}

/// A query loads nothing: it is neither limited nor counted, and is allowed for any function.
#[test]
fn a_query_for_loaded_instances_is_always_written() {
    let mut scheduler = test_scheduler();
    let action = Action::Load {
        worker: WorkerId(77),
        function: FUNCTION,
        instances: 0,
    };
    scheduler.execute_action(at_millis(0), action);
    let Some(Command::Load { order, .. }) = scheduler.next_command() else {
        panic!("no load order")
    };
    assert!(scheduler.admits_load_order(at_millis(0), order));
    assert_eq!(scheduler.counters().load_orders_written, 0);
}

/// The deduplication window starts at the first attempt that may have run, not at the latest.
#[test]
fn a_retry_keeps_to_the_idempotency_of_its_class() {
    let cases = [
        (KEYED_CLASS, WriteProgress::Written, at_millis(900), Ok(())),
        (
            KEYED_CLASS,
            WriteProgress::Written,
            at_millis(960),
            Err(WriteDenied::DeduplicationWindowPassed),
        ),
        (
            KEYED_CLASS,
            WriteProgress::PartiallyWritten,
            at_millis(2000),
            Ok(()),
        ),
        (IDEMPOTENT_CLASS, WriteProgress::Written, at_millis(2000), Ok(())),
        (
            NON_IDEMPOTENT_CLASS,
            WriteProgress::PartiallyWritten,
            at_millis(2000),
            Ok(()),
        ),
    ];
    for (class, progress, retried_at, expected) in cases {
        let mut scheduler = test_scheduler();
        let first = sent_attempt(&submit(&mut scheduler, 1, class)).id;
        scheduler.attempt_written(at_millis(1), first);
        scheduler.attempt_ended(at_millis(2), first, connection_lost(progress));
        let retry = sent_attempt(&drain_commands(&mut scheduler)).id;
        assert_eq!(
            scheduler.check_attempt(retried_at, retry),
            expected,
            "{class} {progress:?}"
        );
        assert_eq!(
            scheduler.admits_write(retried_at, retry),
            expected.is_ok(),
            "{class} {progress:?}"
        );
    }
}

/// Two attempts may be written at the same time if the clock does not advance. An attempt that never ran
/// retracts its own write, not that of the other attempt, which may have run.
#[test]
fn an_attempt_that_never_ran_retracts_only_its_own_write() {
    let mut scheduler = test_scheduler();
    let instant = at_millis(1);
    let may_have_run = sent_attempt(&submit(&mut scheduler, 1, KEYED_CLASS)).id;
    scheduler.attempt_written(instant, may_have_run);
    scheduler.attempt_ended(instant, may_have_run, connection_lost(WriteProgress::Written));
    let missed = sent_attempt(&drain_commands(&mut scheduler)).id;
    scheduler.attempt_written(instant, missed);
    scheduler.attempt_ended(instant, missed, Ok(WorkerResponse::Miss));
    let third = sent_attempt(&drain_commands(&mut scheduler)).id;
    assert_eq!(
        scheduler.check_attempt(at_millis(2_000), third),
        Err(WriteDenied::DeduplicationWindowPassed)
    );
}

/// The policy does not retry such a request; the check must deny a retry even if it did.
#[test]
fn a_non_idempotent_request_is_not_written_again_once_it_may_have_run() {
    let mut scheduler = test_scheduler();
    let first = sent_attempt(&submit(&mut scheduler, 1, NON_IDEMPOTENT_CLASS));
    scheduler.attempt_written(at_millis(1), first.id);
    let timeout = Span::from_millis(1_000);
    let action = Action::Send {
        id: first.id.request,
        worker: first.worker,
        timeout,
    };
    scheduler.execute_action(at_millis(2), action);
    let second = sent_attempt(&drain_commands(&mut scheduler)).id;
    assert_eq!(
        scheduler.check_attempt(at_millis(2), second),
        Err(WriteDenied::MayHaveRun)
    );
}

#[test]
fn an_attempt_is_not_written_at_or_after_its_deadline() {
    let mut scheduler = test_scheduler();
    let sent = sent_attempt(&submit(&mut scheduler, 1, IDEMPOTENT_CLASS));
    let deadline = scheduler.attempts.get(sent.id).unwrap().deadline;
    assert_eq!(scheduler.check_attempt(Time(deadline.0 - 1), sent.id), Ok(()));
    assert_eq!(
        scheduler.check_attempt(deadline, sent.id),
        Err(WriteDenied::DeadlinePassed)
    );
}

#[test]
fn an_attempt_is_not_written_after_its_client_has_left() {
    let mut scheduler = test_scheduler();
    let sent = sent_attempt(&submit(&mut scheduler, 1, IDEMPOTENT_CLASS));
    scheduler.cancel(at_millis(1), origin(1));
    assert!(!scheduler.admits_write(at_millis(1), sent.id));
    assert_eq!(
        scheduler.check_attempt(at_millis(1), sent.id),
        Err(WriteDenied::CommandEnded)
    );
}

#[test]
fn an_ended_load_order_is_not_written() {
    let mut scheduler = test_scheduler();
    submit(&mut scheduler, 1, IDEMPOTENT_CLASS);
    let order = start_load_order(&mut scheduler, at_millis(0));
    scheduler.load_order_not_sent(at_millis(1), order);
    assert_eq!(
        scheduler.check_load_order(at_millis(1), order),
        Err(WriteDenied::CommandEnded)
    );
}
