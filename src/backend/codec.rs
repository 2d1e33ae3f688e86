//! What every wire format of a worker provides: lines for commands, and messages read from lines.

use crate::model::{FunctionId, Time};
use crate::scheduler::{ReportedMetric, RequestPayload, WorkerResponse};
use serde::Serialize;
use thiserror::Error;

/// The wire format of one kind of worker: pure functions from commands to lines and from lines to messages.
///
/// Every encoded line ends with its line feed; [`Codec::decode`] gets lines without it.
pub trait Codec {
    /// Encodes the command that starts an attempt at `now`, whose response is awaited until `deadline`.
    fn encode_request(&self, payload: &RequestPayload, now: Time, deadline: Time) -> Vec<u8>;

    /// Encodes the cancellation of the attempt that was sent under this correlation id.
    fn encode_cancel(&self, correlation_id: &str) -> Vec<u8>;

    /// Encodes a load order: at least `instances` instances of a function are to be loaded.
    fn encode_load(&self, correlation_id: &str, function: FunctionId, instances: u8) -> Vec<u8>;

    /// Encodes the command to unload the idle instances of a function.
    fn encode_unload(&self, function: FunctionId) -> Vec<u8>;

    /// Encodes a health check under this correlation id.
    fn encode_health_check(&self, correlation_id: &str) -> Vec<u8>;

    /// Decodes one line of a worker.
    ///
    /// # Errors
    ///
    /// A [`DecodeError`] for a line that is no valid response. It names the command that the line belongs to,
    /// if that much could be read.
    fn decode(&self, line: &[u8]) -> Result<WorkerMessage, DecodeError>;
}

/// A decoded line of a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerMessage {
    /// The response to a request or to a load order.
    Response(ResponseMessage),
    /// The response to a health check.
    Alive {
        /// The correlation id under which the health check was sent.
        correlation_id: String,
    },
}

/// The response to a request or to a load order.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseMessage {
    /// The correlation id under which the command was sent.
    pub correlation_id: String,
    /// The outcome of the command.
    pub response: WorkerResponse,
    /// Number of loaded instances, where the response gives it.
    pub instances: Option<u32>,
    /// The values of the load report; empty if the response has no load report.
    pub load_report: Vec<ReportedMetric>,
}

/// A line that is no valid response.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{kind}")]
pub struct DecodeError {
    /// The correlation id of the command that the line belongs to, if it could be read.
    pub correlation_id: Option<String>,
    /// What is wrong with the line.
    pub kind: DecodeErrorKind,
}

impl DecodeError {
    /// An error in a line whose correlation id could not be read.
    pub(super) fn without_correlation_id(kind: DecodeErrorKind) -> DecodeError {
        DecodeError {
            correlation_id: None,
            kind,
        }
    }

    /// An error in the response to the command with this correlation id.
    pub(super) fn in_response_to(correlation_id: &str, kind: DecodeErrorKind) -> DecodeError {
        DecodeError {
            correlation_id: Some(correlation_id.to_owned()),
            kind,
        }
    }
}

/// What is wrong with a line that is no valid response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeErrorKind {
    /// A node agent's line is not a JSON object with a verb.
    #[error("not a JSON response")]
    NotAResponse,
    /// A node agent's response has no correlation id.
    #[error("no rid")]
    MissingRid,
    /// The verb of a node agent's response is neither text nor a number.
    #[error("no verb")]
    InvalidVerb,
    /// The verb of a node agent's response is not one that the protocol defines.
    #[error("unknown verb")]
    UnknownVerb,
    /// The content of a node agent's response is not valid base64.
    #[error("content is not base64")]
    ContentNotBase64,
    /// A JSON-RPC worker's line is not JSON.
    #[error("not JSON")]
    NotJson,
    /// A JSON-RPC worker's line is JSON, but not an object.
    #[error("not an object")]
    NotAnObject,
    /// A JSON-RPC message has no id, or one of a type that the scheduler never uses.
    #[error("no id of ours")]
    InvalidId,
    /// A JSON-RPC message does not name version 2.0.
    #[error("not JSON-RPC 2.0")]
    WrongVersion,
    /// A JSON-RPC message has neither a result nor an error, or both.
    #[error("neither a result nor an error")]
    NoResultOrError,
    /// A JSON-RPC result has neither a body nor a number of instances.
    #[error("no body")]
    MissingBody,
    /// The body of a JSON-RPC result is not valid base64.
    #[error("body is not base64")]
    BodyNotBase64,
    /// A JSON-RPC error has no numeric code.
    #[error("an error without a code")]
    MissingErrorCode,
}

/// Encodes a message as one line of JSON. Keys keep the order of the type's fields.
pub(super) fn json_line(message: &impl Serialize) -> Vec<u8> {
    let mut line = serde_json::to_vec(message).expect("messages have text keys and are written to memory");
    line.push(b'\n');
    line
}

/// A function's id as the wires write it: 16 hexadecimal digits.
pub(super) fn function_name(function: FunctionId) -> String {
    format!("{:016x}", function.0)
}

/// The time until a deadline as the wires give it, in milliseconds rounded up. It is at least 1, because a
/// worker could read 0 as no deadline.
pub(super) fn remaining_milliseconds(now: Time, deadline: Time) -> u64 {
    (deadline - now).as_millis_rounded_up().max(1)
}
