//! Exponentially decaying averages and sums.

use crate::model::Span;

/// An exponentially weighted moving average.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingAverage {
    value: f64,
}

impl DecayingAverage {
    /// Creates an average that is `initial` before its first sample.
    pub(crate) fn new(initial: f64) -> DecayingAverage {
        DecayingAverage { value: initial }
    }

    /// Returns the average.
    pub(crate) fn value(&self) -> f64 {
        self.value
    }

    /// Updates the average with a sample of a weight from 0 (no effect) to 1 (the sample replaces the
    /// average).
    pub(crate) fn update(&mut self, sample: f64, weight: f64) {
        self.value += (sample - self.value) * weight;
    }
}

/// A sum that decays with time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingSum {
    value: f64,
}

impl DecayingSum {
    /// Returns the sum.
    pub(crate) fn value(&self) -> f64 {
        self.value
    }

    /// Adds an amount to the sum.
    pub(crate) fn add(&mut self, amount: f64) {
        self.value += amount;
    }

    /// Replaces the sum.
    pub(crate) fn set(&mut self, value: f64) {
        self.value = value;
    }

    /// Multiplies the sum by a factor, 0 to 1. See [`decay_factor`] and [`half_life_factor`].
    pub(crate) fn scale(&mut self, factor: f64) {
        self.value *= factor;
    }
}

/// Returns the fraction, 0 to 1, that remains of a quantity after `elapsed` if it falls to 1/e in
/// `time_constant`.
pub(crate) fn decay_factor(elapsed: Span, time_constant: Span) -> f64 {
    (-elapsed.as_secs_f64() / time_constant.as_secs_f64()).exp()
}

/// Returns the fraction, 0 to 1, that remains of a quantity after `elapsed` if it halves in `half_life`.
pub(crate) fn half_life_factor(elapsed: Span, half_life: Span) -> f64 {
    0.5f64.powf(elapsed.as_secs_f64() / half_life.as_secs_f64())
}
