//! The binary frames that clients send over TCP, and those that answer them. Pure functions from and to
//! bytes.
//!
//! ```text
//! frame   = length:4 type:1 stream:4 payload      length counts all that follows it, 5 to 262,144
//! fields  = count:1, then for each: size:1 name size:2 value      names and values are text
//! ```
//!
//! Numbers are big-endian and unsigned. A request's payload is fields and then the body; that of a response
//! is a code, fields and then the body.

use super::limits::MAX_BODY_BYTES;
use super::request_figures::{load_time, millis_rounded_up, parse_hex_id, response_deadline};
use crate::model::{FunctionId, Span, Time};
use crate::scheduler::{ClientRequest, Outcome, RequestOrigin, RequestParameters};

#[cfg(test)]
mod tests;

/// Largest value of a frame's length field.
pub const MAX_FRAME_LENGTH: usize = 262_144;
/// Bytes of the length field.
const LENGTH_BYTES: usize = 4;
/// Bytes of the type and the stream, which the length counts.
const TYPE_AND_STREAM_BYTES: usize = 5;
/// Bytes before a frame's payload.
const HEADER_BYTES: usize = LENGTH_BYTES + TYPE_AND_STREAM_BYTES;
/// The encoding of no fields.
const NO_FIELDS: &[u8] = &[0];

/// The types of frames.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum FrameType {
    /// A client's request.
    Request = 0,
    /// The response to a request; on stream 0 an error that belongs to none.
    Response = 1,
    /// A client no longer waits for a stream's response.
    Cancel = 2,
    /// A client asks whether the scheduler is ready.
    ReadinessRequest = 6,
    /// The response to that.
    ReadinessResponse = 7,
    /// The scheduler wants no new request on this connection.
    GoAway = 9,
}

impl FrameType {
    /// The type of this number on the wire.
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

    /// The type's number on the wire.
    pub fn to_wire(self) -> u8 {
        self as u8
    }
}

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

/// Bytes that can't be read as a frame. Where the next frame begins is not known then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The length field has a value that no frame has.
    #[error("length out of range")]
    LengthOutOfRange,
    /// The payload ends within its fields.
    #[error("fields cut short")]
    TruncatedFields,
    /// A field's name or value is not UTF-8.
    #[error("a field is not text")]
    FieldNotText,
}

/// A request that can be read but not be carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRequest {
    /// A field's name occurs more than once.
    #[error("a field stands twice")]
    DuplicateField,
    /// A field is missing.
    #[error("no {0}")]
    MissingField(&'static str),
    /// A field that holds an id has something else.
    #[error("{0} is not 16 hex digits")]
    InvalidId(&'static str),
    /// `allow` is not a number of milliseconds.
    #[error("allow is no number")]
    InvalidAllow,
    /// The body is longer than a request's may be.
    #[error("body too large")]
    BodyTooLarge,
    /// `spec` is not a list of names and figures.
    #[error("odd spec")]
    InvalidSpec,
}

/// Why a request's payload gives no request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The frame itself can't be read: the connection ends.
    #[error(transparent)]
    Malformed(#[from] FrameError),
    /// It can be read but not be carried out: this request has failed.
    #[error(transparent)]
    Invalid(#[from] InvalidRequest),
}

/// What stands before a frame's payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FrameHeader {
    /// Bytes that follow the length field.
    pub(super) length: usize,
    /// The frame's type, where there is such a one.
    pub(super) frame_type: Option<FrameType>,
    /// The frame's stream.
    pub(super) stream: u32,
}

impl FrameHeader {
    /// Reads the header at the start of a buffer, if all of it is there. The length is not checked.
    pub(super) fn decode(bytes: &[u8]) -> Option<FrameHeader> {
        let header = bytes.first_chunk::<HEADER_BYTES>()?;
        let [l0, l1, l2, l3, frame_type, s0, s1, s2, s3] = *header;
        Some(FrameHeader {
            length: u32::from_be_bytes([l0, l1, l2, l3]) as usize,
            frame_type: FrameType::from_wire(frame_type),
            stream: u32::from_be_bytes([s0, s1, s2, s3]),
        })
    }

    /// Bytes of the whole frame.
    pub(super) fn encoded_length(&self) -> usize {
        LENGTH_BYTES + self.length
    }
}

/// A frame in its buffer.
#[derive(Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// Its type, where there is such a one.
    pub frame_type: Option<FrameType>,
    /// Its stream.
    pub stream: u32,
    /// The rest.
    pub payload: &'a [u8],
}

