//! Limits that hold for clients of both protocols.

use crate::model::Span;

/// Requests that may be open at a time on one connection.
pub(super) const MAX_OPEN_REQUESTS: usize = 32;
/// Largest body of a request, in bytes.
pub(super) const MAX_BODY_BYTES: usize = 16 << 10;
/// Longest time that a client may ask to wait; more counts as this.
pub(super) const MAX_TIMEOUT_MILLIS: u64 = 3_600_000;
/// Time that a response takes back to its client; the scheduler's deadlines are earlier by it.
pub(super) const RESPONSE_TRANSIT_TIME: Span = Span::from_millis(5);
/// Time within which a message that has begun must be complete. One that never ends holds a descriptor and a
/// buffer, and its sender is owed a response within 3 s.
pub(super) const MESSAGE_TIMEOUT: Span = Span::from_millis(2_000);
/// Output in bytes that may wait for a client before no more is read from it.
pub(super) const MAX_UNSENT_BYTES: usize = 256 << 10;
/// Time that a client whose connection is closing has to read the rest.
pub(super) const LINGER_TIMEOUT: Span = Span::from_millis(2_000);
