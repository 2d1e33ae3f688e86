//! Tests of the rules that the model's types express.

use super::{
    Action, AttemptStatus, CellId, DeduplicationScope, Endpoint, EndpointState, FunctionId, Idempotency,
    SafetyLimits, Span, Time, WorkerId, ZoneId,
};

fn keyed(scope: DeduplicationScope) -> Idempotency {
    Idempotency::Keyed {
        scope,
        window: Span(100),
    }
}

#[test]
fn a_repeat_is_permitted_while_it_cannot_run_twice() {
    let any_scope = keyed(DeduplicationScope::All);
    assert!(any_scope.permits_repeat_at(Time(149), Time(50)));
    assert!(
        !any_scope.permits_repeat_at(Time(150), Time(50)),
        "the window has ended"
    );
    assert!(Idempotency::Idempotent.permits_repeat_at(Time(1_000_000), Time(50)));
    assert!(!Idempotency::NonIdempotent.permits_repeat_at(Time(50), Time(50)));
}

#[test]
fn a_repeat_is_permitted_only_on_workers_that_drop_it() {
    let first = Endpoint {
        zone: ZoneId(1),
        cell: CellId(1),
        ..Endpoint::default()
    };
    let same_zone = Endpoint {
        cell: CellId(2),
        ..first
    };
    let same_cell = Endpoint {
        zone: ZoneId(2),
        ..first
    };
    let zone = keyed(DeduplicationScope::Zone);
    assert!(zone.permits_repeat_on(&same_zone, &first) && !zone.permits_repeat_on(&same_cell, &first));
    let cell = keyed(DeduplicationScope::Cell);
    assert!(cell.permits_repeat_on(&same_cell, &first) && !cell.permits_repeat_on(&same_zone, &first));
    let elsewhere = Endpoint {
        zone: ZoneId(2),
        cell: CellId(2),
        ..first
    };
    assert!(keyed(DeduplicationScope::All).permits_repeat_on(&elsewhere, &first));
}

#[test]
fn a_client_may_retry_only_if_a_repeat_is_harmless_on_every_worker() {
    assert!(Idempotency::Idempotent.permits_client_retry());
    assert!(keyed(DeduplicationScope::All).permits_client_retry());
    assert!(!keyed(DeduplicationScope::Zone).permits_client_retry());
    assert!(!keyed(DeduplicationScope::Cell).permits_client_retry());
    assert!(!Idempotency::NonIdempotent.permits_client_retry());
}

#[test]
fn capacity_grows_linearly_during_warm_up() {
    let limits = SafetyLimits {
        initial_capacity: 0.2,
        warm_up_duration: Span(100),
        overload_multiple: 2.0,
        overload_window: Span(10),
        drain_grace: Span(5),
        load_rate_limit: None,
    };
    let capacities = [0, 50, 100].map(|age| limits.capacity_at(Span(age)));
    for (capacity, expected) in capacities.into_iter().zip([0.2, 0.6, 1.0]) {
        assert!(
            (capacity - expected).abs() < 1e-12,
            "{capacity} is not {expected}"
        );
    }
}

#[test]
fn only_a_ready_worker_may_be_sent_requests() {
    let listed = |state| Endpoint {
        state,
        ..Endpoint::default()
    };
    assert!(listed(EndpointState::Ready).is_ready());
    assert!(!listed(EndpointState::Draining).is_ready() && !listed(EndpointState::Gone).is_ready());
}

#[test]
fn only_statuses_that_the_worker_itself_reported_are_responses() {
    use AttemptStatus::*;
    for status in [Ok, Error, AtCapacity, Miss] {
        assert!(status.is_response(), "{status:?}");
    }
    for status in [Timeout, ConnectFailed, Reset, Cancelled, Expired, NotSent] {
        assert!(!status.is_response(), "{status:?}");
    }
}

#[test]
fn load_one_orders_one_instance() {
    let action = Action::load_one(WorkerId(1), FunctionId(7));
    assert_eq!(
        action,
        Action::Load {
            worker: WorkerId(1),
            function: FunctionId(7),
            instances: 1
        }
    );
}
