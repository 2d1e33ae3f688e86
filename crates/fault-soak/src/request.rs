//! Types for the properties of a request, which its client, its worker and the test oracle use.

use std::fmt;

/// Identifies a request to the client and the worker, and in the scheduler's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct RequestId(pub(crate) u64);

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x}", self.0)
    }
}

/// Identifies a client connection within a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ConnectionId(pub(crate) u64);

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum RequestClass {
    /// The request may be executed any number of times.
    Idempotent,
    /// The request has an idempotency key. It may be retried during the deduplication window, in which
    /// workers discard duplicates.
    IdempotencyKey,
    /// The request may be executed at most once.
    NonIdempotent,
}

impl RequestClass {
    /// Returns the name of the class in the settings and on the wire.
    pub(crate) fn service_name(self) -> &'static str {
        match self {
            RequestClass::Idempotent => "match",
            RequestClass::IdempotencyKey => "submit",
            RequestClass::NonIdempotent => "pay",
        }
    }
}

/// The status of a final response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ResponseStatus {
    /// The response carries the worker's result.
    Served,
    /// The request was not executed: no attempt was made, or no attempt can have been executed.
    Rejected,
    /// The request may have been executed, but there is no result.
    Failed,
}
