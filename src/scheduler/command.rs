//! Commands: what the scheduler has the event loop do.

use super::{AttemptId, HealthCheckId, LoadOrderId, RequestOrigin, RequestPayload, Response};
use crate::model::{FunctionId, Time, WorkerId};
use std::rc::Rc;

/// A command to a frontend or to the backend, to be executed in order.
///
/// It marks the border between the scheduler, which has no sockets, and the event loop. Four more types stand for the
/// same work on its way, each at a border of its own:
///
/// - An [`Action`](crate::model::Action) marks the border before this one, between the policy and its host: it names a
///   request and a worker, and the scheduler adds what the policy does not know, such as the body and the attempt's
///   number.
/// - The attempt, load order or health check that a command starts is the scheduler's record of it. It begins with the
///   command, ends with the worker's response, a failure or a timer, and is named by [`AttemptId`], [`LoadOrderId`] or
///   [`HealthCheckId`] on both sides of this border.
/// - A worker command of the backend marks the border between its pool, which chooses a connection, and that
///   connection: it is this command without its worker.
/// - An exchange is the backend's record of the same work on one connection: a command that was written, or waits to
///   be, and the response that it is owed.
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
