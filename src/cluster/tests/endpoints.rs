//! Tests of endpoint list updates, hash orders and the grouping of workers by zone.

use super::{FUNCTION, cluster, endpoint, send, workers};
use crate::model::{Endpoint, EndpointState, EndpointUpdateKind, FunctionId, Time, WorkerId, ZoneId};

#[test]
fn a_snapshot_removes_the_workers_that_it_leaves_out_and_a_delta_does_not() {
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
fn a_worker_keeps_its_state_until_its_process_restarts() {
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
    assert_eq!(sent, 0.5, "the record of sent work is kept");
}

#[test]
fn the_hash_order_contains_all_workers_and_prefers_heavier_ones() {
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
fn workers_are_grouped_by_zone() {
    let zones = cluster().workers_by_zone();
    assert_eq!(zones[&ZoneId(0)], [WorkerId(2)]);
    assert_eq!(zones[&ZoneId(1)], [WorkerId(1), WorkerId(3)]);
}
