//! A moving average that trips at a threshold.

use super::DecayingAverage;

/// The weights and thresholds of a [`ThresholdDetector`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct ThresholdBounds {
    /// Weight of a sample, 0 to 1.
    pub(crate) sample_weight: f64,
    /// Average above which the detector trips.
    pub(crate) threshold: f64,
    /// Value that the average is reset to when the detector trips.
    pub(crate) reset_value: f64,
    /// Average up to which the detector counts as recovered.
    pub(crate) recovery_threshold: f64,
}

/// A moving average that starts at 0, trips above a threshold and is then reset to a lower value.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ThresholdDetector {
    average: DecayingAverage,
}

impl ThresholdDetector {
    /// Records a sample and returns whether the detector trips.
    pub(crate) fn record(&mut self, sample: f64, bounds: &ThresholdBounds) -> bool {
        self.average.update(sample, bounds.sample_weight);
        let trips = self.average.value() > bounds.threshold;
        if trips {
            self.average = DecayingAverage::new(bounds.reset_value);
        }
        trips
    }

    /// Returns whether the average is low enough to count as recovered.
    pub(crate) fn is_recovered(&self, bounds: &ThresholdBounds) -> bool {
        self.average.value() <= bounds.recovery_threshold
    }
}
