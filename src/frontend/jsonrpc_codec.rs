//! JSON-RPC 2.0, one object or batch a line. Pure functions from and to lines.
//!
//! | method | params | result |
//! | --- | --- | --- |
//! | `call` | see [`CallParams`] | `{"body": BASE64}` |
//! | `cancel` | `id` of a call on this connection | none; the call ends with [`ErrorCode::Cancelled`] |
//! | `ready` | none | `{"ready": BOOL}` |
//!
//! Params of `call` are `class`, `function` and `allow_ms`, and the optional `ref`, `key`, `memory_mb`,
//! `lanes`, `load_ms` and `body`. `cancel` is a notification. A `call` notification is ignored: nobody could
//! be told how it ended.

use super::limits::MAX_BODY_BYTES;
use super::request_figures::{load_time, millis_rounded_up, parse_hex_id, response_deadline};
use crate::model::{FunctionId, Span, Time};
use crate::scheduler::{Outcome, RequestParameters, Response};
use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use serde_json::{Map, Value, json};

#[cfg(test)]
mod tests;

/// Requests that one batch may have.
pub const MAX_BATCH_LENGTH: usize = 64;
const VERSION: &str = "2.0";

/// The methods.
mod methods {
    pub(super) const CALL: &str = "call";
    pub(super) const CANCEL: &str = "cancel";
    pub(super) const READY: &str = "ready";
}

/// Codes of errors: the standard's, then this protocol's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(i64)]
pub enum ErrorCode {
    /// The line is not JSON.
    ParseError = -32700,
    /// It is JSON, but no request.
    InvalidRequest = -32600,
    /// There is no such method.
    MethodNotFound = -32601,
    /// The params can't be used.
    InvalidParams = -32602,
    /// Not done, and a retry is harmless after `data.cooldown_ms`.
    Rejected = -32001,
    /// Failed; nothing is promised.
    Failed = -32002,
    /// The call's time is up; `data.outcome` is `refused` (a retry is harmless) or `failed`.
    DeadlineExceeded = -32003,
    /// The client has cancelled the call.
    Cancelled = -32004,
}

/// Why a line, or a request in it, can't be carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The line is not JSON.
    #[error("not JSON")]
    NotJson,
    /// The connection ended, or too much time has passed, within a line.
    #[error("the line has no end")]
    IncompleteLine,
    /// The line is longer than the operator allows.
    #[error("line too long")]
    LineTooLong,
    /// A batch has no requests.
    #[error("an empty batch")]
    EmptyBatch,
    /// A batch has more than [`MAX_BATCH_LENGTH`] requests.
    #[error("too large a batch")]
    BatchTooLarge,
    /// A request is not a JSON object.
    #[error("not an object")]
    NotAnObject,
    /// A request's id has a type that ids may not have.
    #[error("id is neither text, a number nor null")]
    InvalidId,
    /// A request does not say that it is JSON-RPC 2.0.
    #[error("not JSON-RPC 2.0")]
    UnknownVersion,
    /// A request names no method.
    #[error("no method")]
    MissingMethod,
    /// A request's params have a type that params may not have.
    #[error("params are neither an object nor an array")]
    InvalidParamsType,
    /// `cancel` was sent with an id.
    #[error("cancel is a notification")]
    CancelWithId,
    /// A call of this id is open on the connection.
    #[error("id is in use")]
    IdInUse,
    /// There is no method of this name.
    #[error("no such method")]
    UnknownMethod,
    /// A call's params can't be used.
    #[error(transparent)]
    Params(#[from] ParamsError),
}

impl RequestError {
    /// The code that the client is told.
    pub fn code(self) -> ErrorCode {
        match self {
            RequestError::NotJson | RequestError::IncompleteLine => ErrorCode::ParseError,
            RequestError::UnknownMethod => ErrorCode::MethodNotFound,
            RequestError::Params(_) => ErrorCode::InvalidParams,
            RequestError::LineTooLong
            | RequestError::EmptyBatch
            | RequestError::BatchTooLarge
            | RequestError::NotAnObject
            | RequestError::InvalidId
            | RequestError::UnknownVersion
            | RequestError::MissingMethod
            | RequestError::InvalidParamsType
            | RequestError::CancelWithId
            | RequestError::IdInUse => ErrorCode::InvalidRequest,
        }
    }
}

