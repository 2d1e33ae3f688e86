//! The functions that clients have requested recently, in bounded memory.

use crate::model::{FunctionId, Span, Time};
use std::collections::BTreeSet;

/// How long one generation of functions is filled.
const GENERATION_DURATION: Span = Span::from_millis(60_000);

/// Functions after which a new generation begins early: clients may name ever new ones.
const GENERATION_CAPACITY: usize = 1 << 14;

/// Two generations of requested functions: the one being filled and the one before it.
#[derive(Debug, Default)]
pub(super) struct RecentFunctions {
    current: BTreeSet<FunctionId>,
    previous: BTreeSet<FunctionId>,
    current_since: Time,
}

impl RecentFunctions {
    /// Records that a function has been requested.
    pub(super) fn record(&mut self, now: Time, function: FunctionId) {
        let is_old = now - self.current_since > GENERATION_DURATION;
        if is_old || self.current.len() >= GENERATION_CAPACITY {
            self.current_since = now;
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(function);
    }

    /// Whether a function was requested in one of the two generations.
    pub(super) fn contains(&self, function: FunctionId) -> bool {
        self.current.contains(&function) || self.previous.contains(&function)
    }
}
