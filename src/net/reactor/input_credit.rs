//! The processing time that a connection may use for its input before other connections get their turn.

use crate::model::Span;

/// Processing time that a connection is granted each time its turn comes.
const QUANTUM: Span = Span::from_micros(100);
/// Maximum debt of a connection. Time beyond it is not charged: most of it is time that the client did not ask
/// for, such as a pause of the process.
const MAX_DEBT: Span = Span::from_micros(400);

/// The balance of a connection in a deficit round robin, in nanoseconds.
///
/// A connection whose messages cost more than it was granted is in debt, and is passed over until further grants
/// have paid the debt. The debt is limited, and so is the time that the connection waits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct InputCredit {
    balance: i64,
}

impl InputCredit {
    /// Number of grants after which any connection has credit.
    #[cfg(test)]
    pub(super) const MAX_GRANTS_TO_CREDIT: u64 = MAX_DEBT.0 / QUANTUM.0 + 1;

    /// Grants one quantum. Unused time of earlier turns does not accumulate.
    pub(super) fn grant(&mut self) {
        let quantum = QUANTUM.0 as i64;
        self.balance = self.balance.saturating_add(quantum).min(quantum);
    }

    /// Charges the time that the connection has used.
    pub(super) fn charge(&mut self, used: Span) {
        let used = i64::try_from(used.0).unwrap_or(i64::MAX);
        self.balance = self.balance.saturating_sub(used).max(-(MAX_DEBT.0 as i64));
    }

    /// Returns whether the connection may handle more input now.
    pub(super) fn is_positive(self) -> bool {
        self.balance > 0
    }
}
