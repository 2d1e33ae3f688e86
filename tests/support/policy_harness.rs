//! A harness that drives the policy alone: the test advances the clock, passes events in and checks the
//! actions.

use super::policy_fixtures::{attempt_outcome, ready_endpoint};
use function_scheduler::{
    Action, AttemptStatus, Endpoint, EndpointUpdateKind, Event, FunctionId, IncomingRequest, LoadOutcome,
    LoadStatus, Policy, RequestId, Settings, Span, Time, WatchStatus, WorkerId,
};
use std::collections::{BTreeMap, BTreeSet};

/// The step by which [`PolicyHarness::advance`] moves the clock.
const CLOCK_STEP: Span = Span::from_millis(10);
/// The latency of each load.
const LOAD_LATENCY: Span = Span::from_millis(500);

/// An attempt that the policy has sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SentAttempt {
    pub(crate) request: RequestId,
    pub(crate) attempt: u16,
    pub(crate) worker: WorkerId,
}

/// A load order that the policy has sent to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RequestedLoad {
    pub(crate) worker: WorkerId,
    pub(crate) function: FunctionId,
}

/// A policy with its clock and the attempts that the policy has sent.
pub(crate) struct PolicyHarness {
    pub(crate) now: Time,
    pub(crate) sent: Vec<SentAttempt>,
    policy: Policy,
    next_attempt: BTreeMap<RequestId, u16>,
}

impl PolicyHarness {
    /// Creates a policy whose endpoint list contains ready workers with ids from 1 to `workers`.
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

    /// Passes an event to the policy at the current time and returns the policy's actions.
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

    /// Passes a received request to the policy and returns the policy's actions.
    pub(crate) fn receive(&mut self, request: IncomingRequest) -> Vec<Action> {
        self.handle(Event::RequestReceived(request))
    }

    /// Passes a received request to the policy and returns the workers to which it is sent at once.
    pub(crate) fn receive_and_place(&mut self, request: IncomingRequest) -> Vec<WorkerId> {
        workers_sent_to(&self.receive(request))
    }

    /// Passes an endpoint update to the policy.
    pub(crate) fn update_endpoints(&mut self, kind: EndpointUpdateKind, endpoints: Vec<Endpoint>) {
        self.handle(Event::EndpointsUpdated { kind, endpoints });
    }

    /// Reports a change of the discovery watch at the current time and returns the policy's actions.
    pub(crate) fn watch_changed(&mut self, status: WatchStatus) -> Vec<Action> {
        if self.policy.watch_changed(self.now, status) {
            self.handle(Event::TimerFired)
        } else {
            vec![]
        }
    }

    /// Returns the policy, for inspection of its state.
    pub(crate) fn policy(&self) -> &Policy {
        &self.policy
    }

    /// Advances the clock with a timer event at each step, and returns all actions.
    pub(crate) fn advance(&mut self, span: Span) -> Vec<Action> {
        let end = self.now + span;
        let mut actions = Vec::new();
        while self.now < end {
            self.now = self.now + CLOCK_STEP;
            actions.extend(self.handle(Event::TimerFired));
        }
        actions
    }

    /// Advances the clock like [`PolicyHarness::advance`], by milliseconds.
    pub(crate) fn advance_ms(&mut self, milliseconds: u64) -> Vec<Action> {
        self.advance(Span::from_millis(milliseconds))
    }

    /// Ends the attempt that was sent last.
    pub(crate) fn finish_last_attempt(&mut self, status: AttemptStatus) -> Vec<Action> {
        let last = *self.sent.last().expect("an attempt was sent");
        self.finish_attempt(last.request, last.attempt, status)
    }

    /// Ends an attempt without a load report.
    pub(crate) fn finish_attempt(
        &mut self,
        request: RequestId,
        attempt: u16,
        status: AttemptStatus,
    ) -> Vec<Action> {
        self.handle(Event::AttemptFinished(attempt_outcome(request, attempt, status)))
    }

    /// Ends a load on a worker, which then has one instance if the load succeeded.
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

    /// Ends every attempt of a request with a miss for as long as the policy retries it, and returns the last
    /// actions.
    pub(crate) fn miss_every_attempt(&mut self, mut actions: Vec<Action>) -> Vec<Action> {
        while !workers_sent_to(&actions).is_empty() {
            actions = self.finish_last_attempt(AttemptStatus::Miss);
        }
        actions
    }

    /// Returns the workers to which attempts have been sent so far.
    pub(crate) fn workers_used(&self) -> BTreeSet<WorkerId> {
        self.sent.iter().map(|sent| sent.worker).collect()
    }
}

/// Returns the workers to which these actions send attempts.
pub(crate) fn workers_sent_to(actions: &[Action]) -> Vec<WorkerId> {
    let worker = |action: &Action| match action {
        Action::Send { worker, .. } => Some(*worker),
        _ => None,
    };
    actions.iter().filter_map(worker).collect()
}

/// Returns the load orders among these actions.
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

/// Returns the actions among these that reject or fail a request.
pub(crate) fn rejections_and_failures(actions: &[Action]) -> Vec<Action> {
    let ends_request = |action: &&Action| matches!(action, Action::Reject { .. } | Action::Fail { .. });
    actions.iter().filter(ends_request).cloned().collect()
}

/// Returns the number of attempts that these actions cancel.
pub(crate) fn cancel_count(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|action| matches!(action, Action::Cancel { .. }))
        .count()
}

/// Returns the number of health checks among these actions.
pub(crate) fn health_check_count(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|action| matches!(action, Action::HealthCheck { .. }))
        .count()
}
