//! Tests of the ranking of functions and the clamping of their properties.

use super::{FUNCTION, SECOND, cluster, incoming};
use crate::model::{FunctionId, IncomingRequest, Time};

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
fn invalid_values_of_a_function_are_clamped() {
    for invalid in [f64::NAN, f64::INFINITY, -3.0] {
        let mut cluster = cluster();
        let request = IncomingRequest {
            memory_mb: invalid,
            concurrency: invalid,
            ..incoming(1)
        };
        cluster.add_request(&request, SECOND, Time(20));
        assert!((1..=64).contains(&cluster.functions[&FUNCTION].concurrency));
    }
}
