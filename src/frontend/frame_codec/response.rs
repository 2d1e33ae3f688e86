//! The payload of a response.

use super::{FrameType, encode_fields, encode_frame};
use crate::scheduler::Outcome;

/// The encoding of no fields.
const NO_FIELDS: &[u8] = &[0];

/// The codes of responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ResponseCode {
    /// Served; of a readiness response, ready.
    Served = 79,
    /// Rejected, so that a retry does no harm; of a readiness response, not ready.
    Rejected = 66,
    /// Failed.
    Failed = 69,
}

impl ResponseCode {
    /// The code on the wire.
    pub fn to_wire(self) -> u8 {
        self as u8
    }
}

/// Writes the response to a request.
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

/// Writes the response to a question whether the scheduler is ready.
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