impl Frame<'_> {
    /// Bytes of the whole frame.
    pub fn encoded_length(&self) -> usize {
        HEADER_BYTES + self.payload.len()
    }
}

/// Reads the first frame of a buffer; none where it is not complete yet.
///
/// # Errors
///
/// [`FrameError::LengthOutOfRange`], as soon as the length field is there.
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
    Ok(Some(Frame { frame_type: header.frame_type, stream: header.stream, payload }))
}

/// Writes a frame; its payload is the parts one after another.
pub fn encode_frame(frame_type: FrameType, stream: u32, payload_parts: &[&[u8]]) -> Vec<u8> {
    encode_raw_frame(frame_type.to_wire(), stream, payload_parts)
}

/// Writes a frame with any type number, also one that stands for no type.
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

/// The fields at the start of a payload, and what follows them.
#[derive(Debug)]
pub struct Fields<'a> {
    /// Names and values in their order.
    pub pairs: Vec<(&'a str, &'a str)>,
    /// The bytes after the fields.
    pub rest: &'a [u8],
}

impl<'a> Fields<'a> {
    /// The value of the first field of this name.
    pub fn get(&self, name: &str) -> Option<&'a str> {
        let field = self.pairs.iter().find(|(other, _)| *other == name);
        field.map(|(_, value)| *value)
    }

    fn require(&self, name: &'static str) -> Result<&'a str, InvalidRequest> {
        self.get(name).ok_or(InvalidRequest::MissingField(name))
    }

    fn require_id(&self, name: &'static str) -> Result<u64, InvalidRequest> {
        parse_hex_id(self.require(name)?).ok_or(InvalidRequest::InvalidId(name))
    }

    fn has_duplicate_names(&self) -> bool {
        let names = || self.pairs.iter().map(|(name, _)| *name);
        names().enumerate().any(|(place, name)| names().take(place).any(|earlier| earlier == name))
    }
}

/// Takes bytes from the start of a slice; an error where there are too few.
fn take<'a>(bytes: &mut &'a [u8], count: usize) -> Result<&'a [u8], FrameError> {
    let (part, rest) = bytes.split_at_checked(count).ok_or(FrameError::TruncatedFields)?;
    *bytes = rest;
    Ok(part)
}

fn take_u8(bytes: &mut &[u8]) -> Result<usize, FrameError> {
    let part = take(bytes, 1)?;
    Ok(usize::from(part[0]))
}

fn take_u16(bytes: &mut &[u8]) -> Result<usize, FrameError> {
    let part = take(bytes, 2)?;
    Ok(usize::from(u16::from_be_bytes([part[0], part[1]])))
}

fn take_text<'a>(bytes: &mut &'a [u8], count: usize) -> Result<&'a str, FrameError> {
    let part = take(bytes, count)?;
    std::str::from_utf8(part).map_err(|_| FrameError::FieldNotText)
}

/// Reads the fields at the start of a payload.
///
/// # Errors
///
/// [`FrameError::TruncatedFields`] or [`FrameError::FieldNotText`].
pub fn decode_fields(payload: &[u8]) -> Result<Fields<'_>, FrameError> {
    let mut rest = payload;
    let count = take_u8(&mut rest)?;
    let mut pairs = Vec::with_capacity(count);
    for _ in 0..count {
        let name_length = take_u8(&mut rest)?;
        let name = take_text(&mut rest, name_length)?;
        let value_length = take_u16(&mut rest)?;
        let value = take_text(&mut rest, value_length)?;
        pairs.push((name, value));
    }
    Ok(Fields { pairs, rest })
}

