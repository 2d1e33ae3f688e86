//! An estimate of the load of a host.

use super::{BoundedRatio, DecayingSum, RatioBounds};
use crate::model::Time;

/// The estimated load of a host.
///
/// It combines this process's requests in flight to the host, the requests of others that the host has
/// reported, which decay, and the ratio of the host's latencies to a baseline.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadEstimate {
    in_flight: u32,
    others_in_flight: DecayingSum,
    latency_ratio: BoundedRatio,
}

impl LoadEstimate {
    /// Returns the number of this process's requests in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the number of all known requests in flight.
    pub(crate) fn total_in_flight(&self) -> f64 {
        f64::from(self.in_flight) + self.others_in_flight.value()
    }

    /// Returns the requests in flight, including one new request, multiplied by the latency ratio.
    pub(crate) fn expected(&self, now: Time, bounds: &RatioBounds) -> f64 {
        (self.total_in_flight() + 1.0) * self.latency_ratio.value(now, bounds)
    }

    /// Records that this process sent a request.
    pub(crate) fn begin_request(&mut self) {
        self.in_flight += 1;
    }

    /// Records that a request of this process ended.
    pub(crate) fn end_request(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records the number of requests in flight that the host reported, which includes those of this
    /// process.
    pub(crate) fn report(&mut self, reported: f64) {
        self.others_in_flight
            .set((reported - f64::from(self.in_flight)).max(0.0));
    }

    /// Multiplies the reported requests of others by a factor, 0 to 1.
    pub(crate) fn decay(&mut self, factor: f64) {
        self.others_in_flight.scale(factor);
    }

    /// Records a latency as a ratio to the baseline.
    pub(crate) fn record_latency(&mut self, ratio: f64, now: Time, bounds: &RatioBounds) {
        self.latency_ratio.update(ratio, now, bounds);
    }

    /// Multiplies the latency ratio by a factor.
    pub(crate) fn raise_latency(&mut self, factor: f64, bounds: &RatioBounds) {
        self.latency_ratio.raise(factor, bounds);
    }
}
