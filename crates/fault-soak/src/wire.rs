//! The client's side of the frame protocol (page PROTOCOL), written out here so that a fault of the scheduler's own codec
//! shows.

use crate::recorder::{Answer, RequestClass, RequestNumber};
use anyhow::{Result, bail};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt};

const REQUEST: u8 = 0;
const ANSWER: u8 = 1;
const CANCEL: u8 = 2;
const READINESS_CHECK: u8 = 6;
const READINESS: u8 = 7;
const LEAVE: u8 = 9;
const CODE_SERVED: u8 = 79;
const CODE_REJECTED: u8 = 66;
/// Largest value of a frame's length.
const MAX_LENGTH: usize = 262_144;
/// Bytes of a frame after its length and before its payload.
const HEADER_LENGTH: usize = 5;

impl RequestClass {
    /// Its name in the settings.
    pub(crate) fn name(self) -> &'static str {
        match self {
            RequestClass::Idempotent => "match",
            RequestClass::Keyed => "submit",
            RequestClass::NonIdempotent => "pay",
        }
    }
}

/// A frame that a client receives.
#[derive(Debug)]
pub(crate) enum ClientFrame {
    /// The answer on a stream, with its body.
    Answer {
        stream: u32,
        answer: Answer,
        body: Vec<u8>,
    },
    /// Whether the scheduler is ready.
    Readiness { is_ready: bool },
    /// No new request is wanted on this connection.
    Leave,
}

fn frame(kind: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = (HEADER_LENGTH + payload.len()) as u32;
    let mut bytes = length.to_be_bytes().to_vec();
    bytes.push(kind);
    bytes.extend_from_slice(&stream.to_be_bytes());
    bytes.extend_from_slice(payload);
    bytes
}

/// A request for a function.
pub(crate) fn request(
    stream: u32,
    number: RequestNumber,
    class: RequestClass,
    allowed: Duration,
    function: u64,
    body: &[u8],
) -> Vec<u8> {
    let fields = [
        ("service", class.name().to_owned()),
        ("ref", format!("{number:016x}")),
        ("allow", allowed.as_millis().to_string()),
        ("lookup", format!("{function:016x}")),
        ("replay", format!("{number:032x}")),
        ("spec", "memory_mb:256;lanes:2;load_ms:20".to_owned()),
    ];
    let mut payload = vec![fields.len() as u8];
    for (name, value) in fields {
        payload.push(name.len() as u8);
        payload.extend_from_slice(name.as_bytes());
        payload.extend_from_slice(&(value.len() as u16).to_be_bytes());
        payload.extend_from_slice(value.as_bytes());
    }
    payload.extend_from_slice(body);
    frame(REQUEST, stream, &payload)
}

/// Tells that nobody waits for a stream any more.
pub(crate) fn cancel(stream: u32) -> Vec<u8> {
    frame(CANCEL, stream, &[])
}

/// Asks whether the scheduler is ready.
pub(crate) fn readiness_check() -> Vec<u8> {
    frame(READINESS_CHECK, 1, &[0])
}

/// Reads the next frame; none at the end of the connection, also where that is a reset.
pub(crate) async fn read_frame(input: &mut (impl AsyncRead + Unpin)) -> Result<Option<ClientFrame>> {
    let mut length = [0; 4];
    if input.read_exact(&mut length).await.is_err() {
        return Ok(None);
    }
    let length = u32::from_be_bytes(length) as usize;
    if !(HEADER_LENGTH..=MAX_LENGTH).contains(&length) {
        bail!("a frame of {length} bytes");
    }
    let mut bytes = vec![0; length];
    if input.read_exact(&mut bytes).await.is_err() {
        return Ok(None);
    }
    decode(&bytes).map(Some)
}

fn decode(bytes: &[u8]) -> Result<ClientFrame> {
    let stream = u32::from_be_bytes([bytes[1], bytes[2], bytes[3], bytes[4]]);
    let payload = &bytes[HEADER_LENGTH..];
    match (bytes[0], payload.first()) {
        (ANSWER, Some(code)) => Ok(ClientFrame::Answer {
            stream,
            answer: match *code {
                CODE_SERVED => Answer::Served,
                CODE_REJECTED => Answer::Rejected,
                _ => Answer::Failed,
            },
            body: body_after_fields(&payload[1..])?,
        }),
        (READINESS, Some(code)) => Ok(ClientFrame::Readiness {
            is_ready: *code == CODE_SERVED,
        }),
        (LEAVE, _) => Ok(ClientFrame::Leave),
        (kind, _) => bail!("a frame of type {kind}"),
    }
}

/// What follows the fields of a payload.
fn body_after_fields(payload: &[u8]) -> Result<Vec<u8>> {
    let Some((count, mut rest)) = payload.split_first() else {
        bail!("an answer without fields");
    };
    for _ in 0..*count {
        let name = usize::from(*rest.first().unwrap_or(&0));
        let Some([high, low]) = rest.get(1 + name..3 + name).and_then(|size| size.first_chunk()) else {
            bail!("fields cut short");
        };
        let value = usize::from(u16::from_be_bytes([*high, *low]));
        rest = rest.get(3 + name + value..).unwrap_or_default();
    }
    Ok(rest.to_vec())
}
