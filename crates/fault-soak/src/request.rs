//! A request as its client and its worker know it.

use std::fmt;

/// Identifies a request; the client, the scheduler's log and the worker use the same number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct RequestId(pub(crate) u64);

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x}", self.0)
    }
}

/// Identifies a client's connection among all of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ConnectionId(pub(crate) u64);

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum RequestClass {
    /// It may be retried freely.
    Idempotent,
    /// It has an idempotency key: workers discard duplicates for a time, in which it may be retried.
    IdempotencyKey,
    /// It may be executed once at most.
    NonIdempotent,
}

impl RequestClass {
    /// The name of the class in the settings and on the wire.
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
    /// No attempt was made, or none may have been executed.
    Rejected,
    /// The request may have been executed, without a result.
    Failed,
}
