//! What the scheduler asks of the event loop round it.

use super::{AttemptId, HealthCheckId, LoadOrderId, RequestOrigin, RequestPayload, Response};
use crate::model::{FunctionId, Time, WorkerId};
use std::rc::Rc;

/// A command to the front ends or the back end. Commands are to be carried out in their order.
#[derive(Clone, Debug)]
pub enum Command {
    /// Give a client the final response to its request.
    Respond {
        /// Where the request came from.
        origin: RequestOrigin,
        /// The response.
        response: Response,
    },
    /// Start an attempt.
    Send {
        /// The attempt.
        attempt: AttemptId,
        /// The worker it goes to.
        worker: WorkerId,
        /// What it carries.
        payload: Rc<RequestPayload>,
        /// When its response is no longer waited for.
        deadline: Time,
    },
    /// Cancel an attempt.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// The worker it went to.
        worker: WorkerId,
    },
    /// Order a worker to load a function.
    Load {
        /// The load order.
        order: LoadOrderId,
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// How many instances are to be loaded at least; 0 only asks how many are.
        instances: u8,
    },
    /// Ask a worker whether it is alive.
    HealthCheck {
        /// The health check.
        check: HealthCheckId,
        /// The worker.
        worker: WorkerId,
        /// When its response is no longer waited for.
        deadline: Time,
    },
    /// Order a worker to unload a function's idle instances.
    Unload {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
    },
}
