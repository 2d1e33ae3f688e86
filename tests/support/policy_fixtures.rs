//! Fixtures for tests of the policy: settings, endpoints, requests and outcomes.

use function_scheduler::{
    AttemptOutcome, AttemptStatus, CellId, ClassId, DeduplicationScope, DiscoveryMode, Endpoint,
    EndpointSource, EndpointState, FunctionId, Idempotency, IncomingRequest, InstanceState, KindId,
    LoadingSettings, OnMiss, Permissions, Prices, RequestClass, RequestId, SafetyLimits, Settings, Span,
    TenantId, Time, WorkerId, ZoneId,
};

/// The class of [`test_settings`] whose requests may always be retried.
pub(crate) const IDEMPOTENT: ClassId = ClassId(0);
/// The class of [`test_settings`] whose requests may be retried in one cell within a deduplication window of
/// 1 s.
pub(crate) const KEYED: ClassId = ClassId(1);
/// The class of [`test_settings`] whose requests must not be retried once they may have run.
pub(crate) const NON_IDEMPOTENT: ClassId = ClassId(2);

/// The latency of each attempt, unless a test sets another one.
const ATTEMPT_LATENCY: Span = Span::from_millis(100);

/// Returns the settings of a single scheduler with one class of each kind of idempotency.
pub(crate) fn test_settings(on_miss: OnMiss) -> Settings {
    let deduplication_window = Span::from_millis(1000);
    let keyed = Idempotency::Keyed {
        scope: DeduplicationScope::Cell,
        window: deduplication_window,
    };
    Settings {
        scheduler_count: 1,
        index: 0,
        zone: ZoneId(0),
        tick: Span::from_millis(2),
        classes: vec![
            class(Idempotency::Idempotent),
            class(keyed),
            class(Idempotency::NonIdempotent),
        ],
        tenants: vec![],
        over_quota_weight: 1.0,
        safety_limits: SafetyLimits {
            initial_capacity: 0.2,
            warm_up_duration: Span::from_millis(18_000),
            overload_multiple: 2.5,
            overload_window: Span::from_millis(2_000),
            drain_grace: Span::from_millis(500),
            load_rate_limit: None,
        },
        permissions: Permissions {
            max_attempts: 5,
            may_cancel: true,
            may_probe: true,
            may_order: true,
            max_retry_after: None,
        },
        loading: LoadingSettings {
            keep_alive: Span::from_millis(8_000),
            on_miss,
            worker_memory_mb: vec![8_000.0],
        },
        prices: Prices::default(),
        load_metrics: vec![],
        reports_function_in_flight: false,
        discovery: DiscoveryMode::Pushed,
        weights_are_capacities: false,
    }
}

fn class(idempotency: Idempotency) -> RequestClass {
    RequestClass {
        latency_objective: Span::from_millis(800),
        deadline: Span::from_millis(2500),
        priority_weight: 1.0,
        late_value: 0.1,
        idempotency,
    }
}

/// Returns the endpoint of a ready worker in one of two cells.
pub(crate) fn ready_endpoint(worker: u64) -> Endpoint {
    Endpoint {
        worker: WorkerId(worker),
        zone: ZoneId(0),
        cell: CellId((worker % 2) as u16),
        state: EndpointState::Ready,
        source: EndpointSource::Discovery,
        weight: 1.0,
        started_at: None,
        kind: KindId(0),
    }
}

/// Returns the endpoint of a ready worker that started at this time.
pub(crate) fn endpoint_started_at(worker: u64, started_at: Time) -> Endpoint {
    Endpoint {
        started_at: Some(started_at),
        ..ready_endpoint(worker)
    }
}

/// Returns a request of the idempotent class.
pub(crate) fn request(id: u32, function: u64) -> IncomingRequest {
    IncomingRequest {
        id: RequestId(id),
        function: FunctionId(function),
        class: IDEMPOTENT,
        tenant: TenantId(0),
        remaining: Span::from_millis(2500),
        memory_mb: 400.0,
        concurrency: 2.0,
        load_time: None,
    }
}

/// Returns a request of this class.
pub(crate) fn request_of_class(id: u32, function: u64, class: ClassId) -> IncomingRequest {
    IncomingRequest {
        class,
        ..request(id, function)
    }
}

/// Returns the outcome of an attempt that took [`ATTEMPT_LATENCY`], without a load report.
pub(crate) fn attempt_outcome(request: RequestId, attempt: u16, status: AttemptStatus) -> AttemptOutcome {
    AttemptOutcome {
        id: request,
        attempt,
        status,
        latency: ATTEMPT_LATENCY,
        request_finished: status == AttemptStatus::Ok,
        instance_state: InstanceState::Unknown,
        function_in_flight: 0,
        load_report: vec![],
    }
}
