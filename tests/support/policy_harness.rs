//! Drives the policy by hand: a clock that the test moves, events in, actions out.

use super::policy_fixtures::{attempt_outcome, ready_endpoint};
use function_scheduler::{
    Action, AttemptStatus, Endpoint, EndpointUpdateKind, Event, FunctionId, IncomingRequest, LoadOutcome,
    LoadStatus, Policy, RequestId, Settings, Span, Time, WatchStatus, WorkerId,
};
use std::collections::{BTreeMap, BTreeSet};

/// The step in which [`PolicyHarness::advance`] moves the clock.
const CLOCK_STEP: Span = Span::from_millis(10);
/// The time that every load takes.
const LOAD_LATENCY: Span = Span::from_millis(500);

/// An attempt that the policy has sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SentAttempt {
    pub(crate) request: RequestId,
    pub(crate) attempt: u16,
    pub(crate) worker: WorkerId,
}

/// A load order that the policy has given to a worker.
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
        harness.update_endpoints(
            EndpointUpdateKind::Snapshot,
            (1..=workers).map(ready_endpoint).collect(),
        );
        harness
    }

    /// Feeds an event in at the present time.
    pub(crate) fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.policy.handle(self.now, event, &mut actions);
        for action in &actions {
            if let Action::Send { id, worker, .. } = action {
                self.record_sent(*id, *worker);
            }
        }
        actions
    }

    fn record_sent(&mut self, request: RequestId, worker: WorkerId) {
        let next = self.next_attempt.entry(request).or_default();
        self.sent.push(SentAttempt {
            request,
            attempt: *next,
            worker,
        });
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
        self.handle(Event::EndpointsUpdated { kind, endpoints });
    }

    /// The watch of the endpoint list changes now.
    pub(crate) fn watch_changed(&mut self, status: WatchStatus) -> Vec<Action> {
        if self.policy.watch_changed(self.now, status) {
            self.handle(Event::TimerFired)
        } else {
            vec![]
        }
    }

    /// The policy, to be asked what it knows.
    pub(crate) fn policy(&self) -> &Policy {
        &self.policy
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
    pub(crate) fn finish_last_attempt(&mut self, status: AttemptStatus) -> Vec<Action> {
        let last = *self.sent.last().expect("something was sent");
        self.finish_attempt(last.request, last.attempt, status)
    }

    /// Ends an attempt that brings no load report.
    pub(crate) fn finish_attempt(
        &mut self,
        request: RequestId,
        attempt: u16,
        status: AttemptStatus,
    ) -> Vec<Action> {
        self.handle(Event::AttemptFinished(attempt_outcome(request, attempt, status)))
    }

    /// Ends a load on a worker, which then has one instance if the load went well.
    pub(crate) fn finish_load(
        &mut self,
        worker: WorkerId,
        function: FunctionId,
        status: LoadStatus,
    ) -> Vec<Action> {
        let instances = u32::from(status == LoadStatus::Ok);
        let outcome = LoadOutcome {
            worker,
            function,
            instances,
            status,
            latency: LOAD_LATENCY,
        };
        self.handle(Event::LoadFinished(outcome))
    }

    /// Answers every attempt of a request with a miss for as long as the policy retries it; the last actions.
    pub(crate) fn miss_every_attempt(&mut self, mut actions: Vec<Action>) -> Vec<Action> {
        while !workers_sent_to(&actions).is_empty() {
            actions = self.finish_last_attempt(AttemptStatus::Miss);
        }
        actions
    }

    /// The workers that attempts were sent to so far.
    pub(crate) fn workers_used(&self) -> BTreeSet<WorkerId> {
        self.sent.iter().map(|sent| sent.worker).collect()
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

/// The load orders among these actions.
pub(crate) fn requested_loads(actions: &[Action]) -> Vec<RequestedLoad> {
    let load = |action: &Action| match action {
        Action::Load { worker, function, .. } => Some(RequestedLoad {
            worker: *worker,
            function: *function,
        }),
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
    actions
        .iter()
        .filter(|action| matches!(action, Action::Cancel { .. }))
        .count()
}

/// The number of health checks among these actions.
pub(crate) fn health_check_count(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|action| matches!(action, Action::HealthCheck { .. }))
        .count()
}
