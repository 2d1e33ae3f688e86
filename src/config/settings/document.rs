//! Deserialized form of the settings. Only this module uses the key names of the wire format, which
//! `docs/configuration.md` describes.
//!
//! The `expecting` attributes keep the texts of type errors independent of the type names. Unknown keys are
//! ignored. Times are in nanoseconds.

use serde::Deserialize;

/// Default maximum number of concurrent attempts per connection.
const DEFAULT_ATTEMPTS_PER_CONNECTION: usize = 32;
/// Default maximum number of open requests.
const DEFAULT_MAX_OPEN_REQUESTS: usize = 4096;
/// Default time after which workers close idle connections, in nanoseconds: 15 s.
const DEFAULT_IDLE_TIMEOUT_NS: u64 = 15_000_000_000;
/// Default time limit for establishing a connection, in nanoseconds: 250 ms.
const DEFAULT_CONNECT_TIMEOUT_NS: u64 = 250_000_000;
/// Default time limit of a load order, in nanoseconds: 10 s.
const DEFAULT_LOAD_TIMEOUT_NS: u64 = 10_000_000_000;

/// Default grace period in which a draining worker may still be given new work, in nanoseconds: 500 ms.
const DEFAULT_DRAIN_GRACE_NS: u64 = 500_000_000;

#[derive(Deserialize)]
#[serde(expecting = "struct Text")]
pub(super) struct SettingsDocument {
    #[serde(rename = "fleetSize")]
    pub(super) scheduler_count: u32,
    pub(super) index: u32,
    #[serde(default)]
    pub(super) zone: u8,
    #[serde(default, rename = "tickNs")]
    pub(super) tick_ns: u64,
    pub(super) classes: Vec<ClassDocument>,
    #[serde(default, rename = "accounts")]
    pub(super) tenants: Vec<TenantDocument>,
    #[serde(rename = "overShareWorth")]
    pub(super) over_quota_weight: Option<f64>,
    #[serde(rename = "contract")]
    pub(super) safety_limits: SafetyLimitsDocument,
    #[serde(rename = "bounds")]
    pub(super) permissions: PermissionsDocument,
    #[serde(rename = "familyInfo")]
    pub(super) loading: LoadingDocument,
    #[serde(default)]
    pub(super) prices: PricesDocument,
    #[serde(default, rename = "loadInfo")]
    pub(super) load_report: LoadReportDocument,
    #[serde(default)]
    pub(super) discovery: String,
    #[serde(default, rename = "weightSource")]
    pub(super) weight_source: String,
    #[serde(default)]
    pub(super) zones: Vec<String>,
    #[serde(default)]
    pub(super) kinds: Vec<String>,
}

#[derive(Deserialize)]
#[serde(expecting = "struct ClassText")]
pub(super) struct ClassDocument {
    #[serde(default)]
    pub(super) name: String,
    #[serde(rename = "objectiveNs")]
    pub(super) latency_objective_ns: u64,
    #[serde(rename = "deadlineNs")]
    pub(super) deadline_ns: u64,
    #[serde(rename = "effect")]
    pub(super) idempotency: String,
    #[serde(rename = "group")]
    pub(super) deduplication_scope: Option<String>,
    #[serde(rename = "repeatWindowNs")]
    pub(super) deduplication_window_ns: Option<u64>,
    #[serde(rename = "worth")]
    pub(super) priority_weight: Option<f64>,
    #[serde(default, rename = "lateShare")]
    pub(super) late_value: f64,
}

#[derive(Deserialize)]
#[serde(expecting = "struct Account")]
pub(super) struct TenantDocument {
    #[serde(default, rename = "allowancePerS")]
    pub(super) quota_per_second: f64,
}

#[derive(Deserialize)]
#[serde(expecting = "struct Contract")]
pub(super) struct SafetyLimitsDocument {
    #[serde(rename = "coldFrom")]
    pub(super) initial_capacity: f64,
    #[serde(rename = "coldNs")]
    pub(super) warm_up_duration_ns: u64,
    #[serde(rename = "fallMultiple")]
    pub(super) overload_multiple: f64,
    #[serde(rename = "fallNs")]
    pub(super) overload_window_ns: u64,
    #[serde(default = "default_drain_grace_ns", rename = "drainGraceNs")]
    pub(super) drain_grace_ns: u64,
}

