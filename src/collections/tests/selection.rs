//! Tests of selections from lists.

use crate::collections::{least_by_cost, mix64, retain_unless_few, take_fitting};
use std::collections::BTreeSet;

#[test]
fn failing_items_are_left_out_unless_too_few_would_remain() {
    let even = |number: &u32| number.is_multiple_of(2);
    assert_eq!(retain_unless_few(vec![1, 2, 3, 4], 0.5, even), [2, 4]);
    assert_eq!(retain_unless_few(vec![1, 2, 3], 0.5, even), [1, 2, 3]);
    assert_eq!(retain_unless_few(vec![1, 3], 0.0, even), [0; 0]);
    assert_eq!(retain_unless_few(vec![], 0.5, even), [0; 0]);
}

#[test]
fn items_are_taken_in_order_while_they_fit() {
    let size = |size: &f64| *size;
    assert_eq!(take_fitting(vec![3.0, 2.0, 1.0], 5.0, size), [3.0, 2.0]);
    assert_eq!(
        take_fitting(vec![6.0, 1.0], 5.0, size),
        [0.0; 0],
        "items after the first that does not fit are not taken"
    );
    assert_eq!(
        take_fitting(vec![1.0], f64::INFINITY, size),
        [0.0; 0],
        "an infinite capacity takes nothing"
    );
    assert_eq!(take_fitting(vec![f64::NAN], 5.0, size).len(), 0);
}

#[test]
fn the_least_cost_wins_and_ties_are_broken_by_the_salt() {
    let least = |costs: &[f64], salt| {
        let items = costs.iter().copied().enumerate();
        least_by_cost(items, salt, |(index, _)| *index as u64, |(_, cost)| *cost).map(|(index, _)| index)
    };
    assert_eq!(least(&[], 1), None);
    assert_eq!(least(&[2.0, 1.0, 3.0], 1), Some(1));
    let winners: BTreeSet<_> = (0..50)
        .map(|salt| least(&[1.0, 1.0, 1.0, 2.0], mix64(salt)))
        .collect();
    assert_eq!(winners, BTreeSet::from([Some(0), Some(1), Some(2)]));
}
