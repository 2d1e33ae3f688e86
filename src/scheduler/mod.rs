//! The scheduler round the decision module, without sockets or a clock of its own.
//!
//! Fronts hand in calls, back ends report how attempts and orders end, and the adapter round it carries out
//! the [`Command`]s. Every method takes `now`. The scheduler alone sees to it that each taken call has exactly
//! one final answer, whatever the front or the back end.

mod command;
mod counters;
mod errors;
mod ids;
mod messages;

pub use command::Command;
pub use counters::Counters;
pub use errors::{AttemptError, FailureCause, WriteProgress};
pub use ids::{AttemptId, HealthCheckId, LoadOrderId, RequestOrigin};
pub use messages::{
    ClientRequest, LoadResult, Outcome, RequestParameters, RequestPayload, Response, WorkerResponse,
};

use crate::model::*;
use crate::policy::Policy;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::rc::Rc;

/// The part of the memory limit that bodies of open calls may take, as a divisor; beyond it calls are refused.
const BODIES: usize = 6;
/// Log lines a second that clients' doings may cause; the rest is only counted.
const LOGGED: u32 = 10;
/// The limit where none is told.
const MEMORY: usize = 192 << 20;
/// A probe that is not answered by then has failed: the simulator's limit and what sockets are allowed more.
const PROBE_LIMIT: Span = Span::from_millis(300);
/// So long after its deadline a call that the module has not ended is failed by the scheduler: the one answer is
/// owed whatever the module does, and clients allow 50 ms more than their deadline.
const BACKSTOP: Span = Span::from_millis(20);
/// Functions remembered as called: those of the present span, up to a number, and of the one before. Clients may
/// name ever new ones, and only orders for what is called are of use.
const CALLED: (Span, usize) = (Span::from_millis(60_000), 1 << 14);
/// Orders to load that are remembered where no ration is set.
const ORDERED: Span = Span::from_millis(60_000);
/// A keyed repeat must be written this long before its group forgets.
const KEY_MARGIN: Span = Span::from_millis(50);

struct Taken {
    origin: RequestOrigin,
    work: Rc<RequestPayload>,
    effect: Idempotency,
    deadline: Time,
    attempts: u16,
    /// When the first attempt that may have run was written.
    first_out: Option<Time>,
}

struct Attempt {
    worker: WorkerId,
    decided: Time,
    deadline: Time,
    written: Option<Time>,
    /// The load report that came with its answer.
    report: Vec<f32>,
}

struct Order {
    worker: WorkerId,
    function: FunctionId,
    copies: u8,
    decided: Time,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Wake,
    Call(RequestId),
    Attempt(AttemptId),
    Order(LoadOrderId),
    Probe(HealthCheckId),
}

