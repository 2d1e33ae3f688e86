//! The client side of the frame protocol (page PROTOCOL).
//!
//! The module shares no code with the scheduler's codec, so that a bug in that codec shows up in a run.

use crate::request::{RequestClass, RequestId, ResponseStatus};
use anyhow::{Result, bail, ensure};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt};

// Frame types.
const REQUEST: u8 = 0;
const RESPONSE: u8 = 1;
const CANCEL: u8 = 2;
const READINESS_CHECK: u8 = 6;
const READINESS: u8 = 7;
const GO_AWAY: u8 = 9;
// Status codes of responses.
const CODE_SERVED: u8 = 79;
const CODE_REJECTED: u8 = 66;
/// Maximum accepted value of a frame's length field, in bytes.
const MAX_LENGTH: usize = 262_144;
/// Number of bytes between a frame's length field and its payload: the frame type and the stream id.
const HEADER_LENGTH: usize = 5;
/// The stream id of a readiness check.
const READINESS_STREAM: u32 = 1;
/// A malformed frame, whose length field is smaller than the length of a header.
pub(super) const MALFORMED_FRAME: [u8; 4] = [0; 4];

/// A request frame that a client sends.
#[derive(Debug)]
pub(super) struct RequestFrame<'a> {
    pub(super) stream: u32,
    pub(super) request: RequestId,
    pub(super) class: RequestClass,
    pub(super) timeout: Duration,
    pub(super) function: u64,
    pub(super) body: &'a [u8],
}

/// A frame that a client receives.
#[derive(Debug)]
pub(super) enum ReceivedFrame {
    Response {
        stream: u32,
        status: ResponseStatus,
        body: Vec<u8>,
    },
    /// The response to a readiness check.
    Readiness { is_ready: bool },
    /// The scheduler accepts no further requests on this connection.
    GoAway,
}

impl RequestFrame<'_> {
    /// Encodes the frame.
    pub(super) fn encode(&self) -> Vec<u8> {
        let fields = [
            ("service", self.class.service_name().to_owned()),
            ("ref", format!("{:016x}", self.request.0)),
            ("allow", self.timeout.as_millis().to_string()),
            ("lookup", format!("{:016x}", self.function)),
            ("replay", format!("{:032x}", self.request.0)),
            ("spec", "memory_mb:256;lanes:2;load_ms:20".to_owned()),
        ];
        let mut payload = vec![fields.len() as u8];
        for (name, value) in fields {
            payload.push(name.len() as u8);
            payload.extend_from_slice(name.as_bytes());
            payload.extend_from_slice(&(value.len() as u16).to_be_bytes());
            payload.extend_from_slice(value.as_bytes());
        }
        payload.extend_from_slice(self.body);
        encode_frame(REQUEST, self.stream, &payload)
    }
}

/// Encodes a frame that cancels the request on a stream.
pub(super) fn encode_cancel(stream: u32) -> Vec<u8> {
    encode_frame(CANCEL, stream, &[])
}

/// Encodes a frame that asks whether the scheduler is ready.
pub(super) fn encode_readiness_check() -> Vec<u8> {
    let no_fields = [0];
    encode_frame(READINESS_CHECK, READINESS_STREAM, &no_fields)
}

fn encode_frame(frame_type: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = (HEADER_LENGTH + payload.len()) as u32;
    let mut bytes = length.to_be_bytes().to_vec();
    bytes.push(frame_type);
    bytes.extend_from_slice(&stream.to_be_bytes());
    bytes.extend_from_slice(payload);
    bytes
}

/// Reads the next frame, or returns `None` if the connection has been closed or reset.
pub(super) async fn read_frame(input: &mut (impl AsyncRead + Unpin)) -> Result<Option<ReceivedFrame>> {
    let Ok(length) = input.read_u32().await else {
        return Ok(None);
    };
    let length = length as usize;
    ensure!(
        (HEADER_LENGTH..=MAX_LENGTH).contains(&length),
        "invalid frame length: {length} bytes"
    );
    let mut bytes = vec![0; length];
    if input.read_exact(&mut bytes).await.is_err() {
        return Ok(None);
    }
    decode_frame(&bytes).map(Some)
}

/// Decodes a frame whose length field has been removed. `bytes` holds at least the header.
fn decode_frame(bytes: &[u8]) -> Result<ReceivedFrame> {
    let (header, payload) = bytes.split_at(HEADER_LENGTH);
    let stream = u32::from_be_bytes([header[1], header[2], header[3], header[4]]);
    match (header[0], payload.split_first()) {
        (RESPONSE, Some((code, fields_and_body))) => Ok(ReceivedFrame::Response {
            stream,
            status: decode_status(*code),
            body: body_after_fields(fields_and_body)?,
        }),
        (READINESS, Some((code, _))) => Ok(ReceivedFrame::Readiness {
            is_ready: *code == CODE_SERVED,
        }),
        (GO_AWAY, _) => Ok(ReceivedFrame::GoAway),
        (frame_type, _) => bail!("unexpected or incomplete frame of type {frame_type}"),
    }
}

fn decode_status(code: u8) -> ResponseStatus {
    match code {
        CODE_SERVED => ResponseStatus::Served,
        CODE_REJECTED => ResponseStatus::Rejected,
        _ => ResponseStatus::Failed,
    }
}

/// Skips the fields of a response and returns its body.
///
/// The payload starts with the number of fields in one byte. Each field consists of the length of its name in
/// one byte, the name, the length of its value in two bytes, and the value.
fn body_after_fields(payload: &[u8]) -> Result<Vec<u8>> {
    let Some((count, mut rest)) = payload.split_first() else {
        bail!("the response has no field count");
    };
    for _ in 0..*count {
        let name_length = usize::from(*rest.first().unwrap_or(&0));
        let after_name = rest.get(1 + name_length..).unwrap_or_default();
        let Some((value_length, after_length)) = after_name.split_first_chunk() else {
            bail!("the fields of the response are truncated");
        };
        let value_length = usize::from(u16::from_be_bytes(*value_length));
        rest = after_length.get(value_length..).unwrap_or_default();
    }
    Ok(rest.to_vec())
}
