//! Exponential backoff.

use crate::model::Span;

/// A delay that doubles with each failure in a row, up to a limit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExponentialBackoff {
    initial: Span,
    max_doublings: u32,
}

impl ExponentialBackoff {
    /// A backoff that starts at `initial` and doubles at most `max_doublings` times.
    pub(crate) const fn new(initial: Span, max_doublings: u32) -> ExponentialBackoff {
        ExponentialBackoff { initial, max_doublings }
    }

    /// The delay after so many earlier failures in a row; the initial one where there were none.
    pub(crate) fn delay(self, earlier_failures: u32) -> Span {
        Span(self.initial.0 << earlier_failures.min(self.max_doublings))
    }
}