/// The scheduler. See the module's page.
///
/// ```
/// use function_scheduler::scheduler::{
///     ClientRequest, Command, Outcome, RequestOrigin, RequestParameters, Scheduler, WorkerResponse,
/// };
/// use function_scheduler::{FunctionId, EndpointUpdateKind, Endpoint, Time, WorkerId};
///
/// let site = function_scheduler::config::parse_site(br#"{"fleetSize": 1, "index": 0,
///   "classes": [{"name": "check", "deadlineNs": 3000000000, "effect": "retryable",
///                "objectiveNs": 1000000000}],
///   "bounds": {"mostTries": 3},
///   "contract": {"coldFrom": 0.2, "coldNs": 9000000000, "fallMultiple": 3, "fallNs": 2000000000},
///   "familyInfo": {"keepNs": 9000000000, "notLoaded": "load", "loadSpanNs": 0}}"#).unwrap();
/// let mut scheduler = Scheduler::new(site, 7);
/// scheduler.update_endpoints(Time(0), EndpointUpdateKind::Full, vec![Endpoint { worker: WorkerId(1), ..Endpoint::default() }]);
/// let origin = RequestOrigin { connection: 1, stream: 1 };
/// scheduler.submit(Time(0), ClientRequest {
///     origin,
///     correlation_id: "9b1f03aa5c7e2d41".into(),
///     parameters: RequestParameters {
///         memory_mb: 400.0,
///         concurrency: 2.0,
///         ..RequestParameters::new("check", FunctionId(9), Time(3_000_000_000), vec![])
///     },
/// });
/// let Some(Command::Send { attempt, .. }) = scheduler.next_command() else { panic!("it is sent") };
/// scheduler.attempt_written(Time(1), attempt);
/// scheduler.attempt_ended(Time(2), attempt, Ok(WorkerResponse::Ok(b"4 of 5".to_vec())));
/// let Some(Command::Respond { response, .. }) = scheduler.next_command() else { panic!("it is answered") };
/// assert_eq!(response.outcome, Outcome::Served(b"4 of 5".to_vec()));
/// ```
pub struct Scheduler {
    site: Site,
    policy: Policy,
    next_request: u32,
    next_order: u64,
    requests: BTreeMap<RequestId, Taken>,
    origins: HashMap<RequestOrigin, RequestId>,
    /// The clients' names for the open calls.
    names: HashSet<String>,
    attempts: BTreeMap<AttemptId, Attempt>,
    orders: BTreeMap<LoadOrderId, Order>,
    probes: BTreeMap<HealthCheckId, (WorkerId, Time)>,
    /// What the list tells of each worker on it.
    told: BTreeMap<WorkerId, EndpointState>,
    due: BTreeSet<(Time, Due)>,
    commands: VecDeque<Command>,
    backlog: VecDeque<Event>,
    /// Calls taken and orders written inside the ration's window.
    taken: VecDeque<Time>,
    ordered: VecDeque<Time>,
    called: [BTreeSet<FunctionId>; 2],
    called_since: Time,
    bodies: usize,
    memory: usize,
    /// The second that is running, and the lines logged in it.
    logged: (Time, u32),
    counters: Counters,
}

impl Scheduler {
    /// A scheduler that knows nothing but its settings. The seed decides all ties.
    pub fn new(site: Site, seed: u64) -> Scheduler {
        Scheduler {
            policy: Policy::new(site.settings.clone(), seed),
            site,
            next_request: 0,
            next_order: 0,
            requests: BTreeMap::new(),
            origins: HashMap::new(),
            names: HashSet::new(),
            attempts: BTreeMap::new(),
            orders: BTreeMap::new(),
            probes: BTreeMap::new(),
            told: BTreeMap::new(),
            due: BTreeSet::new(),
            commands: VecDeque::new(),
            backlog: VecDeque::new(),
            taken: VecDeque::new(),
            ordered: VecDeque::new(),
            called: [BTreeSet::new(), BTreeSet::new()],
            called_since: Time(0),
            bodies: 0,
            memory: MEMORY,
            logged: (Time(0), 0),
            counters: Counters::default(),
        }
    }

    /// The site's settings.
    pub fn site(&self) -> &Site {
        &self.site
    }

    /// Memory that the scheduler may take, in bytes.
    pub fn set_memory_limit(&mut self, bytes: usize) {
        self.memory = bytes;
    }

    /// Whether a line that a client has caused is to be logged: clients at full speed must not have the
    /// scheduler write, and wait for whoever reads its log, all the time.
    pub fn may_log(&mut self, now: Time) -> bool {
        if now - self.logged.0 >= Span::from_millis(1_000) {
            self.logged = (now, 0);
        }
        self.logged.1 += 1;
        self.counters.log_lines_suppressed += u64::from(self.logged.1 > LOGGED);
        self.logged.1 <= LOGGED
    }

    /// A new configuration: calls under way go on as they were taken, by the new figures.
    pub fn reconfigure(&mut self, now: Time, site: Site) {
        self.site = self.site.replaced_by(site);
        self.policy.configure(self.site.settings.clone());
        self.settle(now);
    }

    /// What has been counted so far.
    pub fn counters(&mut self) -> &mut Counters {
        &mut self.counters
    }

    /// Calls that are owed an answer.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Orders to load that are remembered for the ration.
    pub fn load_orders_remembered(&self) -> usize {
        self.ordered.len()
    }

