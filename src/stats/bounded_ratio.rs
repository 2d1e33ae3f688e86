//! A bounded ratio to a baseline.

use super::{DecayingAverage, half_life_factor};
use crate::model::{Span, Time};

/// The bounds and weights of a [`BoundedRatio`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct RatioBounds {
    /// Minimum ratio, at most 1.
    pub(crate) min: f64,
    /// Maximum ratio, at least 1.
    pub(crate) max: f64,
    /// Maximum sample; greater samples are clamped to it.
    pub(crate) max_sample: f64,
    /// Weight of a sample, 0 to 1.
    pub(crate) sample_weight: f64,
    /// Time in which the distance from 1 halves if no samples arrive.
    pub(crate) half_life: Span,
}

/// A moving average of ratios that starts at 1 and returns to 1 if no samples arrive.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BoundedRatio {
    average: DecayingAverage,
    updated_at: Time,
}

impl Default for BoundedRatio {
    fn default() -> BoundedRatio {
        BoundedRatio {
            average: DecayingAverage::new(1.0),
            updated_at: Time(0),
        }
    }
}

impl BoundedRatio {
    /// Updates the average with a sample.
    pub(crate) fn update(&mut self, sample: f64, now: Time, bounds: &RatioBounds) {
        self.average
            .update(sample.clamp(0.0, bounds.max_sample), bounds.sample_weight);
        let bounded = self.average.value().clamp(bounds.min, bounds.max);
        self.average = DecayingAverage::new(bounded);
        self.updated_at = now;
    }

    /// Multiplies the ratio by a factor, up to its maximum, without changing the time of its last sample.
    pub(crate) fn raise(&mut self, factor: f64, bounds: &RatioBounds) {
        let raised = (self.average.value() * factor).min(bounds.max);
        self.average = DecayingAverage::new(raised);
    }

    /// Returns the ratio at `now`. It approaches 1 with the time since the last sample.
    pub(crate) fn value(&self, now: Time, bounds: &RatioBounds) -> f64 {
        1.0 + (self.average.value() - 1.0) * half_life_factor(now - self.updated_at, bounds.half_life)
    }
}
