//! What is known of the cluster, by what has happened.

use super::{Attempt, Cluster, Instance, Request};
use crate::collections::ExponentialBackoff;
use crate::model::{
    Action, AttemptOutcome, AttemptStatus, CellId, ClassId, Endpoint, EndpointState, EndpointUpdateKind,
    FunctionId, IncomingRequest, InstanceState, KindId, RequestId, Span, TenantId, Time, WorkerId, ZoneId,
};
use crate::stats::DecayingAverage;

const FUNCTION: FunctionId = FunctionId(7);
const SECOND: Span = Span::from_millis(1000);

fn endpoint(worker: u64) -> Endpoint {
    Endpoint {
        worker: WorkerId(worker),
        zone: ZoneId((worker % 2) as u8),
        cell: CellId(0),
        state: EndpointState::Ready,
        weight: 1.0,
        started_at: Some(Time(1)),
        kind: KindId(0),
    }
}

fn incoming(id: u32) -> IncomingRequest {
    IncomingRequest {
        id: RequestId(id),
        function: FUNCTION,
        class: ClassId(0),
        tenant: TenantId(0),
        remaining: SECOND,
        memory_mb: 100.0,
        concurrency: 2.0,
        load_time: None,
    }
}

/// A cluster of workers 1 to 3 with one class, whose usual latency is half a second.
fn cluster() -> Cluster {
    let mut cluster = Cluster {
        baseline_latency: vec![DecayingAverage::new(0.5)],
        ..Cluster::default()
    };
    cluster.update_endpoints(
        EndpointUpdateKind::Snapshot,
        (1..=3).map(endpoint).collect(),
        Time(10),
    );
    cluster
}

fn workers(cluster: &Cluster) -> Vec<u64> {
    cluster.workers.keys().map(|id| id.0).collect()
}

/// Takes in a request and sends it to a worker.
fn send(cluster: &mut Cluster, id: u32, worker: u64, now: Time) -> Attempt {
    cluster.add_request(&incoming(id), SECOND, now);
    assert_eq!(
        cluster.begin_attempt(RequestId(id), WorkerId(worker), true, now),
        SECOND
    );
    cluster
        .attempts_on(WorkerId(worker))
        .last()
        .expect("an attempt")
        .1
}

#[test]
fn a_complete_list_removes_what_it_leaves_out_and_a_partial_one_does_not() {
    for kind in [EndpointUpdateKind::Snapshot, EndpointUpdateKind::CachedSnapshot] {
        let mut cluster = cluster();
        cluster.update_endpoints(kind, vec![endpoint(2)], Time(20));
        assert_eq!(workers(&cluster), [2]);
    }
    let mut cluster = cluster();
    let gone = Endpoint {
        state: EndpointState::Gone,
        ..endpoint(1)
    };
    cluster.update_endpoints(EndpointUpdateKind::Delta, vec![gone, endpoint(4)], Time(20));
    assert_eq!(workers(&cluster), [2, 3, 4]);
}

#[test]
fn a_worker_keeps_its_state_until_its_process_starts_anew() {
    let mut cluster = cluster();
    let attempt = send(&mut cluster, 1, 1, Time(20));
    let draining = Endpoint {
        state: EndpointState::Draining,
        ..endpoint(1)
    };
    cluster.update_endpoints(EndpointUpdateKind::Delta, vec![draining], Time(30));
    assert_eq!(cluster.workers[&WorkerId(1)].endpoint, draining);
    assert_eq!(cluster.workers[&WorkerId(1)].load.in_flight(), 1);
    assert!(cluster.process_of(&attempt).is_some());
    let restarted = Endpoint {
        started_at: Some(Time(35)),
        ..endpoint(1)
    };
    cluster.update_endpoints(EndpointUpdateKind::Delta, vec![restarted], Time(40));
    assert_eq!(cluster.workers[&WorkerId(1)].load.in_flight(), 0);
    assert!(
        cluster.process_of(&attempt).is_none(),
        "the attempt went to another process"
    );
    let sent = cluster.send_history[&WorkerId(1)].weight_since(Time(0));
    assert_eq!(sent, 0.5, "what was sent to the worker is kept");
}

