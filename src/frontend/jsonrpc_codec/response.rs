//! Encoding of the responses that clients receive.

use super::{ErrorCode, RequestError, VERSION};
use crate::model::Span;
use crate::scheduler::{Outcome, Response};
use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use serde_json::{Value, json};

/// Encodes the final response to a call.
pub fn encode_response(id: &Value, response: &Response) -> Value {
    match &response.outcome {
        Outcome::Served(body) => encode_result(id, json!({"body": BASE64.encode(body)})),
        Outcome::Rejected { retry_after } => encode_rejected(id, *retry_after, response.expired),
        Outcome::Failed if response.expired => encode_deadline_exceeded(id, json!({"outcome": "failed"})),
        Outcome::Failed => encode_error_object(id, ErrorCode::Failed, "failed", None),
    }
}

fn encode_rejected(id: &Value, retry_after: Span, expired: bool) -> Value {
    let millis = retry_after.as_millis_rounded_up();
    if expired {
        return encode_deadline_exceeded(id, json!({"outcome": "refused", "cooldown_ms": millis}));
    }
    let data = json!({"cooldown_ms": millis});
    encode_error_object(id, ErrorCode::Rejected, "refused", Some(data))
}

fn encode_deadline_exceeded(id: &Value, data: Value) -> Value {
    encode_error_object(id, ErrorCode::DeadlineExceeded, "deadline passed", Some(data))
}

/// Encodes the response to a `ready` request.
pub fn encode_readiness(id: &Value, ready: bool) -> Value {
    encode_result(id, json!({"ready": ready}))
}

/// Encodes the response to a call that its client has cancelled.
pub fn encode_cancelled(id: &Value) -> Value {
    encode_error_object(id, ErrorCode::Cancelled, "cancelled", None)
}

/// Encodes the response to an invalid request.
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
