//! Identifiers of requests at their client, attempts, load orders and health checks.

use crate::model::{ConnectionId, RequestId, StreamId};

/// Where a request came from and its response goes: a client connection and a stream on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestOrigin {
    /// The client connection.
    pub connection: ConnectionId,
    /// The stream on that connection.
    pub stream: StreamId,
}

/// One attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Which of the request's attempts, from 0.
    pub number: u16,
}

/// One load order. The backend derives its correlation id on the wire from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LoadOrderId(pub u64);

/// One health check. The backend derives its correlation id on the wire from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HealthCheckId(pub u64);
