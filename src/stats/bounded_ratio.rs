//! A ratio to a baseline, within bounds.

use super::{DecayingAverage, half_life_factor};
use crate::model::{Span, Time};

/// The bounds and weights of a [`BoundedRatio`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct RatioBounds {
    /// Least ratio, at most 1.
    pub(crate) min: f64,
    /// Greatest ratio, at least 1.
    pub(crate) max: f64,
    /// Greatest sample; greater ones count as this.
    pub(crate) max_sample: f64,
    /// Weight of a sample, from 0 to 1.
    pub(crate) sample_weight: f64,
    /// Time in which the distance from 1 halves without samples.
    pub(crate) half_life: Span,
}

/// A moving average of ratios, 1 at first, that returns to 1 where no samples come.
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
    /// Takes in a sample.
    pub(crate) fn update(&mut self, sample: f64, now: Time, bounds: &RatioBounds) {
        self.average
            .update(sample.clamp(0.0, bounds.max_sample), bounds.sample_weight);
        let bounded = self.average.value().clamp(bounds.min, bounds.max);
        self.average = DecayingAverage::new(bounded);
        self.updated_at = now;
    }

    /// Raises the ratio by a factor, up to its greatest value; its age stays.
    pub(crate) fn raise(&mut self, factor: f64, bounds: &RatioBounds) {
        let raised = (self.average.value() * factor).min(bounds.max);
        self.average = DecayingAverage::new(raised);
    }

    /// The ratio at `now`, nearer to 1 the longer no sample has come.
    pub(crate) fn value(&self, now: Time, bounds: &RatioBounds) -> f64 {
        1.0 + (self.average.value() - 1.0) * half_life_factor(now - self.updated_at, bounds.half_life)
    }
}