#[test]
fn the_hash_order_holds_all_workers_and_follows_the_list_and_the_weights() {
    let mut cluster = cluster();
    let mut order = cluster.hash_order(FUNCTION);
    order.sort_unstable();
    assert_eq!(order, [WorkerId(1), WorkerId(2), WorkerId(3)]);
    cluster.hashes_by_weight = true;
    let heavy = Endpoint {
        weight: 100.0,
        ..endpoint(4)
    };
    cluster.update_endpoints(EndpointUpdateKind::Delta, vec![heavy], Time(20));
    let first = (0..100)
        .filter(|function| cluster.hash_order(FunctionId(*function))[0] == WorkerId(4))
        .count();
    assert!(first > 85, "{first} of 100");
}

#[test]
fn a_request_counts_its_attempts_and_remembers_the_first_that_may_have_run() {
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
    assert!(!request.never_ran(), "it may run now");
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
fn attempts_are_known_by_worker_while_requests_wait_for_them() {
    let mut cluster = cluster();
    send(&mut cluster, 1, 1, Time(20));
    send(&mut cluster, 2, 1, Time(21));
    assert!(cluster.idle_request(RequestId(1)).is_none());
    cluster.requests.remove(&RequestId(1));
    let awaited = cluster.attempts_on(WorkerId(1));
    assert_eq!(awaited.len(), 1, "nobody waits for the other");
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
fn the_end_of_an_attempt_frees_its_place_and_tells_whether_the_worker_lives() {
    let mut cluster = cluster();
    let attempt = send(&mut cluster, 1, 1, Time(20));
    let worker = cluster.process_of(&attempt).expect("a listed worker");
    assert_eq!(
        (worker.load.in_flight(), worker.instance(FUNCTION).in_flight),
        (1, 1)
    );
    assert_eq!(worker.awaited_loads(Time(20)), 1);
    assert!(
        worker.end_attempt(&attempt, AttemptStatus::Timeout, None, Time(30)),
        "nothing was heard"
    );
    assert_eq!(
        (worker.load.in_flight(), worker.instance(FUNCTION).in_flight),
        (0, 0)
    );
    assert_eq!(worker.health.liveness.last_heard(), Time(0));
    worker.end_attempt(&attempt, AttemptStatus::Miss, Some(5.0), Time(40));
    assert!(
        !worker.end_attempt(&attempt, AttemptStatus::Timeout, None, Time(50)),
        "it was heard at 40"
    );
    assert_eq!(worker.health.liveness.last_heard(), Time(40));
    assert_eq!(worker.load.total_in_flight(), 5.0);
    assert_eq!(
        cluster.last_heard(|worker| worker.endpoint.zone == ZoneId(1)),
        Some(Time(40))
    );
    assert_eq!(
        cluster.last_heard(|worker| worker.endpoint.zone == ZoneId(9)),
        None
    );
}

#[test]
fn an_answer_tells_of_a_loaded_instance_or_the_expectation_does() {
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
fn an_instance_is_believed_loaded_until_its_time_or_a_miss() {
    let mut instance = Instance::default();
    assert!(!instance.is_loaded(Time(0)) && !instance.missed_within(Time(0), SECOND));
    instance.confirm(Time(100));
    assert!(instance.is_loaded(Time(99)) && !instance.is_loaded(Time(100)));
    instance.miss(Time(50));
    assert!(!instance.is_loaded(Time(50)));
    assert!(instance.missed_within(Time(59), Span(10)) && !instance.missed_within(Time(60), Span(10)));
    instance.confirm(Time(100));
    assert!(!instance.missed_within(Time(55), Span(10)), "it was seen since");
    instance.expire();
    assert!(!instance.is_loaded(Time(55)) && !instance.missed_within(Time(55), Span(10)));
}

#[test]
fn loads_are_ordered_one_at_a_time_and_back_off_after_a_failure() {
    let mut cluster = cluster();
    cluster.begin_load(WorkerId(1), FUNCTION, Time(100));
    assert_eq!(cluster.recent_loads.count_since(Time(100)), 1);
    assert_eq!(cluster.pending_loads(FUNCTION, Time(109), Span(10)), 1);
    assert_eq!(
        cluster.pending_loads(FUNCTION, Time(110), Span(10)),
        0,
        "the order is old"
    );
    let worker = cluster.workers.get_mut(&WorkerId(1)).expect("a listed worker");
    assert_eq!(worker.ordered_loads(Time(100)), 1);
    let instance = worker.instance_mut(FUNCTION);
    assert!(!instance.is_free_to_order(Time(100)));
    assert!(instance.end_load() && !instance.end_load());
    assert!(instance.is_free_to_order(Time(100)));
    instance.fail_load(Time(100), ExponentialBackoff::new(Span(20), 3));
    assert!(!instance.is_free_to_order(Time(119)) && instance.is_free_to_order(Time(120)));
}

#[test]
fn what_nobody_asks_for_any_longer_is_forgotten() {
    let mut cluster = cluster();
    send(&mut cluster, 1, 1, Time(20));
    for _ in 0..3 {
        cluster
            .functions
            .get_mut(&FUNCTION)
            .expect("a function")
            .requests
            .advance(2);
    }
    cluster.prune(Time(30), Span(5));
    assert!(
        cluster.functions.contains_key(&FUNCTION),
        "a request waits for it"
    );
    assert_eq!(
        cluster.workers[&WorkerId(1)].instances.len(),
        1,
        "an attempt is in flight there"
    );
    cluster.requests.clear();
    let worker = cluster.workers.get_mut(&WorkerId(1)).expect("a listed worker");
    worker.instance_mut(FUNCTION).end_request();
    cluster.prune(Time(30), Span(5));
    assert!(cluster.functions.is_empty() && cluster.workers[&WorkerId(1)].instances.is_empty());
    cluster.forget_sends(Time(20));
    assert_eq!(cluster.send_history.len(), 1);
    cluster.forget_sends(Time(21));
    assert!(cluster.send_history.is_empty());
}

#[test]
fn reports_and_work_fade_with_time() {
    let mut cluster = cluster();
    cluster
        .workers
        .get_mut(&WorkerId(1))
        .expect("a listed worker")
        .load
        .report(8.0);
    cluster.fade_reports(SECOND, SECOND);
    assert_eq!(cluster.workers[&WorkerId(1)].load.total_in_flight(), 4.0);
    cluster.completed_work.add(1.0);
    cluster.fade_work(SECOND, SECOND);
    assert!((cluster.completed_work.value() - (-1.0f64).exp()).abs() < 1e-12);
}

#[test]
fn functions_are_ranked_by_requests_and_then_by_id() {
    let mut cluster = cluster();
    for (id, function) in [9, 8, 9, 7, 7, 5].into_iter().enumerate() {
        let request = IncomingRequest {
            function: FunctionId(function),
            ..incoming(id as u32)
        };
        cluster.add_request(&request, SECOND, Time(20));
    }
    assert_eq!(cluster.most_requested(2), [FunctionId(7), FunctionId(9)]);
    assert_eq!(cluster.most_requested(1).len(), 4);
    assert!(cluster.gold_functions().is_empty());
    cluster
        .functions
        .get_mut(&FUNCTION)
        .expect("a function")
        .gold
        .observe(true, 1);
    assert_eq!(cluster.gold_functions(), [FUNCTION]);
}

#[test]
fn absurd_figures_of_a_function_are_bounded() {
    for absurd in [f64::NAN, f64::INFINITY, -3.0] {
        let mut cluster = cluster();
        let request = IncomingRequest {
            memory_mb: absurd,
            concurrency: absurd,
            ..incoming(1)
        };
        cluster.add_request(&request, SECOND, Time(20));
        assert!((1..=64).contains(&cluster.functions[&FUNCTION].concurrency));
    }
}

#[test]
fn requests_that_wait_for_a_load_are_found_by_function() {
    let mut cluster = cluster();
    cluster.add_request(&incoming(1), SECOND, Time(20));
    cluster.add_request(&incoming(2), SECOND, Time(20));
    cluster.idle_request(RequestId(2)).expect("a request").awaits_load = true;
    assert_eq!(cluster.requests_awaiting(FUNCTION), [RequestId(2)]);
    assert!(cluster.requests_awaiting(FunctionId(1)).is_empty());
}

#[test]
fn workers_are_grouped_by_zone() {
    let zones = cluster().workers_by_zone();
    assert_eq!(zones[&ZoneId(0)], [WorkerId(2)]);
    assert_eq!(zones[&ZoneId(1)], [WorkerId(1), WorkerId(3)]);
}
