//! The settings of a site that the policy uses.

use super::{Endpoint, Span, Time, ZoneId};

/// Whether a request that may have run may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may be repeated on any worker at any time.
    Idempotent,
    /// The request may be repeated only on workers that drop a repeat of the same idempotency key, and only
    /// while they do.
    Keyed {
        /// The workers that drop a repeat.
        scope: DeduplicationScope,
        /// How long they drop a repeat, counted from the sending of the first attempt that may have run.
        window: Span,
    },
    /// The request must not be repeated.
    NonIdempotent,
}

impl Idempotency {
    /// Returns whether a repeat that arrives at `arrival` cannot cause a second run, if the first attempt
    /// that may have run was sent at `first_sent_at`.
    pub fn permits_repeat_at(self, arrival: Time, first_sent_at: Time) -> bool {
        match self {
            Idempotency::Idempotent => true,
            Idempotency::Keyed { window, .. } => arrival < first_sent_at + window,
            Idempotency::NonIdempotent => false,
        }
    }

    /// Returns whether a request that may have run on `first` may be repeated on `worker`, as far as the
    /// deduplication scope is concerned.
    ///
    /// [`Idempotency::permits_repeat_at`] decides whether it may be repeated at all.
    pub fn permits_repeat_on(self, worker: &Endpoint, first: &Endpoint) -> bool {
        match self {
            Idempotency::Keyed {
                scope: DeduplicationScope::Zone,
                ..
            } => worker.zone == first.zone,
            Idempotency::Keyed {
                scope: DeduplicationScope::Cell,
                ..
            } => worker.cell == first.cell,
            _ => true,
        }
    }

    /// Returns whether the client may repeat a request that may have run, on any worker.
    pub fn permits_client_retry(self) -> bool {
        match self {
            Idempotency::Idempotent => true,
            Idempotency::Keyed { scope, .. } => scope == DeduplicationScope::All,
            Idempotency::NonIdempotent => false,
        }
    }
}

/// The workers that drop repeats of a request with an idempotency key after one of them has received it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All workers.
    All,
    /// The workers of the same zone.
    Zone,
    /// The workers of the same cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Time within which a response earns the full weight.
    pub latency_objective: Span,
    /// How long a client waits, across all its retries.
    pub deadline: Span,
    /// Priority weight of a request relative to requests of other classes.
    pub priority_weight: f64,
    /// Fraction of the weight, 0 to 1, that a response between the objective and the deadline earns.
    pub late_value: f64,
    /// Whether a request may be sent again.
    pub idempotency: Idempotency,
}

/// A tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests per second, across all schedulers, that are within the tenant's quota.
    pub quota_per_second: f64,
}

/// Limits that protect workers that have just started, and the limit on load orders (page WIRE, "The
/// contract").
#[derive(Clone, Debug)]
pub struct SafetyLimits {
    /// Minimum fraction of its full capacity, 0 to 1, that a worker has when it starts.
    pub initial_capacity: f64,
    /// Maximum time from the start of a worker until it has its full capacity.
    pub warm_up_duration: Span,
    /// Multiple of its current capacity beyond which a worker that is warming up collapses, if it is sent
    /// more than that over `overload_window`.
    pub overload_multiple: f64,
    /// The window of `overload_multiple`.
    pub overload_window: Span,
    /// How long new work may still be sent to a worker after its drain has been announced.
    pub drain_grace: Span,
    /// Limit on load orders, if there is one.
    pub load_rate_limit: Option<LoadRateLimit>,
}

impl SafetyLimits {
    /// Returns the minimum fraction of its full capacity, 0 to 1, that a worker has at `age` after its
    /// start.
    pub fn capacity_at(&self, age: Span) -> f64 {
        self.initial_capacity
            + (1.0 - self.initial_capacity) * age.as_secs_f64() / self.warm_up_duration.as_secs_f64()
    }
}

/// A limit on load orders.
///
/// At most `burst + per_request * requests` load orders are allowed in any `window`, where `requests` are
/// those received in that window.
#[derive(Clone, Copy, Debug)]
pub struct LoadRateLimit {
    /// Number of load orders that are always allowed.
    pub burst: f64,
    /// Additional load orders per received request.
    pub per_request: f64,
    /// Window over which both are counted.
    pub window: Span,
}

