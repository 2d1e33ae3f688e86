//! Drives the policy by hand: a clock that the test moves, events in, actions out.

use function_scheduler::{
    Action, AttemptOutcome, CellId, ClassId, DeduplicationScope, DiscoveryMode, Endpoint, EndpointState,
    EndpointUpdateKind, Event, FunctionId, Idempotency, IncomingRequest, InstanceState, KindId, LoadOutcome,
    LoadingSettings, OnMiss, Permissions, Policy, Prices, RequestClass, RequestId, SafetyLimits, Settings,
    Span, Status, TenantId, Time, WorkerId, ZoneId,
};
use std::collections::{BTreeMap, BTreeSet};

/// The class of [`test_settings`] whose requests may be repeated freely.
pub(crate) const IDEMPOTENT: ClassId = ClassId(0);
/// The class whose requests may be repeated in one cell within a deduplication window of 1 s.
pub(crate) const KEYED: ClassId = ClassId(1);
/// The class whose requests may not be repeated once they may have run.
pub(crate) const NON_IDEMPOTENT: ClassId = ClassId(2);

/// The step in which [`PolicyHarness::advance`] moves the clock.
const CLOCK_STEP: Span = Span::from_millis(10);
/// The time that every attempt takes, unless a test says otherwise.
const ATTEMPT_LATENCY: Span = Span::from_millis(100);
/// The time that every load takes.
const LOAD_LATENCY: Span = Span::from_millis(500);

/// An attempt that the policy has sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SentAttempt {
    pub(crate) request: RequestId,
    pub(crate) attempt: u16,
    pub(crate) worker: WorkerId,
}

/// A load that the policy has asked of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RequestedLoad {
    pub(crate) worker: WorkerId,
    pub(crate) function: FunctionId,
}

/// A policy with its clock and the attempts that it has sent.
pub(crate) struct PolicyHarness {
    pub(crate) now: Time,
    pub(crate) sent: Vec<SentAttempt>,
    policy: Policy,
    next_attempt: BTreeMap<RequestId, u16>,
}

impl PolicyHarness {
    /// A policy whose endpoint list holds ready workers with ids from 1 to `workers`.
    pub(crate) fn new(settings: Settings, workers: u64) -> PolicyHarness {
        let mut harness = PolicyHarness {
            now: Time(1_000_000_000_000),
            sent: vec![],
            policy: Policy::new(settings, 1),
            next_attempt: BTreeMap::new(),
        };
        harness.update_endpoints(EndpointUpdateKind::Full, (1..=workers).map(ready_endpoint).collect());
        harness
    }

    /// Feeds an event in at the present time.
    pub(crate) fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.policy.handle(self.now, event, &mut actions);
        for action in &actions {
            if let Action::Send { id, worker, .. } = action {
                self.note_sent(*id, *worker);
            }
        }
        actions
    }

    fn note_sent(&mut self, request: RequestId, worker: WorkerId) {
        let next = self.next_attempt.entry(request).or_default();
        self.sent.push(SentAttempt { request, attempt: *next, worker });
        *next += 1;
    }

    /// A request comes in.
    pub(crate) fn receive(&mut self, request: IncomingRequest) -> Vec<Action> {
        self.handle(Event::RequestReceived(request))
    }

    /// A request comes in; the workers to which it was sent at once.
    pub(crate) fn receive_and_place(&mut self, request: IncomingRequest) -> Vec<WorkerId> {
        workers_sent_to(&self.receive(request))
    }

    /// Feeds in an event of the endpoint list.
    pub(crate) fn update_endpoints(&mut self, kind: EndpointUpdateKind, endpoints: Vec<Endpoint>) {
        self.handle(Event::EndpointsUpdated(kind, endpoints));
    }

    /// Lets time pass, with a timer event at each step of the clock.
    pub(crate) fn advance(&mut self, span: Span) -> Vec<Action> {
        let end = self.now + span;
        let mut actions = Vec::new();
        while self.now < end {
            self.now = self.now + CLOCK_STEP;
            actions.extend(self.handle(Event::TimerFired));
        }
        actions
    }

    /// [`PolicyHarness::advance`] by milliseconds.
    pub(crate) fn advance_ms(&mut self, milliseconds: u64) -> Vec<Action> {
        self.advance(Span::from_millis(milliseconds))
    }

    /// Ends the last attempt that was sent.
    pub(crate) fn finish_last_attempt(&mut self, status: Status) -> Vec<Action> {
        let last = *self.sent.last().expect("something was sent");
        self.finish_attempt(last.request, last.attempt, status)
    }

    /// Ends an attempt that brings no load report.
    pub(crate) fn finish_attempt(&mut self, request: RequestId, attempt: u16, status: Status) -> Vec<Action> {
        self.handle(Event::AttemptFinished(attempt_outcome(request, attempt, status)))
    }

    /// Ends a load on a worker, which then has one instance if the load went well.
    pub(crate) fn finish_load(
        &mut self,
        worker: WorkerId,
        function: FunctionId,
        status: Status,
    ) -> Vec<Action> {
        let instances = u32::from(status == Status::Ok);
        let outcome = LoadOutcome { worker, function, instances, status, latency: LOAD_LATENCY };
        self.handle(Event::LoadFinished(outcome))
    }

    /// Answers every attempt of a request with a miss for as long as the policy sends it on; the last actions.
    pub(crate) fn miss_everywhere(&mut self, mut actions: Vec<Action>) -> Vec<Action> {
        while !workers_sent_to(&actions).is_empty() {
            actions = self.finish_last_attempt(Status::Miss);
        }
        actions
    }

    /// The workers that attempts were sent to so far.
    pub(crate) fn workers_used(&self) -> BTreeSet<WorkerId> {
        self.sent.iter().map(|sent| sent.worker).collect()
    }
}

