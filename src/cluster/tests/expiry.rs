//! Tests of expiry and decay.

use super::{FUNCTION, SECOND, cluster, send};
use crate::model::{Span, Time, WorkerId};

#[test]
fn unused_functions_instances_and_sends_are_dropped() {
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
        "a request for the function is open"
    );
    assert_eq!(
        cluster.workers[&WorkerId(1)].instances.len(),
        1,
        "an attempt to the instance is in flight"
    );
    cluster.requests.clear();
    let worker = cluster
        .workers
        .get_mut(&WorkerId(1))
        .expect("the worker should be listed");
    worker.instance_mut(FUNCTION).end_request();
    cluster.prune(Time(30), Span(5));
    assert!(cluster.functions.is_empty() && cluster.workers[&WorkerId(1)].instances.is_empty());
    cluster.drop_sends_before(Time(20));
    assert_eq!(cluster.send_history.len(), 1);
    cluster.drop_sends_before(Time(21));
    assert!(cluster.send_history.is_empty());
}

#[test]
fn reported_load_and_completed_work_decay_with_time() {
    let mut cluster = cluster();
    cluster
        .workers
        .get_mut(&WorkerId(1))
        .expect("the worker should be listed")
        .load
        .report(8.0);
    cluster.decay_reports(SECOND, SECOND);
    assert_eq!(cluster.workers[&WorkerId(1)].load.total_in_flight(), 4.0);
    cluster.completed_work.add(1.0);
    cluster.decay_completed_work(SECOND, SECOND);
    assert!((cluster.completed_work.value() - (-1.0f64).exp()).abs() < 1e-12);
}
