//! Error codes, and why a line or a request can't be carried out.

/// Codes of errors: the standard's, then this protocol's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(i64)]
pub enum ErrorCode {
    /// The line is not JSON.
    ParseError = -32700,
    /// It is JSON, but no request.
    InvalidRequest = -32600,
    /// There is no such method.
    MethodNotFound = -32601,
    /// The params can't be used.
    InvalidParams = -32602,
    /// Not done, and a retry is harmless after `data.cooldown_ms`.
    Rejected = -32001,
    /// Failed; the request may have run.
    Failed = -32002,
    /// The call's deadline has passed; `data.outcome` is `refused` (a retry is harmless) or `failed`.
    DeadlineExceeded = -32003,
    /// The client has cancelled the call.
    Cancelled = -32004,
}

/// Why a line, or a request in it, can't be carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The line is not JSON.
    #[error("not JSON")]
    NotJson,
    /// The connection ended, or too much time has passed, within a line.
    #[error("the line has no end")]
    IncompleteLine,
    /// The line is longer than the operator allows.
    #[error("line too long")]
    LineTooLong,
    /// A batch has no requests.
    #[error("an empty batch")]
    EmptyBatch,
    /// A batch has more than [`MAX_BATCH_LENGTH`](super::MAX_BATCH_LENGTH) requests.
    #[error("too large a batch")]
    BatchTooLarge,
    /// A request is not a JSON object.
    #[error("not an object")]
    NotAnObject,
    /// A request's id has a type that ids may not have.
    #[error("id is neither text, a number nor null")]
    InvalidId,
    /// A request does not state version 2.0.
    #[error("not JSON-RPC 2.0")]
    UnknownVersion,
    /// A request names no method.
    #[error("no method")]
    MissingMethod,
    /// A request's params have a type that params may not have.
    #[error("params are neither an object nor an array")]
    InvalidParamsType,
    /// `cancel` was sent with an id.
    #[error("cancel is a notification")]
    CancelWithId,
    /// A call of this id is open on the connection.
    #[error("id is in use")]
    IdInUse,
    /// There is no method of this name.
    #[error("no such method")]
    UnknownMethod,
    /// A call's params can't be used.
    #[error(transparent)]
    Params(#[from] ParamsError),
}

impl RequestError {
    /// The code of the error response.
    pub fn code(self) -> ErrorCode {
        match self {
            RequestError::NotJson | RequestError::IncompleteLine => ErrorCode::ParseError,
            RequestError::UnknownMethod => ErrorCode::MethodNotFound,
            RequestError::Params(_) => ErrorCode::InvalidParams,
            RequestError::LineTooLong
            | RequestError::EmptyBatch
            | RequestError::BatchTooLarge
            | RequestError::NotAnObject
            | RequestError::InvalidId
            | RequestError::UnknownVersion
            | RequestError::MissingMethod
            | RequestError::InvalidParamsType
            | RequestError::CancelWithId
            | RequestError::IdInUse => ErrorCode::InvalidRequest,
        }
    }
}

/// Why the params of a call can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParamsError {
    /// They are an array.
    #[error("params are by name here")]
    Positional,
    /// One is missing.
    #[error("no {0}")]
    Missing(&'static str),
    /// One is not text.
    #[error("{0} is not text")]
    NotText(&'static str),
    /// One is not an id.
    #[error("{0} is not 16 hex digits")]
    NotAnId(&'static str),
    /// One is missing or not a whole number.
    #[error("{0} is no whole number")]
    NotWholeNumber(&'static str),
    /// One is not a number of zero or more.
    #[error("odd {0}")]
    InvalidNumber(&'static str),
    /// The body is not in base64.
    #[error("body is not base64")]
    BodyNotBase64,
    /// The body is longer than a request's may be.
    #[error("body too large")]
    BodyTooLarge,
}
