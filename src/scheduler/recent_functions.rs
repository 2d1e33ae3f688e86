//! The functions that clients have requested recently, in bounded memory.

use crate::model::{FunctionId, Span, Time};
use std::collections::BTreeSet;

/// Time after which a new generation begins.
const GENERATION_DURATION: Span = Span::from_millis(60_000);

/// Number of functions in a generation at which a new one begins early. It bounds the memory, since clients
/// can name any number of different functions.
const GENERATION_CAPACITY: usize = 1 << 14;

/// A set of recently requested functions in two generations, the current and the previous one.
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

    /// Returns whether a function was requested in one of the two generations.
    pub(super) fn contains(&self, function: FunctionId) -> bool {
        self.current.contains(&function) || self.previous.contains(&function)
    }
}
