//! JSON-RPC 2.0 with one object or batch per line, encoded and decoded by pure functions.
//!
//! | method | params | result |
//! | --- | --- | --- |
//! | `call` | see [`CallParams`] | `{"body": BASE64}` |
//! | `cancel` | `id` of a call on this connection | none; the call ends with [`ErrorCode::Cancelled`] |
//! | `ready` | none | `{"ready": BOOL}` |
//!
//! The params of `call` are `class`, `function` and `allow_ms`, and the optional `ref`, `key`, `memory_mb`,
//! `lanes`, `load_ms` and `body`. `cancel` must be a notification. A `call` notification is ignored, because
//! its outcome could not be reported.

mod errors;
mod request;
mod response;
#[cfg(test)]
mod tests;

pub use errors::{ErrorCode, ParamsError, RequestError};
pub use request::{CallParams, MAX_BATCH_LENGTH, Message, Request, decode_line};
pub use response::{encode_cancelled, encode_error, encode_readiness, encode_response};

/// The protocol version, which every message states.
const VERSION: &str = "2.0";
