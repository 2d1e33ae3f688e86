//! Frames of the client protocol (page PROTOCOL).

use std::io::{self, Read};

/// The class of all valid requests.
pub(crate) const CLASS: &str = "match";
/// The code of a response 'served', or of a readiness response 'ready'.
pub(crate) const SERVED: u8 = 79;
/// Longest value of a frame's length field.
pub(crate) const MAX_LENGTH: usize = 262_144;
/// Size of the largest body of a request, in bytes.
pub(crate) const LARGEST_BODY: usize = 16 << 10;
/// Number of bytes before a frame's payload.
pub(crate) const HEADER_BYTES: usize = 9;

/// The type of a frame, with its number on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum FrameType {
    Request = 0,
    Response = 1,
    Cancel = 2,
    Readiness = 6,
}

/// A frame that a client receives.
#[derive(Debug)]
pub(crate) struct ReceivedFrame {
    pub(crate) frame_type: u8,
    pub(crate) stream: u32,
    pub(crate) payload: Vec<u8>,
}

/// Encodes a frame.
pub(crate) fn encode(frame_type: FrameType, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = HEADER_BYTES - 4 + payload.len();
    let mut bytes = (length as u32).to_be_bytes().to_vec();
    bytes.push(frame_type as u8);
    bytes.extend(stream.to_be_bytes());
    bytes.extend(payload);
    bytes
}

/// Encodes fields.
pub(crate) fn encode_fields(fields: &[(&str, &str)]) -> Vec<u8> {
    let mut bytes = vec![fields.len() as u8];
    for (name, value) in fields {
        bytes.push(name.len() as u8);
        bytes.extend(name.as_bytes());
        bytes.extend((value.len() as u16).to_be_bytes());
        bytes.extend(value.as_bytes());
    }
    bytes
}

/// Encodes a well-formed request with a new id.
pub(crate) fn encode_request(stream: u32, class: &str, function: u64, allow_ms: u64) -> Vec<u8> {
    encode_request_with_body(stream, class, function, allow_ms, b"a body")
}

/// Encodes a well-formed request with a new id and this body.
pub(crate) fn encode_request_with_body(
    stream: u32,
    class: &str,
    function: u64,
    allow_ms: u64,
    body: &[u8],
) -> Vec<u8> {
    let fields = [
        ("service", class),
        ("ref", &format!("{:016x}", fastrand::u64(..))),
        ("allow", &allow_ms.to_string()),
        ("lookup", &format!("{function:016x}")),
        ("spec", "memory_mb:512;lanes:2;load_ms:640"),
    ];
    let mut payload = encode_fields(&fields);
    payload.extend(body);
    encode(FrameType::Request, stream, &payload)
}

/// Reads the next frame.
pub(crate) fn read(input: &mut impl Read) -> io::Result<ReceivedFrame> {
    let mut header = [0; HEADER_BYTES];
    input.read_exact(&mut header)?;
    let [l0, l1, l2, l3, frame_type, s0, s1, s2, s3] = header;
    let length = u32::from_be_bytes([l0, l1, l2, l3]) as usize;
    let mut payload = vec![0; length.saturating_sub(HEADER_BYTES - 4).min(MAX_LENGTH)];
    input.read_exact(&mut payload)?;
    Ok(ReceivedFrame {
        frame_type,
        stream: u32::from_be_bytes([s0, s1, s2, s3]),
        payload,
    })
}
