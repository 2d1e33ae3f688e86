//! Weighted rendezvous (highest random weight) hashing.

/// Number of random bits that fit a double's mantissa, as a count of distinct values.
const UNIT_STEPS: f64 = (1u64 << 53) as f64;

/// The 64-bit finalizer of SplitMix64: equal inputs give equal hashes in every process.
pub(crate) fn mix64(mut value: u64) -> u64 {
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// A node to be ordered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RendezvousNode<N> {
    /// What stands for the node in the order.
    pub(crate) node: N,
    /// The same for the node in all processes.
    pub(crate) hash_input: u64,
    /// Its weight, above 0, in relation to the other nodes.
    pub(crate) weight: f64,
}

/// Orders nodes for a key. All processes that know the same nodes compute the same order, and a node of twice
/// the weight comes first for twice as many keys. Ties are broken by the node itself.
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
