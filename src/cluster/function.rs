//! Recently requested functions.

use crate::collections::{Hysteresis, SlidingWindowCounter};
use crate::model::{IncomingRequest, Time};

/// Maximum memory of one instance, in MB; the value in a request is clamped to the range from 0 to this.
///
/// The limit keeps an invalid value from distorting the memory calculations.
const MAX_MEMORY_MB: f64 = 1e12;
/// Maximum number of requests that one instance runs at a time; the value in a request is clamped to the
/// range from 1 to this.
const MAX_CONCURRENCY: f64 = 64.0;

/// State of a recently requested function.
#[derive(Default)]
pub(crate) struct Function {
    /// Memory of one instance, in MB.
    pub(crate) memory_mb: f64,
    /// Number of requests that one instance runs at a time.
    pub(crate) concurrency: u32,
    /// Number of requests in the popularity window.
    pub(crate) requests: SlidingWindowCounter,
    /// Whether the function is in the gold tier.
    pub(crate) gold: Hysteresis,
    /// When the function last entered or left the gold tier.
    pub(crate) gold_changed_at: Time,
}

impl Function {
    /// Counts a request and updates the instance properties from it.
    pub(crate) fn count_request(&mut self, request: &IncomingRequest) {
        self.memory_mb = request.memory_mb.clamp(0.0, MAX_MEMORY_MB);
        self.concurrency = (request.concurrency.clamp(1.0, MAX_CONCURRENCY) as u32).max(1);
        self.requests.increment();
    }
}