/// Writes fields of these names and values: at most 255, names of at most 255 bytes, values of at most
/// 65,535.
pub fn encode_fields(pairs: &[(&str, &str)]) -> Vec<u8> {
    let mut bytes = vec![pairs.len() as u8];
    for (name, value) in pairs {
        bytes.push(name.len() as u8);
        bytes.extend(name.as_bytes());
        bytes.extend((value.len() as u16).to_be_bytes());
        bytes.extend(value.as_bytes());
    }
    bytes
}

/// Reads a request's payload. Its deadline is told from `now`.
///
/// # Errors
///
/// [`RequestError::Malformed`] where the connection can't go on, [`RequestError::Invalid`] where only this
/// request has failed.
pub fn decode_request(
    payload: &[u8],
    origin: RequestOrigin,
    now: Time,
) -> Result<ClientRequest, RequestError> {
    let fields = decode_fields(payload)?;
    if fields.has_duplicate_names() {
        return Err(InvalidRequest::DuplicateField.into());
    }
    let class = fields.require("service")?;
    let correlation_id = fields.require("ref")?;
    fields.require_id("ref")?;
    let function = FunctionId(fields.require_id("lookup")?);
    let allowed_millis = parse_millis(fields.require("allow")?)?;
    if fields.rest.len() > MAX_BODY_BYTES {
        return Err(InvalidRequest::BodyTooLarge.into());
    }
    let spec = FunctionSpec::decode(fields.get("spec").unwrap_or_default())?;
    let parameters = RequestParameters {
        class: class.to_owned(),
        function,
        key: fields.get("replay").map(str::to_owned),
        memory_mb: spec.memory_mb,
        concurrency: spec.concurrency,
        load_time: spec.load_time,
        deadline: response_deadline(now, allowed_millis),
        body: fields.rest.to_vec(),
    };
    Ok(ClientRequest { origin, correlation_id: correlation_id.to_owned(), parameters })
}

/// Reads a number of milliseconds. Digits only: the standard library's parser would take a sign.
fn parse_millis(text: &str) -> Result<u64, InvalidRequest> {
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(InvalidRequest::InvalidAllow);
    }
    text.parse().map_err(|_| InvalidRequest::InvalidAllow)
}

/// What the field `spec` says of a function.
#[derive(Debug)]
struct FunctionSpec {
    memory_mb: f64,
    concurrency: f64,
    load_time: Option<Span>,
}

impl FunctionSpec {
    /// Reads parts of the form `name:figure`, separated by semicolons; unknown names are passed over.
    fn decode(text: &str) -> Result<FunctionSpec, InvalidRequest> {
        let mut spec = FunctionSpec { memory_mb: 0.0, concurrency: 1.0, load_time: None };
        for part in text.split(';').filter(|part| !part.is_empty()) {
            let (name, figure) = part.split_once(':').ok_or(InvalidRequest::InvalidSpec)?;
            let figure = parse_figure(figure)?;
            match name {
                "memory_mb" => spec.memory_mb = figure,
                "lanes" => spec.concurrency = figure,
                "load_ms" => spec.load_time = load_time(figure),
                _ => {}
            }
        }
        Ok(spec)
    }
}

fn parse_figure(text: &str) -> Result<f64, InvalidRequest> {
    let figure: f64 = text.parse().map_err(|_| InvalidRequest::InvalidSpec)?;
    if !figure.is_finite() || figure < 0.0 {
        return Err(InvalidRequest::InvalidSpec);
    }
    Ok(figure)
}

/// Writes the response to a request.
pub fn encode_response(stream: u32, outcome: &Outcome) -> Vec<u8> {
    match outcome {
        Outcome::Served(body) => encode_response_parts(stream, ResponseCode::Served, NO_FIELDS, body),
        Outcome::Rejected { retry_after } if retry_after.0 == 0 => {
            encode_response_parts(stream, ResponseCode::Rejected, NO_FIELDS, &[])
        }
        Outcome::Rejected { retry_after } => {
            let millis = millis_rounded_up(*retry_after).to_string();
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
    let code = if ready { ResponseCode::Served } else { ResponseCode::Rejected };
    encode_frame(FrameType::ReadinessResponse, stream, &[&[code.to_wire()], NO_FIELDS])
}
