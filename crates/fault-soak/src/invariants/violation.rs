//! The invariants and their violations.

use crate::request::RequestId;
use std::time::Duration;

/// An invariant that the schedulers must keep. Most invariants have an id, which `docs/promises.md` defines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Invariant {
    /// A1: every request gets a final response.
    FinalResponse,
    /// A1: a final response comes in time.
    ResponseDeadline,
    /// A1: a request gets at most one final response.
    SingleResponse,
    /// A5: a served response carries the body of a worker that executed the request.
    ResponseBody,
    /// B1: a request that may have been executed is neither retried nor rejected, unless its class permits
    /// it.
    RetrySafety,
    /// B2: no attempt starts after the client has abandoned the request.
    Cancellation,
    /// B3: the time limit that a worker is given does not exceed the client's remaining time.
    TimeLimit,
    /// B4: a request has a limited number of attempts.
    AttemptLimit,
    /// B5: a draining worker gets no new attempts or load orders.
    Draining,
    /// C1, C2: a process exits only when requested, and with success.
    ProcessExit,
    /// A process becomes ready and exits in time, holds few resources while idle, and reports no violation
    /// itself.
    ProcessHealth,
    /// The service recovers after the last fault.
    Recovery,
}

/// A violation of an invariant.
#[derive(Clone, Debug)]
pub(crate) struct Violation {
    pub(crate) invariant: Invariant,
    pub(crate) at: Duration,
    /// The request that the violation concerns, if it concerns a single one.
    pub(crate) request: Option<RequestId>,
    pub(crate) details: String,
}

impl Violation {
    /// Creates a violation that does not concern a single request.
    pub(super) fn new(invariant: Invariant, at: Duration, details: String) -> Violation {
        Violation {
            invariant,
            at,
            request: None,
            details,
        }
    }

    /// Creates a violation that concerns a request.
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
