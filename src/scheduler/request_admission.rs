//! Checks on a request before the scheduler accepts it.

use super::request_table::RequestTable;
use super::{ClientRequest, Outcome, Response};
use crate::model::{ClassId, Site, Span, Time};
use thiserror::Error;

/// The reason why a request is denied without consulting the policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum RequestDenied {
    /// The request names a class that is not configured.
    #[error("unknown request class")]
    UnknownClass,
    /// Another open request has the same correlation id, so worker responses would be ambiguous.
    #[error("correlation id in use")]
    DuplicateCorrelationId,
    /// The process is shutting down and has asked its clients to disconnect.
    #[error("shutting down")]
    ShuttingDown,
    /// The client's deadline has passed.
    #[error("deadline passed")]
    DeadlinePassed,
    /// Too many requests are open, or the request bodies would take too much memory.
    #[error("too many open requests")]
    TooManyOpen,
    /// The client's connection has more requests open than its share of what is free.
    #[error("too many open requests of the connection")]
    ShareExceeded,
    /// The stream already has an open request.
    #[error("stream in use")]
    OriginInUse,
}

impl RequestDenied {
    /// Returns the final response to the denied request.
    pub(super) fn response(self, retry_after: Span) -> Response {
        let outcome = match self {
            RequestDenied::UnknownClass | RequestDenied::DuplicateCorrelationId => Outcome::Failed,
            RequestDenied::ShuttingDown
            | RequestDenied::DeadlinePassed
            | RequestDenied::TooManyOpen
            | RequestDenied::ShareExceeded
            | RequestDenied::OriginInUse => Outcome::Rejected { retry_after },
        };
        Response {
            outcome,
            expired: self == RequestDenied::DeadlinePassed,
        }
    }
}

/// Returns the class of a request that may be accepted.
///
/// # Errors
///
/// Returns the reason why the request must not be accepted.
pub(super) fn check_request(
    now: Time,
    request: &ClientRequest,
    site: &Site,
    requests: &RequestTable,
) -> Result<ClassId, RequestDenied> {
    let parameters = &request.parameters;
    let Some(class) = site.class_index(&parameters.class) else {
        return Err(RequestDenied::UnknownClass);
    };
    if requests.has_correlation_id(&request.correlation_id) {
        return Err(RequestDenied::DuplicateCorrelationId);
    }
    if parameters.deadline <= now {
        return Err(RequestDenied::DeadlinePassed);
    }
    let connection = request.origin.connection;
    if !requests.has_capacity(connection, parameters.body.len(), site.max_open_requests) {
        return Err(RequestDenied::TooManyOpen);
    }
    if !requests.share_allows(connection) {
        return Err(RequestDenied::ShareExceeded);
    }
    if requests.id_at(request.origin).is_some() {
        return Err(RequestDenied::OriginInUse);
    }
    Ok(ClassId(class as u16))
}