impl LoadRateLimit {
    /// Returns whether one more load order is allowed after `load_orders` and `requests` in the window.
    pub fn allows(&self, load_orders: usize, requests: usize) -> bool {
        load_orders as f64 + 1.0 <= self.burst + self.per_request * requests as f64
    }
}

/// What a site permits a scheduler to do.
#[derive(Clone, Debug)]
pub struct Permissions {
    /// Maximum number of attempts of one request.
    pub max_attempts: u16,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether workers may be sent health checks.
    pub may_probe: bool,
    /// Whether workers may be ordered to load and unload functions.
    pub may_order: bool,
    /// Maximum wait before a retry that a client can be advised; `None` if clients are not advised.
    pub max_retry_after: Option<Span>,
}

/// What a worker does with a request for a function that it does not hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnMiss {
    /// The worker loads the function while the request waits.
    Load,
    /// The worker responds with [`AttemptStatus::Miss`](super::AttemptStatus::Miss); only a load order
    /// loads the function.
    Miss,
}

/// How workers load and keep functions.
#[derive(Clone, Debug)]
pub struct LoadingSettings {
    /// Minimum time for which an idle instance stays loaded, unless its memory is needed or it is unloaded.
    pub keep_alive: Span,
    /// What a worker does on a miss.
    pub on_miss: OnMiss,
    /// Memory of a worker in MB, in the order of [`KindId`](super::KindId)s.
    pub worker_memory_mb: Vec<f64>,
}

/// Costs that are deducted from the result, each as a fraction of the full result per unit.
#[derive(Clone, Debug, Default)]
pub struct Prices {
    /// Cost of all memory being held by idle instances over the whole time.
    pub idle_memory: f64,
    /// Cost of one fetch from the function store per request.
    pub store_fetch: f64,
    /// Cost of one attempt in another zone per request.
    pub cross_zone: f64,
    /// Cost of all work being wasted.
    pub wasted_work: f64,
    /// Cost of one health check or load order per request.
    pub health_check: f64,
}

/// What a value of a load report measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadMetric {
    /// Number of requests that run or wait at the worker.
    InFlight,
    /// Number of requests that wait.
    QueueLength,
    /// Processor utilization, 0 to 1.
    Utilization,
    /// Number of loads that run or wait.
    PendingLoads,
    /// Fraction of the memory, 0 to 1, that cannot be freed because it is in use or being loaded.
    PinnedMemory,
    /// A metric that the policy does not use.
    Other,
}

/// How changes of the endpoint list arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Changes arrive without a subscription.
    Pushed,
    /// Changes arrive only after a subscription.
    OnRequest,
}

/// The settings that a scheduler receives when it starts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of schedulers.
    pub scheduler_count: u32,
    /// Index of this scheduler, from 0.
    pub index: u32,
    /// Zone of this scheduler.
    pub zone: ZoneId,
    /// Minimum time between two batches of events.
    pub tick: Span,
    /// Classes of requests, in the order of [`ClassId`](super::ClassId)s.
    pub classes: Vec<RequestClass>,
    /// Tenants, in the order of [`TenantId`](super::TenantId)s; empty if there are none.
    pub tenants: Vec<Tenant>,
    /// Weight of a request beyond its tenant's quota, as a fraction, 0 to 1, of the weight of its class.
    pub over_quota_weight: f64,
    /// Limits that protect workers.
    pub safety_limits: SafetyLimits,
    /// What the site permits the scheduler to do.
    pub permissions: Permissions,
    /// How functions are loaded.
    pub loading: LoadingSettings,
    /// Costs that are deducted from the result.
    pub prices: Prices,
    /// What the values of a load report measure, in their order.
    pub load_metrics: Vec<LoadMetric>,
    /// Whether [`AttemptOutcome::function_in_flight`](super::AttemptOutcome::function_in_flight) is
    /// reported.
    pub reports_function_in_flight: bool,
    /// How changes of the endpoint list arrive.
    pub discovery: DiscoveryMode,
    /// Whether the listed weight of a worker is a lasting measure of its capacity.
    pub weights_are_capacities: bool,
}

impl Settings {
    /// Returns the value of a load report that measures `metric`, if there is one.
    pub fn load_metric(&self, metric: LoadMetric, report: &[f32]) -> Option<f64> {
        let index = self.load_metrics.iter().position(|known| *known == metric)?;
        report.get(index).map(|value| f64::from(*value))
    }
}
