//! Decoding of a request's payload.

use super::{FrameError, decode_fields};
use crate::frontend::conversions::{load_time, response_deadline};
use crate::frontend::limits::MAX_BODY_BYTES;
use crate::model::{FunctionId, Span, Time};
use crate::scheduler::{ClientRequest, RequestOrigin, RequestParameters};

/// The reason why a well-formed request is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRequest {
    /// A field name occurs more than once.
    #[error("duplicate field")]
    DuplicateField,
    /// A required field is missing.
    #[error("missing field {0}")]
    MissingField(&'static str),
    /// The value of a field is not an id of 16 hexadecimal digits.
    #[error("{0} is not 16 hex digits")]
    InvalidId(&'static str),
    /// `allow` is not a number of milliseconds.
    #[error("allow is not a number of milliseconds")]
    InvalidAllow,
    /// The body exceeds the maximum size.
    #[error("body too large")]
    BodyTooLarge,
    /// `spec` is not a list of names and numbers.
    #[error("spec is not a list of names and numbers")]
    InvalidSpec,
}

/// The reason why a request's payload cannot be decoded into a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The frame is malformed: the connection is closed.
    #[error(transparent)]
    Malformed(#[from] FrameError),
    /// The frame is well-formed but the request is invalid: only this request fails.
    #[error(transparent)]
    Invalid(#[from] InvalidRequest),
}

/// Decodes the payload of a request received at `now`.
///
/// # Errors
///
/// Returns [`RequestError::Malformed`] if the connection cannot continue, and [`RequestError::Invalid`] if
/// only this request fails.
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
    let timeout_millis = parse_millis(fields.require("allow")?)?;
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
        deadline: response_deadline(now, timeout_millis),
        body: fields.rest.to_vec(),
    };
    Ok(ClientRequest {
        origin,
        correlation_id: correlation_id.to_owned(),
        parameters,
    })
}

/// Parses a number of milliseconds that consists of digits only.
///
/// The digits are checked because the standard library's parser accepts a leading `+`.
fn parse_millis(text: &str) -> Result<u64, InvalidRequest> {
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(InvalidRequest::InvalidAllow);
    }
    text.parse().map_err(|_| InvalidRequest::InvalidAllow)
}

/// The properties of a function from the field `spec`.
#[derive(Debug)]
struct FunctionSpec {
    memory_mb: f64,
    concurrency: f64,
    load_time: Option<Span>,
}

impl FunctionSpec {
    /// Decodes parts of the form `name:number`, separated by semicolons; ignores unknown names.
    fn decode(text: &str) -> Result<FunctionSpec, InvalidRequest> {
        let mut spec = FunctionSpec {
            memory_mb: 0.0,
            concurrency: 1.0,
            load_time: None,
        };
        for part in text.split(';').filter(|part| !part.is_empty()) {
            let (name, number) = part.split_once(':').ok_or(InvalidRequest::InvalidSpec)?;
            let number = parse_non_negative(number)?;
            match name {
                "memory_mb" => spec.memory_mb = number,
                "lanes" => spec.concurrency = number,
                "load_ms" => spec.load_time = load_time(number),
                _ => {}
            }
        }
        Ok(spec)
    }
}

fn parse_non_negative(text: &str) -> Result<f64, InvalidRequest> {
    let number: f64 = text.parse().map_err(|_| InvalidRequest::InvalidSpec)?;
    if !number.is_finite() || number < 0.0 {
        return Err(InvalidRequest::InvalidSpec);
    }
    Ok(number)
}
