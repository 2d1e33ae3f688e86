//! Jobs: commands for a worker that wait on a connection until they are written.

use super::correlation::Exchange;
use crate::model::{FunctionId, Time};
use crate::scheduler::{AttemptId, HealthCheckId, LoadOrderId, RequestPayload};
use std::rc::Rc;

/// A command for the worker at the other end of a connection.
#[derive(Clone, Debug)]
pub(super) enum Job {
    /// Start an attempt.
    Start {
        /// The attempt.
        attempt: AttemptId,
        /// What the attempt carries.
        payload: Rc<RequestPayload>,
        /// When the answer is no longer awaited.
        deadline: Time,
    },
    /// Cancel an attempt.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Load instances of a function.
    Load {
        /// The load order.
        order: LoadOrderId,
        /// The function.
        function: FunctionId,
        /// Number of instances to have loaded.
        instances: u8,
    },
    /// Check the worker's health.
    HealthCheck {
        /// The health check.
        check: HealthCheckId,
        /// When the answer is no longer awaited.
        deadline: Time,
    },
    /// Unload the idle instances of a function.
    Unload {
        /// The function.
        function: FunctionId,
    },
}

impl Job {
    /// The exchange that the command opens; none for commands without an answer.
    pub(super) fn exchange(&self) -> Option<Exchange> {
        match self {
            Job::Start { attempt, .. } => Some(Exchange::Attempt(*attempt)),
            Job::Load { order, .. } => Some(Exchange::LoadOrder(*order)),
            Job::HealthCheck { check, .. } => Some(Exchange::HealthCheck(*check)),
            Job::Cancel { .. } | Job::Unload { .. } => None,
        }
    }

    /// The correlation id of the attempt that the command starts, if it starts one.
    pub(super) fn attempt_correlation_id(&self) -> Option<&str> {
        match self {
            Job::Start { payload, .. } => Some(&payload.correlation_id),
            _ => None,
        }
    }
}
