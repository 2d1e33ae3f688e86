//! Limits with additive increase and multiplicative decrease (AIMD).

use crate::model::{Span, Time};

/// The bounds and steps of an [`AimdLimit`], in the unit of the limit unless stated otherwise.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AimdBounds {
    /// Initial limit.
    pub(crate) initial: f64,
    /// Minimum limit.
    pub(crate) min: f64,
    /// Maximum limit.
    pub(crate) max: f64,
    /// Amount that an increase adds.
    pub(crate) increment: f64,
    /// Factor, 0 to 1, that a decrease multiplies the limit by.
    pub(crate) decrease_factor: f64,
    /// Minimum time between two decreases.
    pub(crate) decrease_interval: Span,
    /// Maximum unused part of the limit at which the limit still increases.
    pub(crate) headroom: f64,
}

/// A limit that increases additively and decreases multiplicatively.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AimdLimit {
    /// The limit after its first change; `None` before it.
    adapted: Option<f64>,
    decreased_at: Time,
}

impl AimdLimit {
    /// Returns the current limit.
    pub(crate) fn value(&self, bounds: &AimdBounds) -> f64 {
        self.adapted.unwrap_or(bounds.initial)
    }

    /// Increases the limit, up to its maximum, if the unused part is at most the headroom.
    pub(crate) fn increase(&mut self, used: u32, bounds: &AimdBounds) {
        let limit = self.value(bounds);
        if f64::from(used) + bounds.headroom >= limit {
            self.adapted = Some((limit + bounds.increment).min(bounds.max));
        }
    }

    /// Decreases the limit, down to its minimum, unless the last decrease is too recent.
    pub(crate) fn decrease(&mut self, now: Time, bounds: &AimdBounds) {
        if now - self.decreased_at > bounds.decrease_interval {
            self.adapted = Some((self.value(bounds) * bounds.decrease_factor).max(bounds.min));
            self.decreased_at = now;
        }
    }
}
