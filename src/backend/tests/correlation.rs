//! Tests of open and retired correlation ids.

use super::attempt;
use crate::backend::correlation::{CorrelationTable, Exchange, MAX_RETIRED_IDS, RETIRED_ID_TTL};
use crate::backend::retired_id_budget::RetiredIdBudget;
use crate::model::{Span, Time};
use crate::scheduler::{AttemptId, HealthCheckId, LoadOrderId};

const ATTEMPT: AttemptId = attempt(1, 0);
const NEXT_ATTEMPT: AttemptId = attempt(1, 1);
const START: Time = Time(1_000);
/// When the load orders time out.
const DEADLINE: Time = Time(5_000);

/// The earliest time at which an id that was retired at `START` has expired.
fn after_expiry() -> Time {
    START + RETIRED_ID_TTL + Span(1)
}

#[test]
fn a_response_closes_its_exchange_once() {
    let mut table = CorrelationTable::default();
    table.open_attempt(ATTEMPT, "a");
    table.open_load_order(LoadOrderId(3), DEADLINE);
    table.open_health_check(HealthCheckId(4));
    assert_eq!((table.open_exchange_count(), table.open_attempt_count()), (3, 1));
    assert_eq!(table.close("a"), Some(Exchange::Attempt(ATTEMPT)));
    assert_eq!(table.close("a"), None);
    assert_eq!(table.close("load-3"), Some(Exchange::LoadOrder(LoadOrderId(3))));
    assert_eq!(
        table.close("probe-4"),
        Some(Exchange::HealthCheck(HealthCheckId(4)))
    );
    assert_eq!((table.open_exchange_count(), table.open_attempt_count()), (0, 0));
    assert!(!table.has_open_exchanges() && table.is_unused("a"));
}

#[test]
fn closing_an_unsent_attempt_frees_its_id() {
    let mut table = CorrelationTable::default();
    table.open_attempt(ATTEMPT, "a");
    table.close_unsent_attempt(ATTEMPT);
    assert!(table.is_unused("a") && !table.has_attempt(ATTEMPT));
    assert_eq!((table.open_attempt_count(), table.next_expiry()), (0, None));
}

#[test]
fn closing_an_attempt_twice_decrements_the_open_count_once() {
    let mut table = CorrelationTable::default();
    table.open_attempt(ATTEMPT, "a");
    table.open_attempt(NEXT_ATTEMPT, "b");
    table.close("a");
    table.close_unsent_attempt(ATTEMPT);
    assert_eq!(
        (table.open_attempt_count(), table.exchange("b")),
        (1, Some(Exchange::Attempt(NEXT_ATTEMPT)))
    );
}

#[test]
fn the_id_of_a_cancelled_attempt_is_not_reusable_until_it_expires() {
    let mut table = CorrelationTable::default();
    table.open_attempt(ATTEMPT, "a");
    table.cancel_attempt(ATTEMPT, START);
    assert_eq!((table.open_attempt_count(), table.exchange("a")), (0, None));
    assert!(!table.is_unused("a") && !table.has_open_exchanges());
    assert_eq!(table.next_expiry(), Some(after_expiry()));
    table.expire_retired(START + RETIRED_ID_TTL);
    assert!(!table.is_unused("a"), "it has not expired yet");
    table.expire_retired(after_expiry());
    assert!(table.is_unused("a"));
    assert_eq!(table.next_expiry(), None);
}

#[test]
fn a_cancellation_is_written_once() {
    let mut table = CorrelationTable::default();
    table.open_attempt(ATTEMPT, "a");
    table.cancel_attempt(ATTEMPT, START);
    assert!(table.has_attempt(ATTEMPT));
    assert_eq!(table.take_cancelled(ATTEMPT), Some("a".to_owned()));
    assert_eq!(table.take_cancelled(ATTEMPT), None);
}

#[test]
fn a_late_response_belongs_to_no_exchange_and_frees_its_id() {
    let mut table = CorrelationTable::default();
    table.open_attempt(ATTEMPT, "a");
    table.cancel_attempt(ATTEMPT, START);
    assert_eq!(table.close("a"), None);
    assert!(table.is_unused("a"));
}

#[test]
fn expiry_of_an_old_retirement_does_not_free_a_reused_id() {
    let mut table = CorrelationTable::default();
    table.retire("open again".to_owned(), START);
    table.retire("retired again".to_owned(), START);
    assert_eq!(
        (table.close("open again"), table.close("retired again")),
        (None, None)
    );
    table.open_attempt(NEXT_ATTEMPT, "open again");
    table.retire("retired again".to_owned(), START + Span(1));
    table.expire_retired(after_expiry());
    assert_eq!(
        table.exchange("open again"),
        Some(Exchange::Attempt(NEXT_ATTEMPT))
    );
    assert!(!table.is_unused("retired again"));
    table.expire_retired(after_expiry() + Span(1));
    assert!(table.is_unused("retired again"));
}

#[test]
fn the_oldest_retired_id_is_freed_when_the_limit_is_exceeded() {
    let mut table = CorrelationTable::default();
    for number in 0..=MAX_RETIRED_IDS {
        table.retire(number.to_string(), START);
    }
    assert!(table.is_unused("0"));
    assert!(!table.is_unused("1") && !table.is_unused(&MAX_RETIRED_IDS.to_string()));
}

/// Guards against retired ids on many connections that drive the process over its memory limit (review, case 2).
#[test]
fn connections_forget_their_oldest_retired_ids_beyond_the_budget_of_all() {
    const LIMIT: usize = 100;
    let budget = RetiredIdBudget::new(LIMIT);
    let mut tables: Vec<CorrelationTable> = (0..10).map(|_| CorrelationTable::new(budget.clone())).collect();
    let id = |number: usize| format!("{number:016x}");
    for number in 0..50 {
        for table in &mut tables {
            table.retire(id(number), START);
        }
    }
    let kept = |table: &CorrelationTable| (0..50).filter(|number| !table.is_unused(&id(*number))).count();
    let counts: Vec<usize> = tables.iter().map(kept).collect();
    assert!(
        counts.iter().all(|count| *count >= 10),
        "each keeps some: {counts:?}"
    );
    assert!(counts.iter().sum::<usize>() <= 10 * 16, "{counts:?}");
    assert!(
        tables.iter().all(|table| !table.is_unused(&id(49))),
        "the latest is kept"
    );
    tables.truncate(1);
    for number in 50..100 {
        tables[0].retire(id(number), START);
    }
    assert!(
        (80..100).all(|number| !tables[0].is_unused(&id(number))),
        "closed connections free theirs"
    );
}

/// Guards against a connection to a machine that has vanished, which stays open for a load order that has timed out
/// and keeps its descriptor (review, load orders to a machine that vanishes).
#[test]
fn a_load_order_that_has_timed_out_is_no_open_exchange() {
    let mut table = CorrelationTable::default();
    table.open_load_order(LoadOrderId(3), DEADLINE);
    table.expire_load_orders(DEADLINE - Span(1));
    assert!(table.has_open_exchanges());
    assert_eq!(table.next_expiry(), Some(DEADLINE));
    table.expire_load_orders(DEADLINE);
    assert!(!table.has_open_exchanges());
    assert_eq!((table.open_exchange_count(), table.next_expiry()), (0, None));
    assert_eq!(table.close("load-3"), None, "a late response");
}

#[test]
fn a_load_order_that_is_answered_leaves_no_deadline() {
    let mut table = CorrelationTable::default();
    table.open_load_order(LoadOrderId(3), DEADLINE);
    table.close("load-3");
    assert_eq!(table.next_expiry(), None);
}
