//! The table of health checks that have not ended.

use super::HealthCheckId;
use crate::model::{Span, Time, WorkerId};
use std::collections::BTreeMap;

/// Timeout of a health check: the simulator's limit, plus the 50 ms by which every time limit is longer on
/// sockets.
const HEALTH_CHECK_TIMEOUT: Span = Span::from_millis(300);

/// A health check that has not ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct HealthCheck {
    /// Worker that is checked.
    pub(super) worker: WorkerId,
    /// When the health check times out.
    pub(super) deadline: Time,
}

impl HealthCheck {
    /// Creates a health check that starts now.
    pub(super) fn new(worker: WorkerId, now: Time) -> HealthCheck {
        HealthCheck {
            worker,
            deadline: now + HEALTH_CHECK_TIMEOUT,
        }
    }
}

/// The health checks that have not ended.
#[derive(Debug, Default)]
pub(super) struct HealthCheckTable {
    checks: BTreeMap<HealthCheckId, HealthCheck>,
}

impl HealthCheckTable {
    /// Adds a health check.
    pub(super) fn insert(&mut self, id: HealthCheckId, check: HealthCheck) {
        self.checks.insert(id, check);
    }

    /// Removes a health check that has ended.
    pub(super) fn remove(&mut self, id: HealthCheckId) -> Option<HealthCheck> {
        self.checks.remove(&id)
    }
}
