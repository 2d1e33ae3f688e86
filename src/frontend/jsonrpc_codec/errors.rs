//! Error codes, and the errors of lines and requests.

/// The codes of errors: those of JSON-RPC 2.0, followed by those of this protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(i64)]
pub enum ErrorCode {
    /// The line is not JSON.
    ParseError = -32700,
    /// The JSON is not a valid request.
    InvalidRequest = -32600,
    /// The method does not exist.
    MethodNotFound = -32601,
    /// The params are invalid.
    InvalidParams = -32602,
    /// The call was rejected; a retry is harmless after `data.cooldown_ms`.
    Rejected = -32001,
    /// The call failed; it may have run.
    Failed = -32002,
    /// The call's deadline has passed; `data.outcome` is `refused` (a retry is harmless) or `failed`.
    DeadlineExceeded = -32003,
    /// The client has cancelled the call.
    Cancelled = -32004,
}

/// The reason why a line, or a request in it, is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The line is not JSON.
    #[error("not JSON")]
    NotJson,
    /// The connection ended or the time limit expired within a line.
    #[error("incomplete line")]
    IncompleteLine,
    /// The line exceeds the operator's limit.
    #[error("line too long")]
    LineTooLong,
    /// A batch contains no requests.
    #[error("empty batch")]
    EmptyBatch,
    /// A batch contains more than [`MAX_BATCH_LENGTH`](super::MAX_BATCH_LENGTH) requests.
    #[error("batch too large")]
    BatchTooLarge,
    /// A request is not a JSON object.
    #[error("request is not an object")]
    NotAnObject,
    /// The id of a request has an invalid type.
    #[error("id is neither a string, a number nor null")]
    InvalidId,
    /// A request does not state version 2.0.
    #[error("not JSON-RPC 2.0")]
    UnknownVersion,
    /// The method of a request is missing or not a string.
    #[error("method is missing or not a string")]
    MissingMethod,
    /// The params of a request have an invalid type.
    #[error("params are neither an object nor an array")]
    InvalidParamsType,
    /// `cancel` was sent with an id.
    #[error("cancel must be a notification")]
    CancelWithId,
    /// A call with this id is already open on the connection.
    #[error("id is in use")]
    IdInUse,
    /// The method does not exist.
    #[error("no such method")]
    UnknownMethod,
    /// The params of a call are invalid.
    #[error(transparent)]
    Params(#[from] ParamsError),
}

impl RequestError {
    /// Returns the code of the error response.
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

/// The reason why the params of a call are invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParamsError {
    /// The params are an array.
    #[error("params must be passed by name")]
    Positional,
    /// A required parameter is missing.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A parameter is not a string.
    #[error("{0} is not a string")]
    NotText(&'static str),
    /// A parameter is not an id of 16 hexadecimal digits.
    #[error("{0} is not 16 hex digits")]
    NotAnId(&'static str),
    /// A parameter is missing or not a non-negative integer.
    #[error("{0} is missing or not a non-negative integer")]
    NotWholeNumber(&'static str),
    /// A parameter is not a finite, non-negative number.
    #[error("{0} is not a non-negative number")]
    InvalidNumber(&'static str),
    /// The body is not valid base64.
    #[error("body is not base64")]
    BodyNotBase64,
    /// The body exceeds the maximum size.
    #[error("body too large")]
    BodyTooLarge,
}
