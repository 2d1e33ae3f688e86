//! Decoding of the lines that clients send.

use super::{ParamsError, RequestError, VERSION};
use crate::frontend::conversions::{load_time, parse_hex_id, response_deadline};
use crate::frontend::limits::MAX_BODY_BYTES;
use crate::model::{FunctionId, Span, Time};
use crate::scheduler::RequestParameters;
use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use serde_json::{Map, Value};

/// Maximum number of requests in a batch.
pub const MAX_BATCH_LENGTH: usize = 64;

/// The names of the methods.
mod methods {
    pub(super) const CALL: &str = "call";
    pub(super) const CANCEL: &str = "cancel";
    pub(super) const READY: &str = "ready";
}

/// A decoded request.
#[derive(Debug, PartialEq)]
pub enum Request {
    /// An invalid request, which is answered with an error.
    Invalid {
        /// The id of the request, or null if it has no valid id.
        id: Value,
        /// The reason why the request is invalid.
        error: RequestError,
    },
    /// A notification that has no effect.
    Ignored,
    /// A call.
    Call {
        /// The id of the call and of its response.
        id: Value,
        /// The params of the call.
        params: Box<CallParams>,
    },
    /// A notification that the client no longer waits for a call.
    Cancel {
        /// The id of the call to cancel.
        call: Value,
    },
    /// A question whether the scheduler is ready.
    Ready {
        /// The id of the request and of its response.
        id: Value,
    },
}

impl Request {
    fn invalid(id: Value, error: impl Into<RequestError>) -> Request {
        Request::Invalid {
            id,
            error: error.into(),
        }
    }

    /// Returns whether the request is answered with a response of its own.
    pub fn has_response(&self) -> bool {
        !matches!(self, Request::Ignored | Request::Cancel { .. })
    }
}

/// The params of a call.
#[derive(Clone, Debug, PartialEq)]
pub struct CallParams {
    /// The name of the request class.
    pub class: String,
    /// The requested function.
    pub function: FunctionId,
    /// How long the client waits for the response, in milliseconds.
    pub timeout_millis: u64,
    /// The client's id for the request, 16 hexadecimal digits.
    pub correlation_id: Option<String>,
    /// The idempotency key, in keyed classes.
    pub key: Option<String>,
    /// The memory of one loaded instance, in MB.
    pub memory_mb: f64,
    /// The number of requests that one instance runs at a time.
    pub concurrency: f64,
    /// The typical time to load the function, if known.
    pub load_time: Option<Span>,
    /// The request body, decoded from base64; empty if the call has none.
    pub body: Vec<u8>,
}

impl CallParams {
    /// Converts the params of a call received at `now` to the parameters of a request.
    pub fn into_request_parameters(self, now: Time) -> RequestParameters {
        RequestParameters {
            class: self.class,
            function: self.function,
            key: self.key,
            memory_mb: self.memory_mb,
            concurrency: self.concurrency,
            load_time: self.load_time,
            deadline: response_deadline(now, self.timeout_millis),
            body: self.body,
        }
    }
}

/// The content of a line.
#[derive(Debug, PartialEq)]
pub enum Message {
    /// One request.
    Single(Request),
    /// A batch, whose responses are sent in one line.
    Batch(Vec<Request>),
}

/// Decodes a line.
///
/// Invalid input is decoded as [`Request::Invalid`], because it is answered with an error response.
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
        (Ok(invocation), Some(id)) => decode_request_with_id(invocation, id),
        (Ok(invocation), None) => decode_notification(invocation),
        (Err(error), id) => Request::invalid(id.unwrap_or_default(), error),
    }
}

/// The method of a request and its named params.
struct Invocation<'a> {
    method: &'a str,
    /// `None` if the request has no params. Positional params are an error only if the method uses params.
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

/// Decodes a request without an id. An invalid notification is ignored, as notifications get no response.
fn decode_notification(invocation: Invocation) -> Request {
    let params = invocation.params.ok().flatten();
    let call = params.and_then(|params| params.get("id"));
    match (invocation.method, call) {
        (methods::CANCEL, Some(call)) => Request::Cancel { call: call.clone() },
        _ => Request::Ignored,
    }
}

fn decode_request_with_id(invocation: Invocation, id: Value) -> Request {
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
        Ok(params) => Request::Call {
            id,
            params: Box::new(params),
        },
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
        timeout_millis: whole_number(params, "allow_ms")?,
        correlation_id,
        key: text(params, "key")?,
        memory_mb: non_negative_number(params, "memory_mb", 0.0)?,
        concurrency: non_negative_number(params, "lanes", 1.0)?,
        load_time: load_time(non_negative_number(params, "load_ms", 0.0)?),
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

/// Returns the finite, non-negative number of a parameter, or `default` if the parameter is absent.
fn non_negative_number(
    params: &Map<String, Value>,
    name: &'static str,
    default: f64,
) -> Result<f64, ParamsError> {
    let Some(value) = params.get(name) else {
        return Ok(default);
    };
    let number = value
        .as_f64()
        .filter(|number| number.is_finite() && *number >= 0.0);
    number.ok_or(ParamsError::InvalidNumber(name))
}

fn decode_body(base64: String) -> Result<Vec<u8>, ParamsError> {
    let body = BASE64.decode(base64).map_err(|_| ParamsError::BodyNotBase64)?;
    if body.len() > MAX_BODY_BYTES {
        return Err(ParamsError::BodyTooLarge);
    }
    Ok(body)
}
