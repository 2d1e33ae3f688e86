//! Encoding of responses.

use super::{FrameType, encode_fields, encode_frame};
use crate::scheduler::Outcome;

/// The encoding of an empty list of fields.
const NO_FIELDS: &[u8] = &[0];

/// The code at the start of a response's payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ResponseCode {
    /// The request was served; in a readiness response, the scheduler is ready.
    Served = 79,
    /// The request was rejected and a retry is harmless; in a readiness response, the scheduler is not ready.
    Rejected = 66,
    /// The request failed and may have run.
    Failed = 69,
}

impl ResponseCode {
    /// Returns the code on the wire.
    pub fn to_wire(self) -> u8 {
        self as u8
    }
}

/// Encodes the response to a request.
pub fn encode_response(stream: u32, outcome: &Outcome) -> Vec<u8> {
    match outcome {
        Outcome::Served(body) => encode_response_parts(stream, ResponseCode::Served, NO_FIELDS, body),
        Outcome::Rejected { retry_after } if retry_after.0 == 0 => {
            encode_response_parts(stream, ResponseCode::Rejected, NO_FIELDS, &[])
        }
        Outcome::Rejected { retry_after } => {
            let millis = retry_after.as_millis_rounded_up().to_string();
            let fields = encode_fields(&[("cooldown", &millis)]);
            encode_response_parts(stream, ResponseCode::Rejected, &fields, &[])
        }
        Outcome::Failed => encode_response_parts(stream, ResponseCode::Failed, NO_FIELDS, &[]),
    }
}

fn encode_response_parts(stream: u32, code: ResponseCode, fields: &[u8], body: &[u8]) -> Vec<u8> {
    encode_frame(FrameType::Response, stream, &[&[code.to_wire()], fields, body])
}

/// Encodes the response to a readiness request.
pub fn encode_readiness(stream: u32, ready: bool) -> Vec<u8> {
    let code = if ready {
        ResponseCode::Served
    } else {
        ResponseCode::Rejected
    };
    encode_frame(
        FrameType::ReadinessResponse,
        stream,
        &[&[code.to_wire()], NO_FIELDS],
    )
}
