//! Events: the input of the policy.

use super::{
    AttemptOutcome, ClassId, Endpoint, EndpointUpdateKind, FunctionId, HealthCheckStatus, LoadOutcome,
    RequestId, Span, TenantId, WorkerId,
};

/// A request that has been received.
#[derive(Clone, Copy, Debug)]
pub struct IncomingRequest {
    /// Its id.
    pub id: RequestId,
    /// The function that it calls.
    pub function: FunctionId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// Time until its client gives up.
    pub remaining: Span,
    /// Memory of one loaded instance, in MB.
    pub memory_mb: f64,
    /// Requests that one instance runs at a time.
    pub concurrency: f64,
    /// Usual time of a load, where known.
    pub load_time: Option<Span>,
}

/// What happens to a scheduler.
#[derive(Clone, Debug)]
pub enum Event {
    /// Discovery has given an update of the endpoint list.
    EndpointsUpdated {
        /// How the update relates to the list that the policy holds.
        kind: EndpointUpdateKind,
        /// The entries; none after a failure.
        endpoints: Vec<Endpoint>,
    },
    /// A request has been received; it is owed one final response.
    RequestReceived(IncomingRequest),
    /// An attempt has ended.
    AttemptFinished(AttemptOutcome),
    /// A request's client has left; the request is owed nothing more.
    ClientDisconnected(RequestId),
    /// A load order has ended.
    LoadFinished(LoadOutcome),
    /// A health check has ended.
    HealthCheckFinished {
        /// The worker that was checked.
        worker: WorkerId,
        /// How it ended.
        status: HealthCheckStatus,
    },
    /// The time of an [`Action::SetTimer`](super::Action::SetTimer) has come.
    TimerFired,
}
