//! Worker ids and default weights, which have the same form in both files.

use crate::model::WorkerId;

/// Prefix of a worker id.
const ID_PREFIX: &str = "s-";
/// Number of hexadecimal digits after the prefix of a worker id.
const ID_DIGITS: usize = 8;
/// Default weight of a worker, relative to other workers.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Parses a worker id, which is `s-` followed by 8 hexadecimal digits; returns `None` if it is malformed.
pub(super) fn parse_worker_id(id: &str) -> Option<WorkerId> {
    let digits = id.strip_prefix(ID_PREFIX)?;
    let well_formed = digits.len() == ID_DIGITS && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !well_formed {
        return None;
    }
    u64::from_str_radix(digits, 16).ok().map(WorkerId)
}

/// Returns the weight of a worker whose entry has none; used by `#[serde(default)]`.
pub(super) fn default_weight() -> f64 {
    DEFAULT_WEIGHT
}
