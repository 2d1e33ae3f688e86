//! Types that the policy shares with the code around it: identifiers, time, settings, the endpoint list,
//! events and actions. They carry data only and decide nothing.

mod actions;
mod endpoints;
mod events;
mod ids;
mod settings;
mod site;
#[cfg(test)]
mod tests;
mod time;

pub use actions::Action;
pub use endpoints::{Endpoint, EndpointState, EndpointUpdateKind};
pub use events::{AttemptOutcome, Event, IncomingRequest, InstanceState, LoadOutcome, Status};
pub use ids::{CellId, ClassId, FunctionId, KindId, RequestId, TenantId, WorkerId, ZoneId};
pub use settings::{
    DeduplicationScope, DiscoveryMode, Idempotency, LoadMetric, LoadRateLimit, LoadingSettings, OnMiss,
    Permissions, Prices, RequestClass, SafetyLimits, Settings, Tenant,
};
pub use site::Site;
pub use time::{Span, Time};