#[derive(Deserialize)]
#[serde(expecting = "struct Bounds")]
pub(super) struct PermissionsDocument {
    #[serde(rename = "mostTries")]
    pub(super) max_attempts: u16,
    #[serde(default, rename = "mayCancel")]
    pub(super) may_cancel: bool,
    #[serde(default, rename = "probes")]
    pub(super) may_probe: bool,
    #[serde(default, rename = "retryAfter")]
    pub(super) may_send_retry_after: bool,
    #[serde(default, rename = "maxRetryAfterNs")]
    pub(super) max_retry_after_ns: u64,
    #[serde(default = "default_attempts_per_connection", rename = "multiplex")]
    pub(super) attempts_per_connection: usize,
    #[serde(default = "default_max_open_requests", rename = "maxOpen")]
    pub(super) max_open_requests: usize,
    #[serde(default = "default_idle_timeout_ns", rename = "idleCloseNs")]
    pub(super) idle_timeout_ns: u64,
    #[serde(default = "default_connect_timeout_ns", rename = "connectTimeoutNs")]
    pub(super) connect_timeout_ns: u64,
}

#[derive(Deserialize)]
#[serde(expecting = "struct FamilyInfo")]
pub(super) struct LoadingDocument {
    #[serde(rename = "keepNs")]
    pub(super) keep_alive_ns: u64,
    #[serde(rename = "notLoaded")]
    pub(super) on_miss: String,
    #[serde(default, rename = "mayOrder")]
    pub(super) may_order: bool,
    #[serde(default, rename = "memoryMbByKind")]
    pub(super) worker_memory_mb: Vec<f64>,
    /// Window of the load rate limit; zero disables the limit.
    #[serde(rename = "loadSpanNs")]
    pub(super) rate_limit_window_ns: u64,
    #[serde(default, rename = "loadsAnyway")]
    pub(super) rate_limit_burst: f64,
    #[serde(default, rename = "loadPart")]
    pub(super) rate_limit_per_request: f64,
    #[serde(default, rename = "priceOfIdle")]
    pub(super) idle_memory_price: f64,
    #[serde(default, rename = "saysCompany")]
    pub(super) reports_function_in_flight: bool,
    #[serde(default = "default_load_timeout_ns", rename = "loadWaitNs")]
    pub(super) load_timeout_ns: u64,
}

#[derive(Deserialize, Default)]
#[serde(default, expecting = "struct PricesText")]
pub(super) struct PricesDocument {
    #[serde(rename = "origin")]
    pub(super) store_fetch: f64,
    #[serde(rename = "crossZone")]
    pub(super) cross_zone: f64,
    #[serde(rename = "waste")]
    pub(super) wasted_work: f64,
    #[serde(rename = "probe")]
    pub(super) health_check: f64,
}

#[derive(Deserialize, Default)]
#[serde(default, expecting = "struct LoadInfo")]
pub(super) struct LoadReportDocument {
    #[serde(rename = "names")]
    pub(super) metric_names: Vec<String>,
}

fn default_attempts_per_connection() -> usize {
    DEFAULT_ATTEMPTS_PER_CONNECTION
}

fn default_max_open_requests() -> usize {
    DEFAULT_MAX_OPEN_REQUESTS
}

fn default_idle_timeout_ns() -> u64 {
    DEFAULT_IDLE_TIMEOUT_NS
}

fn default_connect_timeout_ns() -> u64 {
    DEFAULT_CONNECT_TIMEOUT_NS
}

fn default_load_timeout_ns() -> u64 {
    DEFAULT_LOAD_TIMEOUT_NS
}

fn default_drain_grace_ns() -> u64 {
    DEFAULT_DRAIN_GRACE_NS
}