    /// Attempts that are out or wait to go out.
    pub fn attempts_in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Whether an attempt is one of these.
    pub fn is_in_flight(&self, attempt: AttemptId) -> bool {
        self.attempts.contains_key(&attempt)
    }

    /// The next thing to do.
    pub fn next_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// When [`Core::wake`] is to be called next.
    pub fn next_timer(&self) -> Option<Time> {
        self.due.first().map(|(at, _)| *at)
    }

    // ---- Events in

    /// News of the list of workers.
    pub fn update_endpoints(&mut self, now: Time, kind: EndpointUpdateKind, members: Vec<Endpoint>) {
        if matches!(kind, EndpointUpdateKind::Full | EndpointUpdateKind::Cached) {
            let listed: BTreeSet<WorkerId> = members.iter().map(|m| m.worker).collect();
            self.told.retain(|worker, _| listed.contains(worker));
        }
        for member in &members {
            match member.state {
                EndpointState::Gone => drop(self.told.remove(&member.worker)),
                state => drop(self.told.insert(member.worker, state)),
            }
        }
        self.counters.endpoint_updates += 1;
        self.step(now, Event::EndpointsUpdated(kind, members));
    }

    /// A call has come in whole. From here on one final answer is owed.
    pub fn submit(&mut self, now: Time, request: ClientRequest) {
        let ClientRequest { origin, correlation_id, parameters: call } = request;
        self.counters.requests_received += 1;
        self.taken.push_back(now);
        let class = self.site.class_index(&call.class);
        let Some(class) = class else { return self.answer(origin, Outcome::Failed, false) };
        // A name that is open already would make two calls' answers look alike at a worker.
        if self.names.contains(&correlation_id) {
            return self.answer(origin, Outcome::Failed, false);
        }
        let full = self.requests.len() >= self.site.max_open_requests
            || self.bodies + call.body.len() > self.memory / BODIES;
        if full || call.deadline <= now || self.origins.contains_key(&origin) {
            let retry_after = self.default_retry_after();
            return self.answer(origin, Outcome::Rejected { retry_after }, call.deadline <= now);
        }
        let id = RequestId(self.next_request);
        self.next_request = self.next_request.wrapping_add(1);
        if now - self.called_since > CALLED.0 || self.called[0].len() >= CALLED.1 {
            self.called_since = now;
            self.called = [BTreeSet::new(), std::mem::take(&mut self.called[0])];
        }
        self.called[0].insert(call.function);
        self.bodies += call.body.len();
        self.names.insert(correlation_id.clone());
        let work = Rc::new(RequestPayload {
            correlation_id,
            class: call.class,
            function: call.function,
            key: call.key,
            body: call.body,
        });
        let effect = self.site.settings.classes[class].idempotency;
        let deadline = call.deadline;
        self.requests.insert(id, Taken { origin, work, effect, deadline, attempts: 0, first_out: None });
        self.origins.insert(origin, id);
        self.due.insert((deadline + BACKSTOP, Due::Call(id)));
        self.step(
            now,
            Event::RequestReceived(IncomingRequest {
                id,
                function: call.function,
                class: ClassId(class as u16),
                tenant: TenantId(0),
                remaining: deadline - now,
                memory_mb: call.memory_mb,
                concurrency: call.concurrency,
                load_time: call.load_time,
            }),
        );
    }

    /// Nobody waits for this call any more.
    pub fn cancel(&mut self, now: Time, origin: RequestOrigin) {
        let Some(id) = self.origins.get(&origin).copied() else { return };
        self.counters.cancelled_by_client += 1;
        self.forget(id);
        self.step(now, Event::ClientDisconnected(id));
    }

    /// An attempt has been handed to the system whole.
    pub fn attempt_written(&mut self, now: Time, attempt: AttemptId) {
        let Some(entry) = self.attempts.get_mut(&attempt) else { return };
        entry.written = Some(now);
        self.counters.attempts_written += 1;
        if let Some(taken) = self.requests.get_mut(&attempt.request) {
            taken.first_out.get_or_insert(now);
        }
    }

