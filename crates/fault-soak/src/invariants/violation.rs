//! Invariants and their violations.

use crate::request::RequestId;
use std::time::Duration;

/// An invariant, with its id in `docs/promises.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Invariant {
    /// A1: every request gets a final response.
    FinalResponse,
    /// A1: a final response comes in time.
    ResponseDeadline,
    /// A1: a request gets one final response at most.
    SingleResponse,
    /// A5: a served response has the body of a worker that has executed the request.
    ResponseBody,
    /// B1: a request that may have been executed is neither retried nor rejected, unless its class permits
    /// that.
    RetrySafety,
    /// B2: no attempt starts after the client has abandoned the request.
    Cancellation,
    /// B3: a worker is given no more time than the client has left.
    TimeLimit,
    /// B4: a request has a limited number of attempts.
    AttemptLimit,
    /// B5: a draining worker gets no new work.
    Draining,
    /// C1, C2: a process exits on request only, and with success.
    ProcessExit,
    /// A process is ready and gone in time, holds little at rest, and reports no violation itself.
    ProcessHealth,
    /// Service comes back after the last fault.
    Recovery,
}

/// A violation of an invariant.
#[derive(Clone, Debug)]
pub(crate) struct Violation {
    pub(crate) invariant: Invariant,
    pub(crate) at: Duration,
    /// The request that it is about, if it is about one.
    pub(crate) request: Option<RequestId>,
    pub(crate) details: String,
}

impl Violation {
    /// A violation that is not about one request.
    pub(super) fn new(invariant: Invariant, at: Duration, details: String) -> Violation {
        Violation {
            invariant,
            at,
            request: None,
            details,
        }
    }

    /// A violation that is about a request.
    pub(super) fn of_request(
        invariant: Invariant,
        request: RequestId,
        at: Duration,
        details: String,
    ) -> Violation {
        Violation {
            request: Some(request),
            ..Violation::new(invariant, at, details)
        }
    }
}
