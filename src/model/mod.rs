//! Types shared by the policy and the code around it: identifiers, time, settings, the endpoint list,
//! events and actions.
//!
//! They only carry data and make no decisions.

mod actions;
mod endpoints;
mod events;
mod ids;
mod outcomes;
mod settings;
mod site;
#[cfg(test)]
mod tests;
mod time;

pub use actions::{Action, RejectionCause};
pub use endpoints::{Endpoint, EndpointSource, EndpointState, EndpointUpdateKind, WatchStatus};
pub use events::{Event, IncomingRequest};
pub use ids::{
    CellId, ClassId, ConnectionId, FunctionId, KindId, RequestId, StreamId, TenantId, WorkerId, ZoneId,
};
pub use outcomes::{
    AttemptOutcome, AttemptStatus, HealthCheckStatus, InstanceState, LoadOutcome, LoadStatus,
};
pub use settings::{
    DeduplicationScope, DiscoveryMode, Idempotency, LoadMetric, LoadRateLimit, LoadingSettings, OnMiss,
    Permissions, Prices, RequestClass, SafetyLimits, Settings, Tenant,
};
pub use site::Site;
pub use time::{Span, Time};