/// Why the params of a call can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParamsError {
    /// They are an array.
    #[error("params are by name here")]
    Positional,
    /// One is missing.
    #[error("no {0}")]
    Missing(&'static str),
    /// One is not text.
    #[error("{0} is not text")]
    NotText(&'static str),
    /// One is not an id.
    #[error("{0} is not 16 hex digits")]
    NotAnId(&'static str),
    /// One is missing or not a whole number.
    #[error("{0} is no whole number")]
    NotWholeNumber(&'static str),
    /// One is not a number of zero or more.
    #[error("odd {0}")]
    InvalidFigure(&'static str),
    /// The body is not in base64.
    #[error("body is not base64")]
    BodyNotBase64,
    /// The body is longer than a request's may be.
    #[error("body too large")]
    BodyTooLarge,
}

/// A request of a line.
#[derive(Debug, PartialEq)]
pub enum Request {
    /// It can't be carried out and gets an error under this id, null where it has none.
    Invalid {
        /// The id that the request has, or null.
        id: Value,
        /// What is wrong with it.
        error: RequestError,
    },
    /// A notification that asks for nothing.
    Ignored,
    /// A call.
    Call {
        /// The id of its response.
        id: Value,
        /// What is called.
        params: Box<CallParams>,
    },
    /// The call of this id is no longer waited for.
    Cancel {
        /// The call's id.
        call: Value,
    },
    /// Whether the scheduler is ready.
    Ready {
        /// The id of the response.
        id: Value,
    },
}

impl Request {
    fn invalid(id: Value, error: impl Into<RequestError>) -> Request {
        Request::Invalid { id, error: error.into() }
    }

    /// Whether the request gets a response of its own.
    pub fn has_response(&self) -> bool {
        !matches!(self, Request::Ignored | Request::Cancel { .. })
    }
}

/// What a call asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct CallParams {
    /// Name of the request class.
    pub class: String,
    /// The requested function.
    pub function: FunctionId,
    /// How long the client waits, in milliseconds.
    pub allowed_millis: u64,
    /// The client's own id for the request, 16 hex digits.
    pub correlation_id: Option<String>,
    /// Idempotency key, in keyed classes.
    pub key: Option<String>,
    /// Memory of one loaded instance, in MB.
    pub memory_mb: f64,
    /// Requests that one instance runs at a time.
    pub concurrency: f64,
    /// Usual time to load the function, where known.
    pub load_time: Option<Span>,
    /// The body.
    pub body: Vec<u8>,
}

impl CallParams {
    /// The request's parameters, if the call came at `now`.
    pub fn into_request_parameters(self, now: Time) -> RequestParameters {
        RequestParameters {
            class: self.class,
            function: self.function,
            key: self.key,
            memory_mb: self.memory_mb,
            concurrency: self.concurrency,
            load_time: self.load_time,
            deadline: response_deadline(now, self.allowed_millis),
            body: self.body,
        }
    }
}

/// What a line holds.
#[derive(Debug, PartialEq)]
pub enum Message {
    /// One request.
    Single(Request),
    /// A batch, whose responses go out in one line.
    Batch(Vec<Request>),
}

/// Reads a line. What can't be read is an [`Request::Invalid`], as its sender is to be told of it.
pub fn decode_line(line: &[u8]) -> Message {
    let Ok(value) = serde_json::from_slice(line) else {
        return Message::Single(Request::invalid(Value::Null, RequestError::NotJson));
    };
    let Value::Array(batch) = value else {
        return Message::Single(decode_request(value));
    };
    if batch.is_empty() {
        return Message::Single(Request::invalid(Value::Null, RequestError::EmptyBatch));
    }
    if batch.len() > MAX_BATCH_LENGTH {
        return Message::Single(Request::invalid(Value::Null, RequestError::BatchTooLarge));
    }
    Message::Batch(batch.into_iter().map(decode_request).collect())
}

fn decode_request(value: Value) -> Request {
    let Value::Object(mut object) = value else {
        return Request::invalid(Value::Null, RequestError::NotAnObject);
    };
    let id = object.remove("id");
    if matches!(id, Some(Value::Array(_) | Value::Object(_) | Value::Bool(_))) {
        return Request::invalid(Value::Null, RequestError::InvalidId);
    }
    match (decode_invocation(&object), id) {
        (Ok(invocation), Some(id)) => decode_call(invocation, id),
        (Ok(invocation), None) => decode_notification(invocation),
        (Err(error), id) => Request::invalid(id.unwrap_or_default(), error),
    }
}

/// A request's method and its params by name.
struct Invocation<'a> {
    method: &'a str,
    /// None where there are none. Whether positional params are an error is up to the method.
    params: Result<Option<&'a Map<String, Value>>, ParamsError>,
}

fn decode_invocation(object: &Map<String, Value>) -> Result<Invocation<'_>, RequestError> {
    if object.get("jsonrpc").and_then(Value::as_str) != Some(VERSION) {
        return Err(RequestError::UnknownVersion);
    }
    let method = object.get("method").and_then(Value::as_str);
    let method = method.ok_or(RequestError::MissingMethod)?;
    let params = match object.get("params") {
        None => Ok(None),
        Some(Value::Object(params)) => Ok(Some(params)),
        Some(Value::Array(_)) => Err(ParamsError::Positional),
        Some(_) => return Err(RequestError::InvalidParamsType),
    };
    Ok(Invocation { method, params })
}

/// Reads a request without an id. One that can't be used gets no error either.
fn decode_notification(invocation: Invocation) -> Request {
    let params = invocation.params.ok().flatten();
    let call = params.and_then(|params| params.get("id"));
    match (invocation.method, call) {
        (methods::CANCEL, Some(call)) => Request::Cancel { call: call.clone() },
        _ => Request::Ignored,
    }
}

fn decode_call(invocation: Invocation, id: Value) -> Request {
    match invocation.method {
        methods::CALL => {}
        methods::CANCEL => return Request::invalid(id, RequestError::CancelWithId),
        methods::READY => return Request::Ready { id },
        _ => return Request::invalid(id, RequestError::UnknownMethod),
    }
    let no_params = Map::new();
    let params = invocation.params.map(|params| params.unwrap_or(&no_params));
    match params.and_then(decode_call_params) {
        Err(error) => Request::invalid(id, error),
        Ok(params) => Request::Call { id, params: Box::new(params) },
    }
}

fn decode_call_params(params: &Map<String, Value>) -> Result<CallParams, ParamsError> {
    let function = required_text(params, "function")?;
    let correlation_id = text(params, "ref")?;
    if let Some(correlation_id) = &correlation_id {
        hex_id(correlation_id, "ref")?;
    }
    let body = decode_body(text(params, "body")?.unwrap_or_default())?;
    Ok(CallParams {
        class: required_text(params, "class")?,
        function: FunctionId(hex_id(&function, "function")?),
        allowed_millis: whole_number(params, "allow_ms")?,
        correlation_id,
        key: text(params, "key")?,
        memory_mb: figure(params, "memory_mb", 0.0)?,
        concurrency: figure(params, "lanes", 1.0)?,
        load_time: load_time(figure(params, "load_ms", 0.0)?),
        body,
    })
}

fn text(params: &Map<String, Value>, name: &'static str) -> Result<Option<String>, ParamsError> {
    match params.get(name) {
        None => Ok(None),
        Some(Value::String(text)) => Ok(Some(text.clone())),
        Some(_) => Err(ParamsError::NotText(name)),
    }
}

fn required_text(params: &Map<String, Value>, name: &'static str) -> Result<String, ParamsError> {
    text(params, name)?.ok_or(ParamsError::Missing(name))
}

fn hex_id(text: &str, name: &'static str) -> Result<u64, ParamsError> {
    parse_hex_id(text).ok_or(ParamsError::NotAnId(name))
}

fn whole_number(params: &Map<String, Value>, name: &'static str) -> Result<u64, ParamsError> {
    let number = params.get(name).and_then(Value::as_u64);
    number.ok_or(ParamsError::NotWholeNumber(name))
}

/// A finite number of zero or more.
fn figure(params: &Map<String, Value>, name: &'static str, default: f64) -> Result<f64, ParamsError> {
    let Some(value) = params.get(name) else {
        return Ok(default);
    };
    let figure = value.as_f64().filter(|figure| figure.is_finite() && *figure >= 0.0);
    figure.ok_or(ParamsError::InvalidFigure(name))
}

fn decode_body(base64: String) -> Result<Vec<u8>, ParamsError> {
    let body = BASE64.decode(base64).map_err(|_| ParamsError::BodyNotBase64)?;
    if body.len() > MAX_BODY_BYTES {
        return Err(ParamsError::BodyTooLarge);
    }
    Ok(body)
}

/// The response that tells how a call has ended.
pub fn encode_response(id: &Value, response: &Response) -> Value {
    match &response.outcome {
        Outcome::Served(body) => encode_result(id, json!({"body": BASE64.encode(body)})),
        Outcome::Rejected { retry_after } => encode_rejected(id, *retry_after, response.expired),
        Outcome::Failed if response.expired => encode_deadline_exceeded(id, json!({"outcome": "failed"})),
        Outcome::Failed => encode_error_object(id, ErrorCode::Failed, "failed", None),
    }
}

fn encode_rejected(id: &Value, retry_after: Span, expired: bool) -> Value {
    let millis = millis_rounded_up(retry_after);
    if expired {
        return encode_deadline_exceeded(id, json!({"outcome": "refused", "cooldown_ms": millis}));
    }
    let data = json!({"cooldown_ms": millis});
    encode_error_object(id, ErrorCode::Rejected, "refused", Some(data))
}

fn encode_deadline_exceeded(id: &Value, data: Value) -> Value {
    encode_error_object(id, ErrorCode::DeadlineExceeded, "deadline passed", Some(data))
}

/// The response to a question whether the scheduler is ready.
pub fn encode_readiness(id: &Value, ready: bool) -> Value {
    encode_result(id, json!({"ready": ready}))
}

/// The response to a call that its client has cancelled.
pub fn encode_cancelled(id: &Value) -> Value {
    encode_error_object(id, ErrorCode::Cancelled, "cancelled", None)
}

/// The response to a request that can't be carried out.
pub fn encode_error(id: &Value, error: RequestError) -> Value {
    encode_error_object(id, error.code(), &error.to_string(), None)
}

fn encode_result(id: &Value, result: Value) -> Value {
    json!({"jsonrpc": VERSION, "id": id, "result": result})
}

fn encode_error_object(id: &Value, code: ErrorCode, message: &str, data: Option<Value>) -> Value {
    let mut error = json!({"code": code as i64, "message": message});
    if let Some(data) = data {
        error["data"] = data;
    }
    json!({"jsonrpc": VERSION, "id": id, "error": error})
}
