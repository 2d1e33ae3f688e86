//! The set of recently requested functions.

use super::*;
use crate::scheduler::recent_functions::RecentFunctions;

#[test]
fn a_function_is_retained_for_one_to_two_generations() {
    let mut functions = RecentFunctions::default();
    functions.record(at_millis(0), FunctionId(1));
    functions.record(at_millis(60_000), FunctionId(2));
    assert!(functions.contains(FunctionId(1)));
    functions.record(at_millis(60_001), FunctionId(3));
    assert!(functions.contains(FunctionId(1)), "in the generation before");
    functions.record(at_millis(120_002), FunctionId(4));
    assert!(!functions.contains(FunctionId(1)));
    assert!(!functions.contains(FunctionId(2)));
    assert!(functions.contains(FunctionId(3)));
    assert!(functions.contains(FunctionId(4)));
}

/// Clients can name any number of different functions, and the set must stay bounded.
#[test]
fn a_full_generation_is_replaced_early() {
    const CAPACITY: u64 = 1 << 14;
    let mut functions = RecentFunctions::default();
    for n in 0..=2 * CAPACITY {
        functions.record(at_millis(0), FunctionId(n));
    }
    assert!(!functions.contains(FunctionId(CAPACITY - 1)));
    assert!(functions.contains(FunctionId(CAPACITY)));
    assert!(functions.contains(FunctionId(2 * CAPACITY)));
}
