//! Commands for a worker, as its connections take them.

use super::correlation::Exchange;
use crate::model::{FunctionId, Time, WorkerId};
use crate::scheduler::{AttemptId, Command, HealthCheckId, LoadOrderId, RequestPayload};
use std::rc::Rc;

/// A command for the worker at the other end of a connection, on which it waits until it is written.
///
/// It marks the border between the pool, which knows which worker a [`Command`] of the scheduler goes to, and a
/// connection, which has but one worker and never sees the commands to frontends. What a connection keeps of a command
/// after that is its [`Exchange`].
#[derive(Clone, Debug)]
pub(super) enum WorkerCommand {
    /// Start an attempt.
    Send {
        /// The attempt.
        attempt: AttemptId,
        /// What the attempt carries.
        payload: Rc<RequestPayload>,
        /// When the response is no longer awaited.
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
        /// When the response is no longer awaited.
        deadline: Time,
    },
    /// Unload the idle instances of a function.
    Unload {
        /// The function.
        function: FunctionId,
    },
}

/// A command for a worker, and which worker that is.
#[derive(Clone, Debug)]
pub(super) struct AddressedCommand {
    pub(super) worker: WorkerId,
    pub(super) command: WorkerCommand,
}

impl AddressedCommand {
    /// The part of a scheduler's command that its worker gets; none for a command to a frontend.
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
            } => (
                worker,
                WorkerCommand::Load {
                    order,
                    function,
                    instances,
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
    /// The exchange that the command opens; none for commands without a response.
    pub(super) fn exchange(&self) -> Option<Exchange> {
        match self {
            WorkerCommand::Send { attempt, .. } => Some(Exchange::Attempt(*attempt)),
            WorkerCommand::Load { order, .. } => Some(Exchange::LoadOrder(*order)),
            WorkerCommand::HealthCheck { check, .. } => Some(Exchange::HealthCheck(*check)),
            WorkerCommand::Cancel { .. } | WorkerCommand::Unload { .. } => None,
        }
    }

    /// The correlation id of the attempt that the command starts, if it starts one.
    pub(super) fn attempt_correlation_id(&self) -> Option<&str> {
        match self {
            WorkerCommand::Send { payload, .. } => Some(&payload.correlation_id),
            _ => None,
        }
    }
}
