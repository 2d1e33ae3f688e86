//! Limits for clients of both protocols.

use crate::model::Span;

/// Maximum number of open requests on one connection.
pub(super) const MAX_OPEN_REQUESTS: usize = 32;
/// Maximum size of a request body, in bytes.
pub(super) const MAX_BODY_BYTES: usize = 16 << 10;
/// Maximum timeout of a request, in milliseconds; a longer timeout is reduced to it.
pub(super) const MAX_TIMEOUT_MILLIS: u64 = 3_600_000;
/// Time that a response takes to reach its client; the scheduler's deadlines are earlier by this amount.
pub(super) const RESPONSE_TRANSIT_TIME: Span = Span::from_millis(5);
/// Time within which a started message must be complete. An unfinished message occupies a descriptor and a
/// buffer, and its sender must get a response within 3 s.
pub(super) const MESSAGE_TIMEOUT: Span = Span::from_millis(2_000);
/// Amount of unsent output, in bytes, above which no more input is read from a client.
pub(super) const MAX_UNSENT_BYTES: usize = 256 << 10;
/// Time that a client has to read the remaining output of a closing connection.
pub(super) const LINGER_TIMEOUT: Span = Span::from_millis(2_000);
