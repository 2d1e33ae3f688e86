//! Identifiers of requests at their client, attempts, load orders and health checks.

use crate::model::RequestId;

/// Where a request came from and its response goes: a client connection and a stream on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestOrigin {
    /// The client connection; never reused.
    pub connection: u64,
    /// The stream on that connection, numbered by the front end.
    pub stream: u64,
}

/// One attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Which of the request's attempts, from 0.
    pub number: u16,
}

/// One load order. The back end's tag on the wire is made from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LoadOrderId(pub u64);

/// One health check. The back end's tag on the wire is made from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HealthCheckId(pub u64);