    /// What a worker tells of its load with the answer to this attempt, which comes next. A report that does not
    /// give all the values that the settings name is left out: the module knows them by their places.
    pub fn record_load_report(&mut self, attempt: AttemptId, told: &[(String, f32)]) {
        let value = |name: &String| told.iter().find(|(told, _)| told == name).map(|(_, value)| *value);
        let report = self.site.load_metric_names.iter().map(value).collect::<Option<Vec<f32>>>();
        if let (Some(entry), Some(report)) = (self.attempts.get_mut(&attempt), report) {
            entry.report = report;
        }
    }

    /// An attempt has ended at its worker, or broke on the way.
    pub fn attempt_ended(&mut self, now: Time, id: AttemptId, end: Result<WorkerResponse, AttemptError>) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let (written, mut body) = (attempt.written, None);
        let status = match end {
            Ok(reply) => {
                let status = reply.status();
                if let WorkerResponse::Ok(bytes) = reply {
                    body = Some(bytes);
                }
                status
            }
            Err(error) => error.progress.failure_status(),
        };
        self.counters.count_attempt_end(status);
        if let Some(taken) = self.requests.get_mut(&id.request)
            && status.never_ran()
            && taken.first_out == written
        {
            taken.first_out = None;
        }
        if let Some(bytes) = body
            && let Some(origin) = self.forget(id.request)
        {
            self.answer(origin, Outcome::Served(bytes), false);
        }
        self.end_attempt(now, id, status);
        self.settle(now);
    }

    /// An attempt that never left, for a reason of our own: it was no longer allowed, or there was nothing to
    /// send it on. It says nothing of the worker, unlike a connection that could not be made.
    pub fn attempt_not_sent(&mut self, now: Time, id: AttemptId) {
        if self.attempts.contains_key(&id) {
            self.counters.count_attempt_end(Status::Moot);
            self.end_attempt(now, id, Status::Moot);
            self.settle(now);
        }
    }

    /// An order to load has ended at its worker, or broke on the way.
    pub fn load_order_ended(&mut self, now: Time, id: LoadOrderId, end: Result<LoadResult, AttemptError>) {
        let standing =
            end.unwrap_or_else(|error| LoadResult::without_instances(error.progress.failure_status()));
        self.end_order(now, id, standing);
        self.settle(now);
    }

    /// An order to load that never left, for a reason of our own; see [`Core::attempt_held`].
    pub fn load_order_not_sent(&mut self, now: Time, id: LoadOrderId) {
        self.end_order(now, id, LoadResult::without_instances(Status::Moot));
        self.settle(now);
    }

    /// A probe has been answered, or broke on the way.
    pub fn health_check_ended(&mut self, now: Time, id: HealthCheckId, end: Result<(), AttemptError>) {
        let status = end.map_or(Status::Reset, |()| Status::Ok);
        self.end_probe(id, status);
        self.settle(now);
    }

    /// The time told by [`Core::next_due`] has come.
    pub fn fire_timers(&mut self, now: Time) {
        while let Some(&(at, due)) = self.due.first().filter(|(at, _)| *at <= now) {
            self.due.remove(&(at, due));
            match due {
                Due::Wake => self.backlog.push_back(Event::TimerFired),
                Due::Call(id) => {
                    self.settle(now);
                    if self.requests.contains_key(&id) {
                        self.counters.overdue += 1;
                        self.conclude(now, id, Outcome::Failed);
                        self.backlog.push_back(Event::ClientDisconnected(id));
                    }
                }
                Due::Attempt(id) => {
                    let Some(attempt) = self.attempts.get(&id) else { continue };
                    self.commands.push_back(Command::Cancel { attempt: id, worker: attempt.worker });
                    self.counters.count_attempt_end(Status::Timeout);
                    self.end_attempt(now, id, Status::Timeout);
                }
                Due::Probe(id) => self.end_probe(id, Status::Timeout),
                Due::Order(id) => self.end_order(now, id, LoadResult::without_instances(Status::Timeout)),
            }
        }
        self.settle(now);
    }

    /// How long a client is told to stay away where the module has not said.
    pub fn default_retry_after(&self) -> Span {
        self.site.settings.permissions.max_retry_after.unwrap_or(Span(0))
    }

    /// Counts a call that its front has answered by itself because it could not be taken.
    pub fn count_local_rejection(&mut self, outcome: &Outcome) {
        self.counters.count_frontend_response(outcome);
    }

    // ---- Gates that are asked when bytes are about to be written

    /// Whether an attempt may still go out: it may have waited for its connection while its request ended,
    /// its worker began to drain or its key's window passed.
    pub fn admits_write(&self, now: Time, id: AttemptId) -> bool {
        let Some(attempt) = self.attempts.get(&id).filter(|a| now < a.deadline) else { return false };
        let Some(taken) = self.requests.get(&id.request) else { return false };
        let in_window = match (taken.effect, taken.first_out) {
            (_, None) | (Idempotency::Idempotent, _) => true,
            (Idempotency::NonIdempotent, Some(_)) => false,
            (Idempotency::Keyed { window, .. }, Some(first)) => now + KEY_MARGIN < first + window,
        };
        in_window && self.open_to_work(attempt.worker)
    }

    /// Whether an order may still go out, and counts it as gone out if so. The ration is looked at here
    /// too: orders that queued behind a slow connection must not bunch up in one window.
    pub fn admits_load_order(&mut self, now: Time, id: LoadOrderId) -> bool {
        let Some(order) = self.orders.get(&id) else { return false };
        if order.copies == 0 {
            return true;
        }
        if !self.open_to_work(order.worker)
            || !self.called.iter().any(|called| called.contains(&order.function))
        {
            return false;
        }
        // Without a ration too, for a new configuration may bring one; but none looks back for ever.
        let ration = self.site.settings.safety_limits.load_rate_limit;
        let since = now - ration.map_or(ORDERED, |ration| ration.window);
        self.ordered.retain(|at| *at >= since);
        if let Some(ration) = ration {
            let since = now - ration.window;
            self.taken.retain(|at| *at > since);
            let room = ration.burst + ration.per_request * self.taken.len() as f64;
            if self.ordered.len() as f64 + 1.0 > room {
                self.counters.load_orders_rate_limited += 1;
                return false;
            }
        }
        self.ordered.push_back(now);
        self.counters.load_orders_written += 1;
        true
    }

    /// An event of the bus counts as told from the moment it is in the bus, which may be long before it was
    /// heard here. So nothing that still waits is written once a drain is known, whatever grace there is.
    fn open_to_work(&self, worker: WorkerId) -> bool {
        self.told.get(&worker) == Some(&EndpointState::Ready)
    }

    // ---- Inside

    fn step(&mut self, now: Time, event: Event) {
        self.backlog.push_back(event);
        self.settle(now);
    }

    /// Gives the module what waits for it and carries out what it decides, until nothing waits.
    fn settle(&mut self, now: Time) {
        let mut actions = Vec::new();
        while let Some(event) = self.backlog.pop_front() {
            self.policy.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(now, action);
            }
        }
        let Some(ration) = self.site.settings.safety_limits.load_rate_limit else {
            return self.taken.clear();
        };
        while self.taken.front().is_some_and(|at| *at + ration.window < now) {
            self.taken.pop_front();
        }
    }

    fn carry_out(&mut self, now: Time, action: Action) {
        match action {
            Action::Send { id, worker, timeout } => {
                let Some(taken) = self.requests.get_mut(&id) else { return };
                let attempt = AttemptId { request: id, number: taken.attempts };
                taken.attempts += 1;
                let deadline = (now + timeout).min(taken.deadline);
                let work = taken.work.clone();
                self.attempts.insert(
                    attempt,
                    Attempt { worker, decided: now, deadline, written: None, report: vec![] },
                );
                self.due.insert((deadline, Due::Attempt(attempt)));
                self.commands.push_back(Command::Send { attempt, worker, payload: work, deadline });
            }
            Action::Cancel { id, attempt } => {
                let id = AttemptId { request: id, number: attempt };
                let Some(attempt) = self.attempts.get(&id) else { return };
                self.commands.push_back(Command::Cancel { attempt: id, worker: attempt.worker });
                self.counters.count_attempt_end(Status::Cancelled);
                self.end_attempt(now, id, Status::Cancelled);
            }
            Action::Reject { id, retry_after: wait } => {
                self.conclude(now, id, Outcome::Rejected { retry_after: wait })
            }
            Action::Fail { id } => self.conclude(now, id, Outcome::Failed),
            Action::Load { worker, function, instances: copies } => {
                let order = LoadOrderId(self.next_order);
                self.next_order += 1;
                self.orders.insert(order, Order { worker, function, copies, decided: now });
                self.due.insert((now + self.site.load_timeout, Due::Order(order)));
                self.commands.push_back(Command::Load { order, worker, function, instances: copies });
            }
            Action::HealthCheck { worker } => {
                let probe = HealthCheckId(self.next_order);
                self.next_order += 1;
                let deadline = now + PROBE_LIMIT;
                self.probes.insert(probe, (worker, deadline));
                self.due.insert((deadline, Due::Probe(probe)));
                self.counters.health_checks += 1;
                self.commands.push_back(Command::HealthCheck { check: probe, worker, deadline });
            }
            Action::Unload { worker, function } => {
                self.commands.push_back(Command::Unload { worker, function });
            }
            Action::SetTimer { delay: after } => drop(self.due.insert((now + after, Due::Wake))),
            // The list is pushed on sockets.
            Action::Subscribe => {}
        }
    }

    fn conclude(&mut self, now: Time, id: RequestId, outcome: Outcome) {
        let Some(taken) = self.requests.get(&id) else { return };
        let expired = now + self.site.settings.tick >= taken.deadline;
        let origin = taken.origin;
        self.forget(id);
        self.answer(origin, outcome, expired);
    }

    fn answer(&mut self, origin: RequestOrigin, outcome: Outcome, expired: bool) {
        self.counters.count_response(&outcome);
        self.commands.push_back(Command::Respond { origin, response: Response { outcome, expired } });
    }

    fn forget(&mut self, id: RequestId) -> Option<RequestOrigin> {
        let taken = self.requests.remove(&id)?;
        self.bodies -= taken.work.body.len();
        self.names.remove(&taken.work.correlation_id);
        self.due.remove(&(taken.deadline + BACKSTOP, Due::Call(id)));
        self.origins.remove(&taken.origin);
        Some(taken.origin)
    }

    fn end_attempt(&mut self, now: Time, id: AttemptId, status: Status) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        self.due.remove(&(attempt.deadline, Due::Attempt(id)));
        let finished = !self.requests.contains_key(&id.request);
        self.backlog.push_back(Event::AttemptFinished(AttemptOutcome {
            id: id.request,
            attempt: id.number,
            status,
            latency: now - attempt.decided,
            request_finished: finished,
            instance_state: InstanceState::Unknown,
            function_in_flight: 0,
            load_report: attempt.report,
        }));
    }

    fn end_probe(&mut self, id: HealthCheckId, status: Status) {
        let Some((worker, deadline)) = self.probes.remove(&id) else { return };
        self.due.remove(&(deadline, Due::Probe(id)));
        if status != Status::Ok {
            self.counters.health_checks_failed += 1;
        }
        self.backlog.push_back(Event::HealthCheckFinished(worker, status));
    }

    fn end_order(&mut self, now: Time, id: LoadOrderId, standing: LoadResult) {
        let Some(order) = self.orders.remove(&id) else { return };
        self.due.remove(&(order.decided + self.site.load_timeout, Due::Order(id)));
        let (worker, function) = (order.worker, order.function);
        let (copies, status, latency) = (standing.instances, standing.status, now - order.decided);
        self.backlog.push_back(Event::LoadFinished(LoadOutcome {
            worker,
            function,
            instances: copies,
            status,
            latency,
        }));
    }
}

#[cfg(test)]
mod tests;
