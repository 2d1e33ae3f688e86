//! Which stream ids a client has used on its connection.

use std::collections::BTreeSet;

#[cfg(test)]
mod tests;

/// Used ids above the floor that are remembered one by one.
const MAX_IDS_ABOVE_FLOOR: usize = 4096;

/// The used stream ids of a connection: all up to a floor, and some above it.
///
/// Ids need not come in order, but memory is bounded: once too many stand above gaps, the gaps count as used.
#[derive(Default)]
pub(super) struct UsedStreamIds {
    floor: u32,
    above_floor: BTreeSet<u32>,
}

impl UsedStreamIds {
    /// Marks an id as used; false if it was used before.
    pub(super) fn insert(&mut self, stream: u32) -> bool {
        if stream <= self.floor || !self.above_floor.insert(stream) {
            return false;
        }
        while self.above_floor.remove(&(self.floor + 1)) {
            self.floor += 1;
        }
        if self.above_floor.len() > MAX_IDS_ABOVE_FLOOR
            && let Some(lowest) = self.above_floor.pop_first()
        {
            self.floor = lowest;
        }
        true
    }
}
