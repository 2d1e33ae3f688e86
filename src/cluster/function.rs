//! Functions that were requested lately.

use crate::collections::{Hysteresis, SlidingWindowCounter};
use crate::model::{IncomingRequest, Time};

/// Greatest memory of an instance that is believed, so that an absurd figure does no harm.
///
/// Megabytes, above 0. Source: inherited (see the constants of the policy).
const MAX_MEMORY_MB: f64 = 1e12;
/// Most requests that one instance is taken to run at a time.
///
/// Requests, from 1 up. Source: inherited.
const MAX_CONCURRENCY: f64 = 64.0;

/// A function that was requested lately.
#[derive(Default)]
pub(crate) struct Function {
    /// Memory of one instance.
    pub(crate) memory_mb: f64,
    /// Requests that one instance runs at a time.
    pub(crate) concurrency: u32,
    /// Requests in the popularity window.
    pub(crate) requests: SlidingWindowCounter,
    /// Whether it is of the gold tier.
    pub(crate) gold: Hysteresis,
    /// When it has entered or left the gold tier.
    pub(crate) gold_changed_at: Time,
}

impl Function {
    /// Counts a request, and keeps what it says of an instance.
    pub(crate) fn count_request(&mut self, request: &IncomingRequest) {
        self.memory_mb = request.memory_mb.clamp(0.0, MAX_MEMORY_MB);
        self.concurrency = (request.concurrency.clamp(1.0, MAX_CONCURRENCY) as u32).max(1);
        self.requests.increment();
    }
}
