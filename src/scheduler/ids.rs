//! Identifiers of request origins, attempts, load orders and health checks.

use crate::model::{ConnectionId, RequestId, StreamId};

/// The client connection and stream that a request came from and its response goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestOrigin {
    /// The client connection.
    pub connection: ConnectionId,
    /// The stream on that connection.
    pub stream: StreamId,
}

/// Identifies an attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// Request that the attempt belongs to.
    pub request: RequestId,
    /// The number of the attempt among the request's attempts, from 0.
    pub number: u16,
}

/// Identifies a load order. The backend derives the correlation id on the wire from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LoadOrderId(pub u64);

/// Identifies a health check. The backend derives the correlation id on the wire from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HealthCheckId(pub u64);
