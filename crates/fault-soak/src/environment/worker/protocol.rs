//! The node agent side of the line protocol between schedulers and node agents.
//!
//! The module shares no code with the scheduler's codec, so that a bug in that codec shows up in a run.

use crate::request::RequestId;
use serde_json::{Value, json};
use std::time::Duration;

/// The correlation id of a command, which its response repeats.
pub(super) type CorrelationId = Value;

/// A command that a scheduler sends.
#[derive(Debug)]
pub(super) enum Command {
    Run(RunCommand),
    /// A load order for a number of replicas of a function. With 0 replicas it is a query and loads nothing.
    Load {
        id: CorrelationId,
        replicas: Value,
    },
    HealthCheck {
        id: CorrelationId,
    },
    /// A command that gets no response.
    Other,
}

/// A command to execute an attempt of a request.
#[derive(Debug)]
pub(super) struct RunCommand {
    pub(super) request: RequestId,
    pub(super) time_limit: Duration,
    id: CorrelationId,
    content: Value,
}

/// The status of a response to a [`RunCommand`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Status {
    Ok,
    /// The function is not loaded.
    NotLoaded,
    /// The worker has no free capacity.
    AtCapacity,
    /// The execution failed.
    Failed,
    /// The time limit passed before the execution started.
    Expired,
}

impl Command {
    /// Parses a command line.
    ///
    /// Returns an error if the line is not valid JSON, and [`Command::Other`] for an unknown or incomplete
    /// command.
    pub(super) fn parse(line: &str) -> serde_json::Result<Command> {
        let command: Value = serde_json::from_str(line)?;
        let id = command["rid"].clone();
        Ok(match command["verb"].as_str() {
            Some("go") => RunCommand::parse(&command, id).map_or(Command::Other, Command::Run),
            Some("stage") => Command::Load {
                id,
                replicas: command["attrs"]["replicas"].clone(),
            },
            Some("ping" | "stat") => Command::HealthCheck { id },
            _ => Command::Other,
        })
    }
}

impl RunCommand {
    fn parse(command: &Value, id: CorrelationId) -> Option<RunCommand> {
        let request = u64::from_str_radix(id.as_str()?, 16).ok()?;
        let time_limit_ms = command["attrs"]["ttl"].as_u64().unwrap_or(u64::MAX);
        Some(RunCommand {
            request: RequestId(request),
            time_limit: Duration::from_millis(time_limit_ms),
            id,
            content: command["content"].clone(),
        })
    }
}

impl Status {
    /// Returns a random status other than `Ok`.
    pub(super) fn random_error() -> Status {
        let errors = [
            Status::NotLoaded,
            Status::AtCapacity,
            Status::Failed,
            Status::Expired,
        ];
        errors[fastrand::usize(..errors.len())]
    }

    /// Returns whether the request may have had an effect.
    pub(super) fn is_executed(self) -> bool {
        matches!(self, Status::Ok | Status::Failed)
    }

    fn verb(self) -> &'static str {
        match self {
            Status::Ok => "200",
            Status::NotLoaded => "404",
            Status::AtCapacity => "503",
            Status::Failed => "500",
            Status::Expired => "504",
        }
    }
}

/// Returns the response to a command to execute an attempt. A successful response repeats the content of the
/// command.
pub(super) fn run_response(run: &RunCommand, status: Status) -> Value {
    let mut response = json!({"verb": status.verb(), "rid": run.id});
    if status == Status::Ok {
        response["content"] = run.content.clone();
    }
    response
}

/// Returns the response to a load order that the worker accepts.
pub(super) fn load_response(id: &CorrelationId, replicas: &Value) -> Value {
    json!({"verb": "200", "rid": id, "attrs": {"replicas": replicas}})
}

/// Returns the response to a load order that a draining worker rejects.
pub(super) fn load_rejection(id: &CorrelationId) -> Value {
    json!({"verb": Status::AtCapacity.verb(), "rid": id, "attrs": {"replicas": 0}})
}

/// Returns the response to a health check.
pub(super) fn health_check_response(id: &CorrelationId) -> Value {
    json!({"verb": "alive", "rid": id})
}

/// Returns a random line that is not valid JSON, is not valid UTF-8, or has no correlation id.
pub(super) fn random_corrupt_line() -> &'static [u8] {
    let lines: [&[u8]; 3] = [b"{\"verb\":\n", b"\xff\xfe noise\n", b"{\"verb\":\"200\"}\n"];
    lines[fastrand::usize(..lines.len())]
}
