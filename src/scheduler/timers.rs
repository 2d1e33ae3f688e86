//! The scheduler's timers.

use super::{AttemptId, HealthCheckId, LoadOrderId};
use crate::model::RequestId;

/// What a timer is for. Timers of the same expiry fire in the order of these variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The policy asked to be called again.
    Policy,
    /// The policy should have ended this request by now.
    Request(RequestId),
    /// This attempt has run out of time.
    Attempt(AttemptId),
    /// This load order has run out of time.
    LoadOrder(LoadOrderId),
    /// This health check has run out of time.
    HealthCheck(HealthCheckId),
}
