//! Unit tests of the backend.

mod connection;
mod correlation;
mod due_writes;
mod jsonrpc_codec;
mod node_agent_codec;
mod write_queue;

use super::worker_command::WorkerCommand;
use super::{Codec, DecodeError, DecodeErrorKind, ResponseMessage, WorkerMessage};
use crate::model::{FunctionId, RequestId, Time};
use crate::scheduler::{AttemptId, LoadOrderId, RequestPayload, WorkerResponse};
use serde_json::Value;
use std::rc::Rc;

/// A function id, and below it the name that both wire formats encode it as.
const FUNCTION: FunctionId = FunctionId(0x7f);
const FUNCTION_NAME: &str = "000000000000007f";

/// The result of decoding a line.
type Decoded = Result<WorkerMessage, DecodeError>;

fn response(correlation_id: &str, response: WorkerResponse, instances: Option<u32>) -> Decoded {
    Ok(WorkerMessage::Response(ResponseMessage {
        correlation_id: correlation_id.to_owned(),
        response,
        instances,
        load_report: Vec::new(),
    }))
}

fn alive(correlation_id: &str) -> Decoded {
    Ok(WorkerMessage::Alive {
        correlation_id: correlation_id.to_owned(),
    })
}

fn decode_error(correlation_id: Option<&str>, kind: DecodeErrorKind) -> Decoded {
    Err(DecodeError {
        correlation_id: correlation_id.map(str::to_owned),
        kind,
    })
}

fn parse(line: &[u8]) -> Value {
    serde_json::from_slice(line).unwrap()
}

fn assert_decoded(codec: &dyn Codec, cases: Vec<(&str, Decoded)>) {
    for (line, expected) in cases {
        assert_eq!(codec.decode(line.as_bytes()), expected, "{line}");
    }
}

/// Asserts that each encoded line equals the expected text, byte for byte, followed by a line feed.
fn assert_encoded<const COUNT: usize>(cases: [(Vec<u8>, &str); COUNT]) {
    for (line, expected) in cases {
        assert_eq!(String::from_utf8(line).unwrap(), format!("{expected}\n"));
    }
}

/// A request with an idempotency key, and a class that contains characters that JSON encoders may escape.
fn request_with_key() -> RequestPayload {
    RequestPayload {
        correlation_id: "9b1f".to_owned(),
        class: "a\"é/".to_owned(),
        function: FUNCTION,
        key: Some("k".to_owned()),
        body: b"hi".to_vec(),
    }
}

fn empty_request() -> RequestPayload {
    RequestPayload {
        correlation_id: "9b1f".to_owned(),
        class: "c".to_owned(),
        function: FUNCTION,
        key: None,
        body: Vec::new(),
    }
}

const fn attempt(request: u32, number: u16) -> AttemptId {
    AttemptId {
        request: RequestId(request),
        number,
    }
}

fn send_command(attempt: AttemptId) -> WorkerCommand {
    WorkerCommand::Send {
        attempt,
        payload: Rc::new(empty_request()),
        deadline: Time(1),
    }
}

fn load_command(order: LoadOrderId) -> WorkerCommand {
    WorkerCommand::Load {
        order,
        function: FUNCTION,
        instances: 1,
        deadline: Time(u64::MAX),
    }
}

#[test]
fn decode_errors_describe_the_fault() {
    let error = decode_error(Some("a"), DecodeErrorKind::MissingRid).unwrap_err();
    assert_eq!(error.to_string(), "no rid");
}
