//! Tests of instances: whether they are expected to be loaded, and their load orders.

use super::{FUNCTION, SECOND, cluster};
use crate::cluster::Instance;
use crate::collections::ExponentialBackoff;
use crate::model::{Span, Time, WorkerId};

#[test]
fn an_instance_is_expected_to_be_loaded_until_its_expiry_or_a_miss() {
    let mut instance = Instance::default();
    assert!(!instance.is_loaded(Time(0)) && !instance.missed_within(Time(0), SECOND));
    instance.confirm(Time(100));
    assert!(instance.is_loaded(Time(99)) && !instance.is_loaded(Time(100)));
    instance.miss(Time(50));
    assert!(!instance.is_loaded(Time(50)));
    assert!(instance.missed_within(Time(59), Span(10)) && !instance.missed_within(Time(60), Span(10)));
    instance.confirm(Time(100));
    assert!(
        !instance.missed_within(Time(55), Span(10)),
        "it was seen loaded since"
    );
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
        "the order is older than the span"
    );
    let worker = cluster
        .workers
        .get_mut(&WorkerId(1))
        .expect("the worker should be listed");
    assert_eq!(worker.ordered_loads(Time(100)), 1);
    let instance = worker.instance_mut(FUNCTION);
    assert!(!instance.can_order_load(Time(100)));
    assert!(instance.end_load() && !instance.end_load());
    assert!(instance.can_order_load(Time(100)));
    instance.fail_load(Time(100), ExponentialBackoff::new(Span(20), 3));
    assert!(!instance.can_order_load(Time(119)) && instance.can_order_load(Time(120)));
}
