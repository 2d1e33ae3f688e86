//! Events: the input of the policy.

use super::{
    AttemptOutcome, ClassId, Endpoint, EndpointUpdateKind, FunctionId, HealthCheckStatus, LoadOutcome,
    RequestId, Span, TenantId, WorkerId,
};

/// A request that was received.
#[derive(Clone, Copy, Debug)]
pub struct IncomingRequest {
    /// Id of the request.
    pub id: RequestId,
    /// The requested function.
    pub function: FunctionId,
    /// Class of the request.
    pub class: ClassId,
    /// Tenant of the request.
    pub tenant: TenantId,
    /// Time until the client stops waiting.
    pub remaining: Span,
    /// Memory of one loaded instance, in MB.
    pub memory_mb: f64,
    /// Number of requests that one instance runs at a time.
    pub concurrency: f64,
    /// Usual time of a load, if known.
    pub load_time: Option<Span>,
}

/// An event that a scheduler handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// Discovery has provided an update of the endpoint list.
    EndpointsUpdated {
        /// How the update relates to the current list.
        kind: EndpointUpdateKind,
        /// The entries; empty after a failure.
        endpoints: Vec<Endpoint>,
    },
    /// A request has been received and needs exactly one final response.
    RequestReceived(IncomingRequest),
    /// An attempt has ended.
    AttemptFinished(AttemptOutcome),
    /// The client of a request has disconnected; the request needs no response any more.
    ClientDisconnected(RequestId),
    /// A load order has ended.
    LoadFinished(LoadOutcome),
    /// A health check has ended.
    HealthCheckFinished {
        /// Worker that was checked.
        worker: WorkerId,
        /// Result of the check.
        status: HealthCheckStatus,
    },
    /// The process is shutting down: no open request may take longer than this from now.
    DeadlinesLimited(Span),
    /// The delay of an [`Action::SetTimer`](super::Action::SetTimer) has passed.
    TimerFired,
}
