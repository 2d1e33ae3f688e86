//! Selections from lists.

use super::mix64;

/// Returns the items that pass if they are at least `min_fraction`, 0 to 1, of all items; otherwise all
/// items.
pub(crate) fn retain_unless_few<T>(
    mut items: Vec<T>,
    min_fraction: f64,
    passes: impl Fn(&T) -> bool,
) -> Vec<T> {
    let passing = items.iter().filter(|item| passes(item)).count();
    if passing as f64 >= items.len() as f64 * min_fraction {
        items.retain(passes);
    }
    items
}

/// Returns the longest prefix of the items whose sizes together fit `capacity`.
pub(crate) fn take_fitting<T>(items: Vec<T>, capacity: f64, size: impl Fn(&T) -> f64) -> Vec<T> {
    let mut remaining = capacity;
    let mut fits = |item: &T| {
        remaining -= size(item);
        remaining.is_finite() && remaining >= 0.0
    };
    items.into_iter().take_while(|item| fits(item)).collect()
}

/// Returns the item of the lowest cost.
///
/// Ties are broken by a hash of `salt` and the item ids, and so at random if the salt is random.
pub(crate) fn least_by_cost<T>(
    items: impl Iterator<Item = T>,
    salt: u64,
    id: impl Fn(&T) -> u64,
    cost: impl Fn(&T) -> f64,
) -> Option<T> {
    let ranked = items.map(|item| (cost(&item), mix64(salt ^ id(&item)), item));
    let least = ranked.min_by(|one, other| one.0.total_cmp(&other.0).then(one.1.cmp(&other.1)));
    least.map(|(_, _, item)| item)
}
