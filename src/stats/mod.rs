//! Statistics with decay: averages, sums and ratios in which recent samples count most.

mod bounded_ratio;
mod decay;
mod load_estimate;
#[cfg(test)]
mod tests;
mod threshold;

pub(crate) use bounded_ratio::{BoundedRatio, RatioBounds};
pub(crate) use decay::{DecayingAverage, DecayingSum, decay_factor, half_life_factor};
pub(crate) use load_estimate::LoadEstimate;
pub(crate) use threshold::{ThresholdBounds, ThresholdDetector};
