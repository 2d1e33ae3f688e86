//! A scheduler of calls to workers which load programs on demand.
//!
//! An RPC client that wants the scheduler inside itself starts at [`client`]. [`scheduler`] is the scheduler without
//! sockets or a clock, [`backend`] and [`frontend`] are what workers and clients speak, [`server`] is the program.
//!
//! # The decisions
//!
//! [`Policy`] is a state machine without clock, I/O or threads: feed it events with the time at which
//! they happened, carry out the actions that it appends, and call it again when a wake that it asked for
//! is due.
//!
//! ```
//! use function_scheduler::*;
//!
//! let settings = Settings {
//!     fleet_size: 2,
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
//!         load_rate_limit: None,
//!     },
//!     permissions: Permissions { max_attempts: 5, may_cancel: true, may_probe: true, may_order: true, max_retry_after: None },
//!     loading: LoadingSettings { keep_alive: Span::from_millis(8_000), on_miss: OnMiss::Load, worker_memory_mb: vec![16_000.0] },
//!     prices: Prices::default(),
//!     load_metrics: vec![],
//!     reports_function_in_flight: false,
//!     discovery: DiscoveryMode::Pushed,
//!     weights_are_capacities: true,
//! };
//! let mut policy = Policy::new(settings, 7);
//! let mut actions = Vec::new();
//! let worker = Endpoint {
//!     worker: WorkerId(1),
//!     zone: ZoneId(0),
//!     cell: CellId(0),
//!     state: EndpointState::Ready,
//!     weight: 1.0,
//!     started_at: None,
//!     kind: KindId(0),
//! };
//! policy.handle(Time(0), Event::EndpointsUpdated(EndpointUpdateKind::Full, vec![worker]), &mut actions);
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
mod collections;
pub mod config;
pub mod discovery;
pub mod frontend;
mod model;
pub mod net;
mod policy;
pub mod scheduler;
pub mod server;
pub mod vrrp;

pub use model::*;
pub use policy::Policy;
