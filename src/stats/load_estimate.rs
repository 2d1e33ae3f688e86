//! An estimate of how loaded a host is.

use super::{BoundedRatio, DecayingSum, RatioBounds};
use crate::model::Time;

/// How loaded a host is: the own requests in flight there, those of others that it has reported, which decay,
/// and its latencies as a ratio to a baseline.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadEstimate {
    in_flight: u32,
    others_in_flight: DecayingSum,
    latency_ratio: BoundedRatio,
}

impl LoadEstimate {
    /// Own requests in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// All requests in flight, as far as known.
    pub(crate) fn total_in_flight(&self) -> f64 {
        f64::from(self.in_flight) + self.others_in_flight.value()
    }

    /// The requests in flight together with a new one, weighed by the latency ratio.
    pub(crate) fn expected(&self, now: Time, bounds: &RatioBounds) -> f64 {
        (self.total_in_flight() + 1.0) * self.latency_ratio.value(now, bounds)
    }

    /// An own request is sent.
    pub(crate) fn begin(&mut self) {
        self.in_flight += 1;
    }

    /// An own request has ended.
    pub(crate) fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// The host has reported how many requests are in flight there, own ones included.
    pub(crate) fn report(&mut self, reported: f64) {
        self.others_in_flight
            .set((reported - f64::from(self.in_flight)).max(0.0));
    }

    /// Lets the reported requests of others decay to this fraction, 0 to 1.
    pub(crate) fn decay(&mut self, factor: f64) {
        self.others_in_flight.scale(factor);
    }

    /// Takes in a latency as a ratio to the baseline.
    pub(crate) fn record_latency(&mut self, ratio: f64, now: Time, bounds: &RatioBounds) {
        self.latency_ratio.update(ratio, now, bounds);
    }

    /// Raises the latency ratio by a factor.
    pub(crate) fn raise_latency(&mut self, factor: f64, bounds: &RatioBounds) {
        self.latency_ratio.raise(factor, bounds);
    }
}