/// Settings of a lone scheduler with one class of each kind of idempotency.
pub(crate) fn test_settings(on_miss: OnMiss) -> Settings {
    let deduplication_window = Span::from_millis(1000);
    let keyed = Idempotency::Keyed { scope: DeduplicationScope::Cell, window: deduplication_window };
    Settings {
        fleet_size: 1,
        index: 0,
        zone: ZoneId(0),
        tick: Span::from_millis(2),
        classes: vec![class(Idempotency::Idempotent), class(keyed), class(Idempotency::NonIdempotent)],
        tenants: vec![],
        over_quota_weight: 1.0,
        safety_limits: SafetyLimits {
            initial_capacity: 0.2,
            warm_up_duration: Span::from_millis(18_000),
            overload_multiple: 2.5,
            overload_window: Span::from_millis(2_000),
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

/// A ready worker, in one of two cells.
pub(crate) fn ready_endpoint(worker: u64) -> Endpoint {
    Endpoint {
        worker: WorkerId(worker),
        zone: ZoneId(0),
        cell: CellId((worker % 2) as u16),
        state: EndpointState::Ready,
        weight: 1.0,
        started_at: None,
        kind: KindId(0),
    }
}

/// A ready worker that started at this time.
pub(crate) fn endpoint_started_at(worker: u64, started_at: Time) -> Endpoint {
    Endpoint { started_at: Some(started_at), ..ready_endpoint(worker) }
}

/// A request of the idempotent class.
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

/// A request of any class.
pub(crate) fn request_of_class(id: u32, function: u64, class: ClassId) -> IncomingRequest {
    IncomingRequest { class, ..request(id, function) }
}

/// The end of an attempt after [`ATTEMPT_LATENCY`], without a load report.
pub(crate) fn attempt_outcome(request: RequestId, attempt: u16, status: Status) -> AttemptOutcome {
    AttemptOutcome {
        id: request,
        attempt,
        status,
        latency: ATTEMPT_LATENCY,
        request_finished: status == Status::Ok,
        instance_state: InstanceState::Unknown,
        function_in_flight: 0,
        load_report: vec![],
    }
}

/// The workers that these actions send attempts to.
pub(crate) fn workers_sent_to(actions: &[Action]) -> Vec<WorkerId> {
    let worker = |action: &Action| match action {
        Action::Send { worker, .. } => Some(*worker),
        _ => None,
    };
    actions.iter().filter_map(worker).collect()
}

/// The loads that these actions ask for.
pub(crate) fn requested_loads(actions: &[Action]) -> Vec<RequestedLoad> {
    let load = |action: &Action| match action {
        Action::Load { worker, function, .. } => Some(RequestedLoad { worker: *worker, function: *function }),
        _ => None,
    };
    actions.iter().filter_map(load).collect()
}

/// The rejections and failures of requests among these actions.
pub(crate) fn rejections_and_failures(actions: &[Action]) -> Vec<Action> {
    let ends_request = |action: &&Action| matches!(action, Action::Reject { .. } | Action::Fail { .. });
    actions.iter().filter(ends_request).cloned().collect()
}

/// The number of cancelled attempts among these actions.
pub(crate) fn cancel_count(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Cancel { .. })).count()
}

/// The number of health checks among these actions.
pub(crate) fn health_check_count(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::HealthCheck { .. })).count()
}
