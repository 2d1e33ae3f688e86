//! The runtime checks count each violation and nothing else.

use super::*;

#[test]
fn a_normal_attempt_causes_no_violation() {
    let mut scheduler = test_scheduler();
    let sent = sent_attempt(&submit(&mut scheduler, 1, NON_IDEMPOTENT_CLASS)).id;
    assert!(scheduler.admits_write(at_millis(1), sent));
    scheduler.attempt_written(at_millis(2), sent);
    scheduler.attempt_ended(at_millis(9), sent, Ok(WorkerResponse::Ok(vec![])));
    assert_eq!(scheduler.counters().violations, 0);
}

#[test]
fn a_response_long_after_its_deadline_is_a_violation() {
    let mut scheduler = test_scheduler();
    let sent = sent_attempt(&submit(&mut scheduler, 1, IDEMPOTENT_CLASS)).id;
    let late = DEADLINE + Span::from_millis(551);
    scheduler.attempt_ended(late, sent, Ok(WorkerResponse::Ok(vec![])));
    assert_eq!(scheduler.counters().violations, 1);
}

#[test]
fn an_attempt_that_is_written_after_its_end_is_a_violation() {
    let mut scheduler = test_scheduler();
    let sent = sent_attempt(&submit(&mut scheduler, 1, IDEMPOTENT_CLASS)).id;
    assert!(scheduler.admits_write(at_millis(1), sent));
    scheduler.cancel(at_millis(2), origin(1));
    scheduler.attempt_written(at_millis(3), sent);
    assert_eq!(scheduler.counters().violations, 1);
}

#[test]
fn an_attempt_that_took_long_to_write_is_a_violation() {
    let mut scheduler = test_scheduler();
    let sent = sent_attempt(&submit(&mut scheduler, 1, IDEMPOTENT_CLASS)).id;
    assert!(scheduler.admits_write(at_millis(1), sent));
    scheduler.attempt_written(at_millis(152), sent);
    assert_eq!(scheduler.counters().violations, 1);
}

#[test]
fn a_repeat_outside_its_deduplication_window_is_a_violation() {
    let mut scheduler = test_scheduler();
    let first = sent_attempt(&submit(&mut scheduler, 1, KEYED_CLASS)).id;
    scheduler.attempt_written(at_millis(1), first);
    scheduler.attempt_ended(at_millis(2), first, connection_lost(WriteProgress::Written));
    let repeat = sent_attempt(&drain_commands(&mut scheduler)).id;
    scheduler.attempt_written(at_millis(2_000), repeat);
    assert_eq!(scheduler.counters().violations, 1);
}
