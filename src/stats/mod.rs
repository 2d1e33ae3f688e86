//! Statistics that forget: averages, sums and ratios in which recent samples count most.

mod bounded_ratio;
mod decay;
#[cfg(test)]
mod tests;

pub(crate) use bounded_ratio::{BoundedRatio, RatioBounds};
pub(crate) use decay::{DecayingAverage, DecayingSum, decay_factor, half_life_factor};
