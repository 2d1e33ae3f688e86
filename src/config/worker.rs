//! What both files say of a worker in the same form: its id and its weight.

use crate::model::WorkerId;

/// What the id of a worker begins with.
const ID_PREFIX: &str = "s-";
/// Hexadecimal digits of the id after its prefix.
const ID_DIGITS: usize = 8;
/// Weight of a worker that is listed without one, relative to other workers.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Parses the id of a worker: `s-` and 8 hexadecimal digits.
pub(super) fn parse_worker_id(id: &str) -> Option<WorkerId> {
    let digits = id.strip_prefix(ID_PREFIX)?;
    let well_formed = digits.len() == ID_DIGITS && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !well_formed {
        return None;
    }
    u64::from_str_radix(digits, 16).ok().map(WorkerId)
}

/// The weight of a worker whose entry has none; for `#[serde(default)]`.
pub(super) fn default_weight() -> f64 {
    DEFAULT_WEIGHT
}
