//! Additive increase and multiplicative decrease.

use crate::model::{Span, Time};

/// The bounds and steps of an [`AimdLimit`], in the unit of the limit where nothing else is said.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AimdBounds {
    /// The limit at first.
    pub(crate) initial: f64,
    /// Least limit.
    pub(crate) min: f64,
    /// Greatest limit.
    pub(crate) max: f64,
    /// What an increase adds.
    pub(crate) increment: f64,
    /// What a decrease multiplies by: a fraction, 0 to 1.
    pub(crate) decrease_factor: f64,
    /// Least time between two decreases.
    pub(crate) decrease_interval: Span,
    /// The limit increases only where less than this is left of it.
    pub(crate) headroom: f64,
}

/// A limit that increases by addition and decreases by multiplication.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AimdLimit {
    /// The limit once it has changed.
    adapted: Option<f64>,
    decreased_at: Time,
}

impl AimdLimit {
    /// The limit.
    pub(crate) fn value(&self, bounds: &AimdBounds) -> f64 {
        self.adapted.unwrap_or(bounds.initial)
    }

    /// Increases the limit, up to its greatest value, if so much of it is used that it may matter.
    pub(crate) fn increase(&mut self, used: u32, bounds: &AimdBounds) {
        let limit = self.value(bounds);
        if f64::from(used) + bounds.headroom >= limit {
            self.adapted = Some((limit + bounds.increment).min(bounds.max));
        }
    }

    /// Decreases the limit, down to its least value, unless the last decrease is too recent.
    pub(crate) fn decrease(&mut self, now: Time, bounds: &AimdBounds) {
        if now - self.decreased_at > bounds.decrease_interval {
            self.adapted = Some((self.value(bounds) * bounds.decrease_factor).max(bounds.min));
            self.decreased_at = now;
        }
    }
}
