//! Jobs: commands for a worker that wait on a connection until they are written.

use crate::model::{FunctionId, Time};
use crate::scheduler::{AttemptId, HealthCheckId, LoadOrderId, RequestPayload};
use std::rc::Rc;

/// A command for the worker at the other end of a connection.
#[derive(Clone, Debug)]
pub enum Job {
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
