//! The site's settings as the policy uses them.

use super::{Endpoint, Span, Time, ZoneId};

/// Whether a request that may have run may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// To any worker, at any time.
    Idempotent,
    /// Only to workers that drop a repeat of the same idempotency key, and only while they do.
    Keyed {
        /// The workers that drop a repeat.
        scope: DeduplicationScope,
        /// For how long they do, from the time at which the first attempt that may have run was sent.
        window: Span,
    },
    /// Never.
    NonIdempotent,
}

impl Idempotency {
    /// Whether a repeat that arrives at `arrival` cannot run twice, where the first attempt that may have run
    /// was sent at `first_sent_at`.
    pub fn permits_repeat_at(self, arrival: Time, first_sent_at: Time) -> bool {
        match self {
            Idempotency::Idempotent => true,
            Idempotency::Keyed { window, .. } => arrival < first_sent_at + window,
            Idempotency::NonIdempotent => false,
        }
    }

    /// Whether `worker` drops a repeat of what `first` may have run, or the repeat does no harm.
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

    /// Whether the client may send a request again that may have run, to any worker.
    pub fn permits_client_retry(self) -> bool {
        match self {
            Idempotency::Idempotent => true,
            Idempotency::Keyed { scope, .. } => scope == DeduplicationScope::All,
            Idempotency::NonIdempotent => false,
        }
    }
}

/// The workers that drop repeats of a keyed request which one of them has received.
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
    /// A response within this time earns the full weight.
    pub latency_objective: Span,
    /// How long a client waits, over all its retries.
    pub deadline: Span,
    /// Priority weight of a request in relation to those of other classes.
    pub priority_weight: f64,
    /// Fraction of the weight, 0 to 1, that a response between the objective and the deadline earns.
    pub late_value: f64,
    /// Whether a request may be sent again.
    pub idempotency: Idempotency,
}

/// A tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second, over all schedulers, that are within its quota.
    pub quota_per_second: f64,
}

/// Limits that protect workers which have just started, and the workers' rate of loads (page WIRE, "The
/// contract").
#[derive(Clone, Debug)]
pub struct SafetyLimits {
    /// Least fraction of its full capacity, 0 to 1, that a worker has when it starts.
    pub initial_capacity: f64,
    /// Longest time until a worker that has started has its full capacity.
    pub warm_up_duration: Span,
    /// A worker that is warming up collapses when it is sent more than this multiple of its present capacity
    /// over `overload_window`.
    pub overload_multiple: f64,
    /// The window of `overload_multiple`.
    pub overload_window: Span,
    /// How long new work may still be sent to a worker after its drain has been notified.
    pub drain_grace: Span,
    /// Limit on load orders, where there is one.
    pub load_rate_limit: Option<LoadRateLimit>,
}

impl SafetyLimits {
    /// The fraction of its full capacity, 0 to 1, that a worker has at least, `age` after its start.
    pub fn capacity_at(&self, age: Span) -> f64 {
        self.initial_capacity
            + (1.0 - self.initial_capacity) * age.as_secs_f64() / self.warm_up_duration.as_secs_f64()
    }
}

/// A limit on load orders: at most `burst + per_request * requests` of them in any `window`, where `requests`
/// are those received in that window.
#[derive(Clone, Copy, Debug)]
pub struct LoadRateLimit {
    /// Load orders that are always allowed.
    pub burst: f64,
    /// Further load orders for each request received.
    pub per_request: f64,
    /// The window over which both are counted.
    pub window: Span,
}

impl LoadRateLimit {
    /// Whether one more load order is allowed after so many load orders and requests in the window.
    pub fn allows(&self, load_orders: usize, requests: usize) -> bool {
        load_orders as f64 + 1.0 <= self.burst + self.per_request * requests as f64
    }
}

/// What a site permits a scheduler to do.
#[derive(Clone, Debug)]
pub struct Permissions {
    /// Most attempts of one request.
    pub max_attempts: u16,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Workers may be sent health checks.
    pub may_probe: bool,
    /// Workers may be ordered to load and unload functions.
    pub may_order: bool,
    /// Longest wait before a retry that a client can be advised; absent where clients are not advised.
    pub max_retry_after: Option<Span>,
}

/// What a worker does with a request for a function that it does not hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnMiss {
    /// It loads the function while the request waits.
    Load,
    /// It responds with [`AttemptStatus::Miss`](super::AttemptStatus::Miss); only a load order loads the function.
    Miss,
}

/// How workers load and keep functions.
#[derive(Clone, Debug)]
pub struct LoadingSettings {
    /// Least time for which an idle instance stays loaded, unless its memory is needed or it is unloaded.
    pub keep_alive: Span,
    /// What a worker does on a miss.
    pub on_miss: OnMiss,
    /// Memory of a worker in MB, in the order of [`KindId`](super::KindId)s.
    pub worker_memory_mb: Vec<f64>,
}

/// What is taken off the result, as fractions of the whole, for each unit.
#[derive(Clone, Debug, Default)]
pub struct Prices {
    /// All memory held by instances that run nothing, over the whole time.
    pub idle_memory: f64,
    /// One fetch from the function store for each request.
    pub store_fetch: f64,
    /// One attempt in another zone for each request.
    pub cross_zone: f64,
    /// All work done for nothing.
    pub wasted_work: f64,
    /// One health check or load order for each request.
    pub health_check: f64,
}

/// What a value of a load report measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadMetric {
    /// Requests that run or wait at the worker.
    InFlight,
    /// Requests that wait.
    QueueLength,
    /// Utilization of the processor, 0 to 1.
    Utilization,
    /// Loads that run or wait.
    PendingLoads,
    /// Fraction of the memory, 0 to 1, that cannot be freed: it is in use or being loaded.
    PinnedMemory,
    /// Something that the policy does not use.
    Other,
}

/// How changes of the endpoint list arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Without being asked for.
    Pushed,
    /// Only after a subscription.
    OnRequest,
}

/// The settings that a scheduler gets at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How many schedulers there are.
    pub scheduler_count: u32,
    /// The number of this one, from 0.
    pub index: u32,
    /// The zone of this one.
    pub zone: ZoneId,
    /// Shortest time between two batches of events.
    pub tick: Span,
    /// Classes of requests, in the order of [`ClassId`](super::ClassId)s.
    pub classes: Vec<RequestClass>,
    /// Tenants, in the order of [`TenantId`](super::TenantId)s; empty where there are none.
    pub tenants: Vec<Tenant>,
    /// Weight of a request beyond its tenant's quota, as a fraction, 0 to 1, of its class's.
    pub over_quota_weight: f64,
    /// Limits that protect workers.
    pub safety_limits: SafetyLimits,
    /// What is permitted.
    pub permissions: Permissions,
    /// How functions are loaded.
    pub loading: LoadingSettings,
    /// What is taken off the result.
    pub prices: Prices,
    /// What the values of a load report measure, in their order.
    pub load_metrics: Vec<LoadMetric>,
    /// Whether [`AttemptOutcome::function_in_flight`](super::AttemptOutcome::function_in_flight) is
    /// reported.
    pub reports_function_in_flight: bool,
    /// How changes of the endpoint list arrive.
    pub discovery: DiscoveryMode,
    /// Whether a worker's listed weight is a lasting measure of its capacity.
    pub weights_are_capacities: bool,
}

impl Settings {
    /// The value of a load report that measures `metric`, if there is one.
    pub fn load_metric(&self, metric: LoadMetric, report: &[f32]) -> Option<f64> {
        let place = self.load_metrics.iter().position(|known| *known == metric)?;
        report.get(place).map(|value| f64::from(*value))
    }
}
