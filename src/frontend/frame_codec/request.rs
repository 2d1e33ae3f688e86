//! The payload of a request.

use super::{FrameError, decode_fields};
use crate::frontend::conversions::{load_time, response_deadline};
use crate::frontend::limits::MAX_BODY_BYTES;
use crate::model::{FunctionId, Span, Time};
use crate::scheduler::{ClientRequest, RequestOrigin, RequestParameters};

/// A request that can be read but not be carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRequest {
    /// A field's name occurs more than once.
    #[error("a field stands twice")]
    DuplicateField,
    /// A field is missing.
    #[error("no {0}")]
    MissingField(&'static str),
    /// A field that has to hold an id holds something else.
    #[error("{0} is not 16 hex digits")]
    InvalidId(&'static str),
    /// `allow` is not a number of milliseconds.
    #[error("allow is no number")]
    InvalidAllow,
    /// The body is longer than a request's may be.
    #[error("body too large")]
    BodyTooLarge,
    /// `spec` is not a list of names and numbers.
    #[error("odd spec")]
    InvalidSpec,
}

/// Why a request's payload gives no request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The frame itself can't be read: the connection ends.
    #[error(transparent)]
    Malformed(#[from] FrameError),
    /// The frame can be read but not be carried out: this request has failed.
    #[error(transparent)]
    Invalid(#[from] InvalidRequest),
}

/// Reads the payload of a request received at `now`.
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
    /// Reads parts of the form `name:number`, separated by semicolons; unknown names are passed over.
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
