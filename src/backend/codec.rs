//! The interface that the wire formats of workers implement, and the types that they share.

use crate::model::{FunctionId, Time};
use crate::scheduler::{ReportedMetric, RequestPayload, WorkerResponse};
use serde::Serialize;
use thiserror::Error;

/// The wire format of one kind of worker: encodes commands as lines and decodes lines into messages. It has
/// no state.
///
/// Every encoded line ends with a line feed. [`Codec::decode`] takes a line without it.
pub trait Codec {
    /// Encodes the command that starts an attempt. The command contains the time that remains from `now`
    /// until the response is due at `deadline`.
    fn encode_request(&self, payload: &RequestPayload, now: Time, deadline: Time) -> Vec<u8>;

    /// Encodes the cancellation of the attempt with this correlation id.
    fn encode_cancel(&self, correlation_id: &str) -> Vec<u8>;

    /// Encodes a load order: the worker loads instances of the function until it has at least `instances`.
    fn encode_load(&self, correlation_id: &str, function: FunctionId, instances: u8) -> Vec<u8>;

    /// Encodes the command that unloads the idle instances of a function.
    fn encode_unload(&self, function: FunctionId) -> Vec<u8>;

    /// Encodes a health check with this correlation id.
    fn encode_health_check(&self, correlation_id: &str) -> Vec<u8>;

    /// Decodes one line received from a worker.
    ///
    /// # Errors
    ///
    /// Returns a [`DecodeError`] if the line is not a valid response. The error contains the correlation id
    /// if it could be decoded.
    fn decode(&self, line: &[u8]) -> Result<WorkerMessage, DecodeError>;
}

/// A message received from a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerMessage {
    /// The response to a request or to a load order.
    Response(ResponseMessage),
    /// The response to a health check from a worker that is alive.
    Alive {
        /// The correlation id of the health check.
        correlation_id: String,
    },
}

/// The response to a request or to a load order.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseMessage {
    /// The correlation id of the command.
    pub correlation_id: String,
    /// The outcome of the command.
    pub response: WorkerResponse,
    /// Number of loaded instances, if the response contains it.
    pub instances: Option<u32>,
    /// The metrics of the load report; empty if the response has none.
    pub load_report: Vec<ReportedMetric>,
}

/// An error returned for a line that is not a valid response.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{kind}")]
pub struct DecodeError {
    /// The correlation id of the command that the line responds to, if it could be decoded.
    pub correlation_id: Option<String>,
    /// The reason why the line is not valid.
    pub kind: DecodeErrorKind,
}

impl DecodeError {
    /// Creates an error for a line whose correlation id could not be decoded.
    pub(super) fn without_correlation_id(kind: DecodeErrorKind) -> DecodeError {
        DecodeError {
            correlation_id: None,
            kind,
        }
    }

    /// Creates an error for the response to the command with this correlation id.
    pub(super) fn in_response_to(correlation_id: &str, kind: DecodeErrorKind) -> DecodeError {
        DecodeError {
            correlation_id: Some(correlation_id.to_owned()),
            kind,
        }
    }
}

/// The reason why a line is not a valid response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeErrorKind {
    /// A node agent's line is not JSON, has no verb, or has a field of the wrong type or a duplicate one.
    #[error("not a JSON response")]
    NotAResponse,
    /// A node agent's response has no correlation id.
    #[error("no rid")]
    MissingRid,
    /// The verb of a node agent's response is neither a string nor a number.
    #[error("verb is neither a string nor a number")]
    InvalidVerb,
    /// The verb of a node agent's response is not defined by the protocol.
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
    /// A JSON-RPC message has no id, or an id that is not a string. The scheduler uses only strings as ids.
    #[error("id is missing or not a string")]
    InvalidId,
    /// A JSON-RPC message does not have version 2.0.
    #[error("not JSON-RPC 2.0")]
    WrongVersion,
    /// A JSON-RPC message has neither a result nor an error, or has both.
    #[error("not exactly one of result and error")]
    NoResultOrError,
    /// A JSON-RPC result has a body that is not a string, or neither a body nor a number of instances.
    #[error("no body")]
    MissingBody,
    /// The body of a JSON-RPC result is not valid base64.
    #[error("body is not base64")]
    BodyNotBase64,
    /// A JSON-RPC error has no integer code.
    #[error("error has no integer code")]
    MissingErrorCode,
}

/// Encodes a message as one line of JSON. The keys have the order of the type's fields.
pub(super) fn json_line(message: &impl Serialize) -> Vec<u8> {
    let mut line = serde_json::to_vec(message).expect("messages have text keys and are written to memory");
    line.push(b'\n');
    line
}

/// Returns a function's id as both wire formats encode it: 16 hexadecimal digits.
pub(super) fn function_name(function: FunctionId) -> String {
    format!("{:016x}", function.0)
}

/// Returns the time until a deadline as both wire formats encode it: in milliseconds, rounded up. It is at
/// least 1, because a worker might interpret 0 as no deadline.
pub(super) fn remaining_milliseconds(now: Time, deadline: Time) -> u64 {
    (deadline - now).as_millis_rounded_up().max(1)
}
