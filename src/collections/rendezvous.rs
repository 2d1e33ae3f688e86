//! Weighted rendezvous (highest random weight) hashing.

/// Number of distinct values that a hash is reduced to: those that fit the mantissa of an `f64` exactly.
const UNIT_STEPS: f64 = (1u64 << 53) as f64;

/// Returns the output of the 64-bit finalizer of SplitMix64. Equal inputs give equal hashes in every
/// process.
pub(crate) fn mix64(mut value: u64) -> u64 {
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// A node to be ordered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RendezvousNode<N> {
    /// Value that represents the node in the order.
    pub(crate) node: N,
    /// Hash input of the node, the same in all processes.
    pub(crate) hash_input: u64,
    /// Weight of the node, above 0, relative to the other nodes.
    pub(crate) weight: f64,
}

/// Returns the nodes in the order of their rendezvous scores for a key.
///
/// All processes that know the same nodes compute the same order. A node of twice the weight comes first
/// for twice as many keys. Ties are broken by the order of the node values.
pub(crate) fn weighted_rendezvous_order<N: Ord + Copy>(
    key: u64,
    nodes: impl Iterator<Item = RendezvousNode<N>>,
) -> Vec<N> {
    let mut scored: Vec<(f64, N)> = nodes
        .map(|entry| {
            let unit = ((mix64(key ^ mix64(entry.hash_input)) >> 11) as f64 + 1.0) / UNIT_STEPS;
            (-unit.ln() / entry.weight, entry.node)
        })
        .collect();
    scored.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    scored.into_iter().map(|(_, node)| node).collect()
}
