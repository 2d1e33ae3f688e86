//! The number of retired correlation ids that all connections to workers together may keep.

use std::cell::Cell;
use std::rc::Rc;

/// Number of retired ids that a connection may keep whatever the others keep.
pub(super) const GUARANTEED_PER_CONNECTION: usize = 16;

/// A count of retired ids, shared by all connections, with its limit.
#[derive(Clone, Debug)]
pub(super) struct RetiredIdBudget {
    shared: Rc<Shared>,
}

#[derive(Debug)]
struct Shared {
    kept: Cell<usize>,
    limit: Cell<usize>,
}

impl RetiredIdBudget {
    /// Creates a budget for this number of ids.
    pub(super) fn new(limit: usize) -> RetiredIdBudget {
        RetiredIdBudget {
            shared: Rc::new(Shared {
                kept: Cell::new(0),
                limit: Cell::new(limit),
            }),
        }
    }

    /// Sets the limit. Connections forget ids beyond it when they retire the next.
    pub(super) fn set_limit(&self, limit: usize) {
        self.shared.limit.set(limit);
    }

    /// Returns whether more ids are kept than the limit allows.
    pub(super) fn is_exceeded(&self) -> bool {
        self.shared.kept.get() > self.shared.limit.get()
    }

    /// Returns the number of ids that are kept.
    pub(super) fn kept(&self) -> usize {
        self.shared.kept.get()
    }

    /// Records that an id is kept.
    pub(super) fn add(&self) {
        self.shared.kept.set(self.shared.kept.get() + 1);
    }

    /// Records that this number of ids is no longer kept.
    pub(super) fn remove(&self, count: usize) {
        self.shared.kept.set(self.shared.kept.get() - count);
    }
}

impl Default for RetiredIdBudget {
    /// Creates a budget without a limit.
    fn default() -> RetiredIdBudget {
        RetiredIdBudget::new(usize::MAX)
    }
}
