//! Tests of weighted rendezvous hashing.

use crate::collections::{RendezvousNode, mix64, weighted_rendezvous_order};
use std::collections::BTreeSet;

fn nodes(weights: &[f64]) -> impl Iterator<Item = RendezvousNode<usize>> {
    weights.iter().enumerate().map(|(node, weight)| RendezvousNode {
        node,
        hash_input: node as u64,
        weight: *weight,
    })
}

#[test]
fn a_rendezvous_order_contains_each_node_and_keeps_the_others_in_order_if_one_is_removed() {
    for key in 0..100 {
        let order = weighted_rendezvous_order(key, nodes(&[1.0; 8]));
        assert_eq!(order.iter().copied().collect::<BTreeSet<_>>().len(), 8);
        let without_last = weighted_rendezvous_order(key, nodes(&[1.0; 7]));
        let expected: Vec<usize> = order.into_iter().filter(|node| *node != 7).collect();
        assert_eq!(without_last, expected, "key {key}");
    }
}

#[test]
fn a_node_of_twice_the_weight_comes_first_twice_as_often() {
    let first = |key| weighted_rendezvous_order(mix64(key), nodes(&[2.0, 1.0, 1.0]))[0];
    let heavy = (0..4000).filter(|key| first(*key) == 0).count();
    assert!((1800..2200).contains(&heavy), "{heavy} of 4000, half expected");
}
