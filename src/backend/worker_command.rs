//! Commands for a single worker.

use super::correlation::Exchange;
use crate::model::{FunctionId, Time, WorkerId};
use crate::scheduler::{AttemptId, Command, HealthCheckId, LoadOrderId, RequestPayload};
use std::rc::Rc;

/// A command for the worker at the other end of a connection.
///
/// The pool converts each [`Command`] of the scheduler that is for a worker into this type. It leaves out the
/// worker's id, because a connection has only one worker, and has no variant for responses to frontends. A
/// command waits in the connection's queue until it is written; afterwards the connection keeps only its
/// [`Exchange`].
#[derive(Clone, Debug)]
pub(super) enum WorkerCommand {
    /// Start an attempt.
    Send {
        /// Attempt to start.
        attempt: AttemptId,
        /// The request that the attempt sends.
        payload: Rc<RequestPayload>,
        /// Time by which the response is due.
        deadline: Time,
    },
    /// Cancel an attempt.
    Cancel {
        /// Attempt to cancel.
        attempt: AttemptId,
    },
    /// Load instances of a function.
    Load {
        /// Load order that the command carries out.
        order: LoadOrderId,
        /// Function to load.
        function: FunctionId,
        /// Minimum number of loaded instances that the worker is to have.
        instances: u8,
        /// Time by which the response is due.
        deadline: Time,
    },
    /// Check the worker's health.
    HealthCheck {
        /// Health check to carry out.
        check: HealthCheckId,
        /// Time by which the response is due.
        deadline: Time,
    },
    /// Unload the idle instances of a function.
    Unload {
        /// Function whose idle instances the worker unloads.
        function: FunctionId,
    },
}

/// A command and the worker that it is for.
#[derive(Clone, Debug)]
pub(super) struct AddressedCommand {
    pub(super) worker: WorkerId,
    pub(super) command: WorkerCommand,
}

impl AddressedCommand {
    /// Converts a command of the scheduler; returns `None` if it is not for a worker.
    pub(super) fn from_scheduler(command: Command) -> Option<AddressedCommand> {
        let (worker, command) = match command {
            Command::Send {
                attempt,
                worker,
                payload,
                deadline,
            } => (
                worker,
                WorkerCommand::Send {
                    attempt,
                    payload,
                    deadline,
                },
            ),
            Command::Cancel { attempt, worker } => (worker, WorkerCommand::Cancel { attempt }),
            Command::Load {
                order,
                worker,
                function,
                instances,
                deadline,
            } => (
                worker,
                WorkerCommand::Load {
                    order,
                    function,
                    instances,
                    deadline,
                },
            ),
            Command::HealthCheck {
                check,
                worker,
                deadline,
            } => (worker, WorkerCommand::HealthCheck { check, deadline }),
            Command::Unload { worker, function } => (worker, WorkerCommand::Unload { function }),
            Command::Respond { .. } => return None,
        };
        Some(AddressedCommand { worker, command })
    }
}

impl WorkerCommand {
    /// Returns the exchange that the command opens, or `None` if the command gets no response.
    pub(super) fn exchange(&self) -> Option<Exchange> {
        match self {
            WorkerCommand::Send { attempt, .. } => Some(Exchange::Attempt(*attempt)),
            WorkerCommand::Load { order, .. } => Some(Exchange::LoadOrder(*order)),
            WorkerCommand::HealthCheck { check, .. } => Some(Exchange::HealthCheck(*check)),
            WorkerCommand::Cancel { .. } | WorkerCommand::Unload { .. } => None,
        }
    }

    /// Returns the correlation id of the attempt that the command starts, or `None` for other commands.
    pub(super) fn attempt_correlation_id(&self) -> Option<&str> {
        match self {
            WorkerCommand::Send { payload, .. } => Some(&payload.correlation_id),
            _ => None,
        }
    }
}
