//! Commands that the scheduler gives to the event loop.

use super::{AttemptId, HealthCheckId, LoadOrderId, RequestOrigin, RequestPayload, Response};
use crate::model::{FunctionId, Time, WorkerId};
use std::rc::Rc;

/// A command to a frontend or to the backend, to be executed in order.
///
/// Commands are the interface between the scheduler, which has no sockets, and the event loop. Four other
/// types represent the same work in other layers:
///
/// - An [`Action`](crate::model::Action) is the interface between the policy and the scheduler. It names a
///   request and a worker, and the scheduler adds what the policy does not know, such as the body and the
///   attempt's number.
/// - An attempt, load order or health check is the scheduler's record of the work that a command starts. It
///   begins with the command and ends with the worker's response, a failure or a timer. Scheduler and event
///   loop both identify it by its [`AttemptId`], [`LoadOrderId`] or [`HealthCheckId`].
/// - A worker command is the interface between the backend's pool, which chooses a connection, and that
///   connection: the same command without the worker.
/// - An exchange is the backend's record of the work on one connection: a command that was written or is
///   queued, and the response that it awaits.
#[derive(Clone, Debug)]
pub enum Command {
    /// Gives a client the final response to its request.
    Respond {
        /// The connection and stream that the request came from.
        origin: RequestOrigin,
        /// Final response to send to the client.
        response: Response,
    },
    /// Starts an attempt.
    Send {
        /// Attempt to start.
        attempt: AttemptId,
        /// The worker that the attempt is sent to.
        worker: WorkerId,
        /// The content of the request.
        payload: Rc<RequestPayload>,
        /// When the command times out.
        deadline: Time,
    },
    /// Cancels an attempt.
    Cancel {
        /// Attempt to cancel.
        attempt: AttemptId,
        /// The worker that the attempt was sent to.
        worker: WorkerId,
    },
    /// Orders a worker to load a function.
    Load {
        /// Load order that the command carries out.
        order: LoadOrderId,
        /// Worker that receives the load order.
        worker: WorkerId,
        /// Function to load.
        function: FunctionId,
        /// Minimum number of loaded instances; 0 only queries how many are loaded.
        instances: u8,
        /// When the command times out.
        deadline: Time,
    },
    /// Checks whether a worker is alive.
    HealthCheck {
        /// Health check to carry out.
        check: HealthCheckId,
        /// Worker to check.
        worker: WorkerId,
        /// When the command times out.
        deadline: Time,
    },
    /// Orders a worker to unload a function's idle instances.
    Unload {
        /// Worker that unloads the instances.
        worker: WorkerId,
        /// Function whose idle instances are unloaded.
        function: FunctionId,
    },
}
