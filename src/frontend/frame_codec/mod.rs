//! The binary frames that clients and the scheduler exchange over TCP, encoded and decoded by pure functions.
//!
//! ```text
//! frame   = length:4 type:1 stream:4 payload      length: bytes that follow it, 5 to 262,144
//! fields  = count:1, then for each: size:1 name size:2 value      names and values are UTF-8
//! ```
//!
//! Numbers are unsigned and big-endian. The payload of a request consists of fields and the body, that of a
//! response of a code, fields and the body.

mod fields;
mod request;
mod response;
#[cfg(test)]
mod tests;

pub use fields::{Fields, decode_fields, encode_fields};
pub use request::{InvalidRequest, RequestError, decode_request};
pub use response::{ResponseCode, encode_readiness, encode_response};

/// Maximum value of a frame's length field.
pub const MAX_FRAME_LENGTH: usize = 262_144;
/// Size of the length field, in bytes.
const LENGTH_BYTES: usize = 4;
/// Size of the type and the stream, in bytes; the length field includes them.
const TYPE_AND_STREAM_BYTES: usize = 5;
/// Size of the header before a frame's payload, in bytes.
const HEADER_BYTES: usize = LENGTH_BYTES + TYPE_AND_STREAM_BYTES;

/// The types of frames.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum FrameType {
    /// A client's request.
    Request = 0,
    /// The response to a request; on stream 0, an error that belongs to no request.
    Response = 1,
    /// Sent by a client that no longer waits for the response on a stream.
    Cancel = 2,
    /// Sent by a client to ask whether the scheduler is ready.
    ReadinessRequest = 6,
    /// The response to a readiness request.
    ReadinessResponse = 7,
    /// Sent by the scheduler when the client must send no new requests on this connection.
    GoAway = 9,
}

impl FrameType {
    /// Returns the type with this number on the wire, if there is one.
    pub fn from_wire(number: u8) -> Option<FrameType> {
        match number {
            0 => Some(FrameType::Request),
            1 => Some(FrameType::Response),
            2 => Some(FrameType::Cancel),
            6 => Some(FrameType::ReadinessRequest),
            7 => Some(FrameType::ReadinessResponse),
            9 => Some(FrameType::GoAway),
            _ => None,
        }
    }

    /// Returns the number of the type on the wire.
    pub fn to_wire(self) -> u8 {
        self as u8
    }
}

/// The reason why bytes cannot be decoded as a frame; the start of the next frame is then unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The length field is outside the range of valid lengths.
    #[error("length out of range")]
    LengthOutOfRange,
    /// The payload ends within its fields.
    #[error("fields cut short")]
    TruncatedFields,
    /// A field's name or value is not UTF-8.
    #[error("a field is not text")]
    FieldNotText,
}

/// The part of a frame before its payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FrameHeader {
    /// The number of bytes that follow the length field.
    pub(super) length: usize,
    /// The frame's type; `None` for an unknown type number.
    pub(super) frame_type: Option<FrameType>,
    /// Number of the stream that the frame belongs to.
    pub(super) stream: u32,
}

impl FrameHeader {
    /// Decodes the header at the start of a buffer, if it is complete; does not check the length.
    pub(super) fn decode(bytes: &[u8]) -> Option<FrameHeader> {
        let header = bytes.first_chunk::<HEADER_BYTES>()?;
        let [l0, l1, l2, l3, frame_type, s0, s1, s2, s3] = *header;
        Some(FrameHeader {
            length: u32::from_be_bytes([l0, l1, l2, l3]) as usize,
            frame_type: FrameType::from_wire(frame_type),
            stream: u32::from_be_bytes([s0, s1, s2, s3]),
        })
    }

    /// Returns the size of the whole encoded frame, in bytes.
    pub(super) fn encoded_length(&self) -> usize {
        LENGTH_BYTES + self.length
    }
}

/// A frame that borrows its payload from the input buffer.
#[derive(Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// The frame's type; `None` for an unknown type number.
    pub frame_type: Option<FrameType>,
    /// Number of the stream that the frame belongs to.
    pub stream: u32,
    /// The bytes after the header.
    pub payload: &'a [u8],
}

impl Frame<'_> {
    /// Returns the size of the whole encoded frame, in bytes.
    pub fn encoded_length(&self) -> usize {
        HEADER_BYTES + self.payload.len()
    }
}

/// Decodes the first frame of a buffer, or returns `None` if it is incomplete.
///
/// # Errors
///
/// Returns [`FrameError::LengthOutOfRange`] as soon as the length field is complete and invalid.
pub fn decode_frame(bytes: &[u8]) -> Result<Option<Frame<'_>>, FrameError> {
    let Some(length) = bytes.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*length) as usize;
    if !(TYPE_AND_STREAM_BYTES..=MAX_FRAME_LENGTH).contains(&length) {
        return Err(FrameError::LengthOutOfRange);
    }
    let Some(header) = FrameHeader::decode(bytes) else {
        return Ok(None);
    };
    let Some(payload) = bytes.get(HEADER_BYTES..header.encoded_length()) else {
        return Ok(None);
    };
    Ok(Some(Frame {
        frame_type: header.frame_type,
        stream: header.stream,
        payload,
    }))
}

/// Encodes a frame whose payload is the concatenation of the parts.
pub fn encode_frame(frame_type: FrameType, stream: u32, payload_parts: &[&[u8]]) -> Vec<u8> {
    encode_raw_frame(frame_type.to_wire(), stream, payload_parts)
}

/// Encodes a frame with an arbitrary type number, which need not be a known type.
pub fn encode_raw_frame(type_number: u8, stream: u32, payload_parts: &[&[u8]]) -> Vec<u8> {
    let payload_length: usize = payload_parts.iter().map(|part| part.len()).sum();
    let length = TYPE_AND_STREAM_BYTES + payload_length;
    let mut frame = Vec::with_capacity(LENGTH_BYTES + length);
    frame.extend((length as u32).to_be_bytes());
    frame.push(type_number);
    frame.extend(stream.to_be_bytes());
    for part in payload_parts {
        frame.extend_from_slice(part);
    }
    frame
}
