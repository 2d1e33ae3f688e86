//! Tests of load orders: which functions are loaded ahead of requests, and where.

use crate::support::policy_fixtures::{request, test_settings};
use crate::support::policy_harness::{PolicyHarness, RequestedLoad, requested_loads, workers_sent_to};
use function_scheduler::{AttemptStatus, FunctionId, LoadStatus, OnMiss};
use std::collections::{BTreeMap, BTreeSet};

const FUNCTION: FunctionId = FunctionId(7);

#[test]
fn request_that_missed_twice_waits_for_a_load_and_goes_to_the_loaded_worker() {
    let mut harness = PolicyHarness::new(test_settings(OnMiss::Miss), 4);
    let first = harness.receive_and_place(request(1, 7));
    assert_eq!(first.len(), 1);
    let second = workers_sent_to(&harness.finish_last_attempt(AttemptStatus::Miss));
    assert_eq!(second.len(), 1);
    assert_ne!(first, second);
    let actions = harness.finish_last_attempt(AttemptStatus::Miss);
    let expected = RequestedLoad {
        worker: first[0],
        function: FUNCTION,
    };
    assert_eq!(requested_loads(&actions), vec![expected]);
    assert!(workers_sent_to(&actions).is_empty());
    let after_load = harness.finish_load(first[0], FUNCTION, LoadStatus::Ok);
    assert_eq!(workers_sent_to(&after_load), first);
}

/// Serves this many requests for one function, then submits three more that stay in flight, and returns the
/// loads that those three start.
fn loads_with_all_instances_in_use(requests_before: u32) -> Vec<RequestedLoad> {
    let mut harness = PolicyHarness::new(test_settings(OnMiss::Miss), 4);
    for n in 0..requests_before {
        harness.receive(request(n, 7));
        harness.finish_last_attempt(AttemptStatus::Ok);
    }
    (1000..1003)
        .flat_map(|n| requested_loads(&harness.receive(request(n, 7))))
        .collect()
}

#[test]
fn instances_in_use_of_a_popular_function_start_a_load_elsewhere() {
    assert_eq!(loads_with_all_instances_in_use(80).len(), 1);
}

/// Guards against evictions for instances that the request rate does not require (gori-jar-plant overload,
/// incident idf049f).
#[test]
fn instances_in_use_of_a_rare_function_start_no_load() {
    assert_eq!(loads_with_all_instances_in_use(4), vec![]);
}

#[test]
fn most_popular_function_is_loaded_on_most_workers_and_renewed() {
    let mut harness = PolicyHarness::new(test_settings(OnMiss::Miss), 4);
    let mut loads_by_worker = BTreeMap::new();
    for n in 0..200 {
        let on_arrival = harness.receive(request(n, 7));
        if !workers_sent_to(&on_arrival).is_empty() {
            harness.finish_last_attempt(AttemptStatus::Ok);
        }
        let mut actions = harness.advance_ms(100);
        actions.extend(on_arrival);
        for load in requested_loads(&actions) {
            *loads_by_worker.entry(load.worker).or_insert(0) += 1;
            harness.finish_load(load.worker, FUNCTION, LoadStatus::Ok);
        }
    }
    assert!(loads_by_worker.len() >= 3, "{loads_by_worker:?}");
    assert!(
        loads_by_worker.values().any(|count| *count > 1),
        "{loads_by_worker:?}"
    );
}

/// Guards against many functions with a single request each filling the load queues of the workers
/// (rustavi-plant, rough-1 and big-2).
#[test]
fn loads_of_rare_functions_leave_capacity_for_popular_ones() {
    let mut harness = PolicyHarness::new(test_settings(OnMiss::Miss), 2);
    let mut rare_loads = vec![];
    for n in 0..40 {
        let actions = harness.receive(request(n, 1000 + u64::from(n)));
        rare_loads.extend(requested_loads(&harness.miss_every_attempt(actions)));
    }
    assert!(!rare_loads.is_empty() && rare_loads.len() <= 4, "{rare_loads:?}");
    let mut popular_loads = vec![];
    for n in 100..103 {
        let actions = harness.receive(request(n, 7));
        popular_loads.extend(requested_loads(&harness.miss_every_attempt(actions)));
    }
    popular_loads.extend(requested_loads(&harness.advance_ms(100)));
    assert!(
        popular_loads.iter().any(|load| load.function == FUNCTION),
        "{popular_loads:?}"
    );
}

/// Guards against load orders proceeding from worker to worker, 8 for each request, after a load failed for
/// lack of memory (rustavi-plant-later, big-1).
#[test]
fn loads_that_find_workers_at_capacity_are_not_ordered_on_the_whole_fleet() {
    let mut harness = PolicyHarness::new(test_settings(OnMiss::Miss), 60);
    let mut actions = harness.receive(request(1, 7));
    let mut ordered = BTreeSet::new();
    for _ in 0..100 {
        let sent = workers_sent_to(&actions);
        let loads = requested_loads(&actions);
        ordered.extend(loads.iter().copied());
        actions = match loads.first() {
            Some(load) => harness.finish_load(load.worker, FUNCTION, LoadStatus::AtCapacity),
            None if sent.is_empty() => harness.advance_ms(10),
            None => harness.finish_last_attempt(AttemptStatus::Miss),
        };
    }
    assert!((1..=3).contains(&ordered.len()), "{ordered:?}");
}
