//! A scheduler of requests for functions: it places each request on a worker, has workers load and unload the
//! functions that are called, and gives each request one final response in time.
//!
//! # Layers
//!
//! A module imports only from modules further down this list.
//!
//! - [`server`] is the program: the event loop that drives all modules below. [`client`] embeds the scheduler
//!   in an RPC client, without frontends and discovery.
//! - [`config`] reads the platform's configuration, the site settings and the operator's file.
//! - [`frontend`] implements the protocols for clients, [`backend`] the protocols for workers, and
//!   [`discovery`] follows the endpoint list.
//! - [`runtime`] combines the reactor with the state that all connections share, most notably the scheduler.
//! - [`net`] contains the reactor, buffered streams and the clock. It does not depend on the scheduler, and
//!   the scheduler does not depend on it.
//! - [`scheduler`] tracks the requests, attempts, load orders and timers, and executes the policy's actions.
//!   It has neither sockets nor a clock.
//! - [`Policy`] makes the scheduling decisions. The types that it shares with other modules are exported from
//!   the crate root.
//! - [`logging`] writes the log of the process without blocking the event loop.
//! - [`simulator_codec`] implements the simulator's protocol, over which the program `function-scheduler-sim`
//!   serves the same policy.
//! - [`vrrp`] elects one of several servers. Like the policy, it has no clock and performs no I/O.
//!
//! # The policy
//!
//! [`Policy`] is a state machine without clock, I/O or threads. Its callers pass it [`Event`]s with the time
//! at which they happened, execute the [`Action`]s that it appends, and notify it when a timer that it has
//! set expires.
//!
//! ```
//! use function_scheduler::*;
//!
//! let settings = Settings {
//!     scheduler_count: 2,
//!     index: 0,
//!     zone: ZoneId(0),
//!     tick: Span::from_millis(2),
//!     classes: vec![RequestClass {
//!         latency_objective: Span::from_millis(400),
//!         deadline: Span::from_millis(2500),
//!         priority_weight: 1.0,
//!         late_value: 0.1,
//!         idempotency: Idempotency::Idempotent,
//!     }],
//!     tenants: vec![],
//!     over_quota_weight: 1.0,
//!     safety_limits: SafetyLimits {
//!         initial_capacity: 0.2,
//!         warm_up_duration: Span::from_millis(18_000),
//!         overload_multiple: 2.5,
//!         overload_window: Span::from_millis(2_000),
//!         drain_grace: Span::from_millis(500),
//!         load_rate_limit: None,
//!     },
//!     permissions: Permissions {
//!         max_attempts: 5,
//!         may_cancel: true,
//!         may_probe: true,
//!         may_order: true,
//!         max_retry_after: None,
//!     },
//!     loading: LoadingSettings {
//!         keep_alive: Span::from_millis(8_000),
//!         on_miss: OnMiss::Load,
//!         worker_memory_mb: vec![16_000.0],
//!     },
//!     prices: Prices::default(),
//!     load_metrics: vec![],
//!     reports_function_in_flight: false,
//!     discovery: DiscoveryMode::Pushed,
//!     weights_are_capacities: true,
//! };
//! let mut policy = Policy::new(settings, 7);
//! let mut actions = Vec::new();
//! let endpoint = Endpoint {
//!     worker: WorkerId(1),
//!     zone: ZoneId(0),
//!     cell: CellId(0),
//!     state: EndpointState::Ready,
//!     source: EndpointSource::Discovery,
//!     weight: 1.0,
//!     started_at: None,
//!     kind: KindId(0),
//! };
//! let update = Event::EndpointsUpdated { kind: EndpointUpdateKind::Snapshot, endpoints: vec![endpoint] };
//! policy.handle(Time(0), update, &mut actions);
//! actions.clear();
//! let request = IncomingRequest {
//!     id: RequestId(1),
//!     function: FunctionId(9),
//!     class: ClassId(0),
//!     tenant: TenantId(0),
//!     remaining: Span::from_millis(2500),
//!     memory_mb: 400.0,
//!     concurrency: 2.0,
//!     load_time: None,
//! };
//! policy.handle(Time(1_000_000), Event::RequestReceived(request), &mut actions);
//! assert!(matches!(actions[0], Action::Send { worker: WorkerId(1), .. }));
//! ```
#![forbid(unsafe_code)]

pub mod backend;
pub mod client;
mod cluster;
mod collections;
pub mod config;
pub mod discovery;
pub mod frontend;
pub mod logging;
mod model;
pub mod net;
mod policy;
pub mod runtime;
pub mod scheduler;
pub mod server;
pub mod simulator_codec;
mod stats;
pub mod vrrp;

pub use model::{
    Action, AttemptOutcome, AttemptStatus, CellId, ClassId, ConnectionId, DeduplicationScope, DiscoveryMode,
    Endpoint, EndpointSource, EndpointState, EndpointUpdateKind, Event, FunctionId, HealthCheckStatus,
    Idempotency, IncomingRequest, InstanceState, KindId, LoadMetric, LoadOutcome, LoadRateLimit, LoadStatus,
    LoadingSettings, OnMiss, Permissions, Prices, RejectionCause, RequestClass, RequestId, SafetyLimits,
    Settings, Site, Span, StreamId, Tenant, TenantId, Time, WatchStatus, WorkerId, ZoneId,
};
pub use policy::{ExpiredLease, Policy, WorkerUnavailable};
