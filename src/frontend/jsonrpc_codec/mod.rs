//! JSON-RPC 2.0, one object or batch a line. Pure functions from and to lines.
//!
//! | method | params | result |
//! | --- | --- | --- |
//! | `call` | see [`CallParams`] | `{"body": BASE64}` |
//! | `cancel` | `id` of a call on this connection | none; the call ends with [`ErrorCode::Cancelled`] |
//! | `ready` | none | `{"ready": BOOL}` |
//!
//! Params of `call` are `class`, `function` and `allow_ms`, and the optional `ref`, `key`, `memory_mb`,
//! `lanes`, `load_ms` and `body`. `cancel` is a notification. A `call` notification is ignored, as its
//! outcome could not be reported.

mod errors;
mod request;
mod response;
#[cfg(test)]
mod tests;

pub use errors::{ErrorCode, ParamsError, RequestError};
pub use request::{CallParams, MAX_BATCH_LENGTH, Message, Request, decode_line};
pub use response::{encode_cancelled, encode_error, encode_readiness, encode_response};

/// The version of the protocol, as each message states it.
const VERSION: &str = "2.0";
