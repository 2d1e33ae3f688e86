//! The stream ids that a client has used on its connection.

use std::collections::BTreeSet;

#[cfg(test)]
mod tests;

/// Maximum number of used ids above the floor that are stored individually.
const MAX_IDS_ABOVE_FLOOR: usize = 4096;

/// The used stream ids of a connection: all ids up to a floor, and individual ids above it.
///
/// Ids may be used out of order. To bound memory, the floor is raised when too many ids are stored above it;
/// the unused ids below the new floor then count as used.
#[derive(Default)]
pub(super) struct UsedStreamIds {
    floor: u32,
    above_floor: BTreeSet<u32>,
}

impl UsedStreamIds {
    /// Marks an id as used and returns whether it was unused before.
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
