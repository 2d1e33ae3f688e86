//! Tests of requests and their attempts.

use super::{FUNCTION, SECOND, cluster, endpoint, incoming, send};
use crate::cluster::{Attempt, Request};
use crate::model::{
    Action, AttemptOutcome, AttemptStatus, FunctionId, InstanceState, RequestId, Time, WorkerId, ZoneId,
};

#[test]
fn a_request_counts_its_attempts_and_records_the_first_that_may_have_run() {
    let mut request = Request::new(&incoming(1), SECOND, Time(5));
    assert_eq!((request.deadline, request.attempts()), (Time(5) + SECOND, 0));
    assert!(request.never_ran());
    let attempt = |sent_at| Attempt {
        sent_at,
        endpoint: endpoint(1),
        function: FUNCTION,
        class: 0,
        latency_objective: SECOND,
        expected_warm: true,
    };
    assert_eq!(request.begin_attempt(), 0);
    assert!(!request.never_ran(), "the attempt in flight may run");
    request.end_attempt(attempt(Time(10)), AttemptStatus::Miss);
    assert!(request.never_ran());
    for sent_at in [Time(20), Time(30)] {
        request.begin_attempt();
        request.end_attempt(attempt(sent_at), AttemptStatus::Error);
    }
    assert_eq!((request.attempts(), request.in_flight()), (3, None));
    assert_eq!(request.first_run().map(|attempt| attempt.sent_at), Some(Time(20)));
}

#[test]
fn attempts_on_a_worker_are_listed_while_requests_wait_for_them() {
    let mut cluster = cluster();
    send(&mut cluster, 1, 1, Time(20));
    send(&mut cluster, 2, 1, Time(21));
    assert!(cluster.request_without_attempt(RequestId(1)).is_none());
    cluster.requests.remove(&RequestId(1));
    let awaited = cluster.attempts_on(WorkerId(1));
    assert_eq!(awaited.len(), 1, "no request waits for the other attempt");
    assert_eq!(
        awaited[0].0.cancel(),
        Action::Cancel {
            id: RequestId(2),
            attempt: 0
        }
    );
    assert_eq!(cluster.attempts_in_flight().len(), 2);
    assert!(cluster.end_attempt(RequestId(1), 0).is_some());
    assert!(cluster.end_attempt(RequestId(1), 0).is_none());
}

#[test]
fn the_end_of_an_attempt_lowers_the_load_and_shows_whether_the_worker_was_silent() {
    let mut cluster = cluster();
    let attempt = send(&mut cluster, 1, 1, Time(20));
    let worker = cluster.process_of(&attempt).expect("the worker should be listed");
    assert_eq!(
        (worker.load.in_flight(), worker.instance(FUNCTION).in_flight),
        (1, 1)
    );
    assert_eq!(worker.awaited_loads(Time(20)), 1);
    assert!(
        worker.end_attempt(&attempt, AttemptStatus::Timeout, None, Time(30)),
        "the worker has not responded"
    );
    assert_eq!(
        (worker.load.in_flight(), worker.instance(FUNCTION).in_flight),
        (0, 0)
    );
    assert_eq!(worker.health.liveness.last_response_at(), Time(0));
    worker.end_attempt(&attempt, AttemptStatus::Miss, Some(5.0), Time(40));
    assert!(
        !worker.end_attempt(&attempt, AttemptStatus::Timeout, None, Time(50)),
        "the worker responded at 40"
    );
    assert_eq!(worker.health.liveness.last_response_at(), Time(40));
    assert_eq!(worker.load.total_in_flight(), 5.0);
    assert_eq!(
        cluster.last_response_at(|worker| worker.endpoint.zone == ZoneId(1)),
        Some(Time(40))
    );
    assert_eq!(
        cluster.last_response_at(|worker| worker.endpoint.zone == ZoneId(9)),
        None
    );
}

#[test]
fn an_unknown_instance_state_falls_back_to_the_expected_one() {
    let mut cluster = cluster();
    let attempt = send(&mut cluster, 1, 1, Time(20));
    let outcome = |instance_state| AttemptOutcome {
        id: RequestId(1),
        attempt: 0,
        status: AttemptStatus::Ok,
        latency: SECOND,
        request_finished: true,
        instance_state,
        function_in_flight: 0,
        load_report: vec![],
    };
    let unexpected = Attempt {
        expected_warm: false,
        ..attempt
    };
    assert!(unexpected.found_loaded(&outcome(InstanceState::Loaded)));
    assert!(attempt.found_loaded(&outcome(InstanceState::Unknown)));
    assert!(!unexpected.found_loaded(&outcome(InstanceState::Unknown)));
    for state in [
        InstanceState::LoadStarted,
        InstanceState::LoadAwaited,
        InstanceState::LoadFailed,
    ] {
        assert!(!attempt.found_loaded(&outcome(state)));
    }
}

#[test]
fn requests_that_wait_for_a_load_are_found_by_function() {
    let mut cluster = cluster();
    cluster.add_request(&incoming(1), SECOND, Time(20));
    cluster.add_request(&incoming(2), SECOND, Time(20));
    cluster
        .request_without_attempt(RequestId(2))
        .expect("a request")
        .awaits_load = true;
    assert_eq!(cluster.requests_awaiting(FUNCTION), [RequestId(2)]);
    assert!(cluster.requests_awaiting(FunctionId(1)).is_empty());
}
