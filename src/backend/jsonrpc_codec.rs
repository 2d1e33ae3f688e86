//! The wire format of workers on Unix sockets: JSON-RPC 2.0, one object per line, with bodies in base64.
//!
//! Keys are encoded in alphabetical order.

use super::codec::{
    Codec, DecodeError, DecodeErrorKind, ResponseMessage, WorkerMessage, function_name, json_line,
    remaining_milliseconds,
};
use crate::model::{FunctionId, Time};
use crate::scheduler::{RequestPayload, WorkerResponse};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Serialize;
use serde_json::{Map, Value};

/// The codec for JSON-RPC workers.
#[derive(Clone, Copy, Debug, Default)]
pub struct JsonRpcCodec;

const VERSION: &str = "2.0";

/// Error codes of a worker. With any other code, the request may have been executed.
mod error_code {
    /// The function is not loaded: the request was not executed.
    pub(super) const MISS: i64 = -32010;
    /// The worker has no capacity: the request was not executed.
    pub(super) const FULL: i64 = -32011;
    /// The deadline had passed: the request was not executed.
    pub(super) const EXPIRED: i64 = -32012;
}

#[derive(Serialize)]
#[serde(rename_all = "lowercase")]
enum Method {
    Call,
    Cancel,
    Load,
    Unload,
    Probe,
}

/// A JSON-RPC request, which gets a response with the same id.
#[derive(Serialize)]
struct Request<'a, Params> {
    id: &'a str,
    jsonrpc: &'static str,
    method: Method,
    params: Params,
}

/// A JSON-RPC notification, which gets no response.
#[derive(Serialize)]
struct Notification<Params> {
    jsonrpc: &'static str,
    method: Method,
    params: Params,
}

#[derive(Serialize)]
struct CallParams<'a> {
    /// Body of the request, in base64.
    body: String,
    class: &'a str,
    function: String,
    /// Idempotency key.
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<&'a str>,
    /// Time until the deadline, in milliseconds.
    ttl_ms: u64,
}

#[derive(Serialize)]
struct CancelParams<'a> {
    id: &'a str,
}

#[derive(Serialize)]
struct LoadParams {
    /// Minimum number of loaded instances that the worker is to have.
    copies: u8,
    function: String,
}

#[derive(Serialize)]
struct UnloadParams {
    function: String,
}

#[derive(Serialize)]
struct ProbeParams {}

fn request(id: &str, method: Method, params: impl Serialize) -> Vec<u8> {
    json_line(&Request {
        id,
        jsonrpc: VERSION,
        method,
        params,
    })
}

fn notification(method: Method, params: impl Serialize) -> Vec<u8> {
    json_line(&Notification {
        jsonrpc: VERSION,
        method,
        params,
    })
}

impl Codec for JsonRpcCodec {
    fn encode_request(&self, payload: &RequestPayload, now: Time, deadline: Time) -> Vec<u8> {
        let params = CallParams {
            body: STANDARD.encode(&payload.body),
            class: &payload.class,
            function: function_name(payload.function),
            key: payload.key.as_deref(),
            ttl_ms: remaining_milliseconds(now, deadline),
        };
        request(&payload.correlation_id, Method::Call, params)
    }

    fn encode_cancel(&self, correlation_id: &str) -> Vec<u8> {
        notification(Method::Cancel, CancelParams { id: correlation_id })
    }

    fn encode_load(&self, correlation_id: &str, function: FunctionId, instances: u8) -> Vec<u8> {
        let params = LoadParams {
            copies: instances,
            function: function_name(function),
        };
        request(correlation_id, Method::Load, params)
    }

    fn encode_unload(&self, function: FunctionId) -> Vec<u8> {
        let params = UnloadParams {
            function: function_name(function),
        };
        notification(Method::Unload, params)
    }

    fn encode_health_check(&self, correlation_id: &str) -> Vec<u8> {
        request(correlation_id, Method::Probe, ProbeParams {})
    }

    fn decode(&self, line: &[u8]) -> Result<WorkerMessage, DecodeError> {
        let message = parse_object(line).map_err(DecodeError::without_correlation_id)?;
        // All requests of the scheduler have strings as ids.
        let Some(Value::String(correlation_id)) = message.get("id") else {
            return Err(DecodeError::without_correlation_id(DecodeErrorKind::InvalidId));
        };
        interpret(&message, correlation_id).map_err(|kind| DecodeError::in_response_to(correlation_id, kind))
    }
}

/// Parses a line as a JSON object. Accepts unknown and duplicate keys, which a worker's JSON-RPC library may
/// write.
fn parse_object(line: &[u8]) -> Result<Map<String, Value>, DecodeErrorKind> {
    match serde_json::from_slice(line) {
        Ok(Value::Object(object)) => Ok(object),
        Ok(_) => Err(DecodeErrorKind::NotAnObject),
        Err(_) => Err(DecodeErrorKind::NotJson),
    }
}

fn interpret(message: &Map<String, Value>, correlation_id: &str) -> Result<WorkerMessage, DecodeErrorKind> {
    if message.get("jsonrpc").and_then(Value::as_str) != Some(VERSION) {
        return Err(DecodeErrorKind::WrongVersion);
    }
    match (message.get("result"), message.get("error")) {
        (Some(result), None) => interpret_result(result, correlation_id),
        (None, Some(error)) => interpret_error(error, correlation_id),
        _ => Err(DecodeErrorKind::NoResultOrError),
    }
}

fn interpret_result(result: &Value, correlation_id: &str) -> Result<WorkerMessage, DecodeErrorKind> {
    // Only responses to health checks have the key `load`.
    if result.get("load").is_some() {
        let correlation_id = correlation_id.to_owned();
        return Ok(WorkerMessage::Alive { correlation_id });
    }
    let instances = loaded_instances(result.get("copies"));
    let body = match result.get("body") {
        None if instances.is_some() => Vec::new(),
        Some(Value::String(text)) => STANDARD
            .decode(text)
            .map_err(|_| DecodeErrorKind::BodyNotBase64)?,
        _ => return Err(DecodeErrorKind::MissingBody),
    };
    Ok(response(correlation_id, WorkerResponse::Ok(body), instances))
}

fn interpret_error(error: &Value, correlation_id: &str) -> Result<WorkerMessage, DecodeErrorKind> {
    let code = error
        .get("code")
        .and_then(Value::as_i64)
        .ok_or(DecodeErrorKind::MissingErrorCode)?;
    let worker_response = match code {
        error_code::MISS => WorkerResponse::Miss,
        error_code::FULL => WorkerResponse::AtCapacity,
        error_code::EXPIRED => WorkerResponse::Expired,
        _ => WorkerResponse::Error,
    };
    let instances = loaded_instances(error.pointer("/data/copies"));
    Ok(response(correlation_id, worker_response, instances))
}

fn loaded_instances(value: Option<&Value>) -> Option<u32> {
    value.and_then(Value::as_u64).map(|count| count as u32)
}

/// Creates the message for a JSON-RPC response, which never contains a load report.
fn response(correlation_id: &str, response: WorkerResponse, instances: Option<u32>) -> WorkerMessage {
    WorkerMessage::Response(ResponseMessage {
        correlation_id: correlation_id.to_owned(),
        response,
        instances,
        load_report: Vec::new(),
    })
}
