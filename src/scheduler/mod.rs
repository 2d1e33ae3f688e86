//! Request state and policy execution, without sockets or a clock.
//!
//! The scheduler guarantees exactly one final response to each submitted request, whatever the policy and
//! the workers do, unless the client cancels the request.
//!
//! # Callers
//!
//! - Frontends submit and cancel requests ([`Scheduler::submit`], [`Scheduler::cancel`]).
//! - The backend asks for admission before it writes a command ([`Scheduler::admits_write`],
//!   [`Scheduler::admits_load_order`]) and reports its progress and result ([`Scheduler::attempt_written`],
//!   [`Scheduler::attempt_ended`] and the like).
//! - The event loop reports changes of the endpoint list ([`Scheduler::update_endpoints`]), calls
//!   [`Scheduler::fire_timers`] once [`Scheduler::next_timer`] is due, and executes the [`Command`]s in
//!   order.
//!
//! These calls feed [`Event`]s to the [`Policy`]. Each [`Action`] that the policy returns changes the
//! scheduler's state and usually emits a [`Command`]. Every method that depends on time takes the current
//! time as `now`, so tests need no clock.
//!
//! # Modules
//!
//! Each module that implements methods of [`Scheduler`] has one concern. This file holds the state that they
//! share and the policy loop, which calls the `start_…`, `cancel_…` and `finish_…` methods of the others.
//!
//! | module | concern | called by |
//! | --- | --- | --- |
//! | `settings` | site settings and the memory limit | server |
//! | `endpoint_updates` | endpoint updates and the age of the endpoint list | event loop, `timers` |
//! | `intake` | accepting, denying and cancelling requests | frontends |
//! | `final_response` | the final response to a request | policy loop, `attempts`, `intake`, `timers` |
//! | `attempts` | lifecycle of attempts | policy loop, backend, `timers` |
//! | `load_orders` | lifecycle of load orders | policy loop, backend, `timers` |
//! | `health_checks` | lifecycle of health checks | policy loop, backend, `timers` |
//! | `timers` | dispatch of expired timers | event loop |
//! | `write_admission` | last check before a command is written | backend |
//! | `invariants` | runtime checks of invariants | frontends, `attempts`, `final_response` |
//! | `log_limiter` | rate limit on log lines that clients can cause | all modules that log such lines |
//!
//! The other modules hold state or types without a `Scheduler`: the tables (`request_table`,
//! `attempt_table`, `load_order_table`, `health_check_table`), the checks and limits (`request_admission`,
//! `open_request_share`, `load_rate_limiter`, `recent_functions`), the counters, `id_generator`, and the types that callers exchange with the
//! scheduler (`command`, `errors`, `ids`, `messages`).

mod attempt_table;
mod attempts;
mod body_memory;
mod command;
mod counters;
mod endpoint_updates;
mod errors;
mod final_response;
mod health_check_table;
mod health_checks;
mod id_generator;
mod ids;
mod intake;
mod invariants;
mod load_order_table;
mod load_orders;
mod load_rate_limiter;
mod log_limiter;
mod messages;
mod open_request_share;
mod recent_functions;
mod request_admission;
mod request_table;
mod settings;
mod timers;
mod write_admission;

#[cfg(test)]
mod tests;

pub use command::Command;
pub use counters::Counters;
pub use errors::{ExchangeError, FailureCause, WriteProgress};
pub use ids::{AttemptId, HealthCheckId, LoadOrderId, RequestOrigin};
pub use invariants::Violation;
pub use messages::{
    ClientRequest, LoadResult, Outcome, ReportedMetric, RequestParameters, RequestPayload, Response,
    WorkerResponse,
};
pub use settings::MemoryUse;

use crate::collections::TimerQueue;
use crate::model::{Action, AttemptStatus, Event, Site, Time};
use crate::policy::Policy;
use attempt_table::AttemptTable;
use endpoint_updates::LeaseMonitor;
use health_check_table::HealthCheckTable;
use id_generator::IdGenerator;
use load_order_table::LoadOrderTable;
use load_rate_limiter::LoadRateLimiter;
use log_limiter::LogLimiter;
use request_table::RequestTable;
use std::collections::VecDeque;
use timers::Timer;

/// A scheduler that turns requests and worker responses into commands; see the [module documentation](self).
///
/// ```
/// use function_scheduler::scheduler::{
///     ClientRequest, Command, Outcome, RequestOrigin, RequestParameters, Scheduler, WorkerResponse,
/// };
/// use function_scheduler::{
///     ConnectionId, Endpoint, EndpointUpdateKind, FunctionId, StreamId, Time, WorkerId,
/// };
///
/// let site = function_scheduler::config::parse_site(br#"{"fleetSize": 1, "index": 0,
///   "classes": [{"name": "check", "deadlineNs": 3000000000, "effect": "retryable",
///                "objectiveNs": 1000000000}],
///   "bounds": {"mostTries": 3},
///   "contract": {"coldFrom": 0.2, "coldNs": 9000000000, "fallMultiple": 3, "fallNs": 2000000000},
///   "familyInfo": {"keepNs": 9000000000, "notLoaded": "load", "loadSpanNs": 0}}"#).unwrap();
/// let mut scheduler = Scheduler::new(site, 7);
/// let worker = Endpoint { worker: WorkerId(1), ..Endpoint::default() };
/// scheduler.update_endpoints(Time(0), EndpointUpdateKind::Snapshot, vec![worker]);
///
/// let origin = RequestOrigin { connection: ConnectionId(1), stream: StreamId(1) };
/// scheduler.submit(Time(0), ClientRequest {
///     origin,
///     correlation_id: "9b1f03aa5c7e2d41".into(),
///     parameters: RequestParameters {
///         memory_mb: 400.0,
///         concurrency: 2.0,
///         ..RequestParameters::new("check", FunctionId(9), Time(3_000_000_000), vec![])
///     },
/// });
///
/// let Some(Command::Send { attempt, .. }) = scheduler.next_command() else { panic!("not sent") };
/// scheduler.attempt_written(Time(1), attempt);
/// scheduler.attempt_ended(Time(2), attempt, Ok(WorkerResponse::Ok(b"4 of 5".to_vec())));
///
/// let Some(Command::Respond { response, .. }) = scheduler.next_command() else { panic!("no response") };
/// assert_eq!(response.outcome, Outcome::Served(b"4 of 5".to_vec()));
/// ```
pub struct Scheduler {
    site: Site,
    policy: Policy,
    /// Time by which requests that are submitted from now on must end; `None` until shutdown begins.
    shutdown_deadline: Option<Time>,
    requests: RequestTable,
    attempts: AttemptTable,
    load_orders: LoadOrderTable,
    health_checks: HealthCheckTable,
    id_generator: IdGenerator,
    lease_monitor: LeaseMonitor,
    load_rate_limiter: LoadRateLimiter,
    log_limiter: LogLimiter,
    timers: TimerQueue<Timer>,
    /// Events that the policy has not handled yet.
    pending_events: VecDeque<Event>,
    commands: VecDeque<Command>,
    counters: Counters,
}

impl Scheduler {
    /// Creates a scheduler without requests and workers. `seed` determines the policy's random draws.
    pub fn new(site: Site, seed: u64) -> Scheduler {
        Scheduler {
            policy: Policy::new(site.settings.clone(), seed),
            site,
            shutdown_deadline: None,
            requests: RequestTable::new(),
            attempts: AttemptTable::default(),
            load_orders: LoadOrderTable::default(),
            health_checks: HealthCheckTable::default(),
            id_generator: IdGenerator::new(seed),
            lease_monitor: LeaseMonitor::default(),
            load_rate_limiter: LoadRateLimiter::default(),
            log_limiter: LogLimiter::default(),
            timers: TimerQueue::default(),
            pending_events: VecDeque::new(),
            commands: VecDeque::new(),
            counters: Counters::default(),
        }
    }

    /// Returns a new correlation id for a request whose client has set none. No other scheduler and no other
    /// process uses it.
    pub fn new_correlation_id(&mut self) -> String {
        self.id_generator.correlation_id()
    }

    /// Returns the counters, for reading or updating.
    pub fn counters(&mut self) -> &mut Counters {
        &mut self.counters
    }

    /// Returns whether a command waits to be executed.
    pub fn has_commands(&self) -> bool {
        !self.commands.is_empty()
    }

    /// Removes and returns the next command to execute.
    pub fn next_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// Passes an event to the policy and executes the resulting actions.
    fn handle_event(&mut self, now: Time, event: Event) {
        self.pending_events.push_back(event);
        self.run_policy(now);
    }

    /// Passes pending events to the policy and executes the resulting actions until no event is left.
    fn run_policy(&mut self, now: Time) {
        let mut actions = Vec::new();
        while let Some(event) = self.pending_events.pop_front() {
            self.policy.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.execute_action(now, action);
            }
        }
        let limit = self.site.settings.safety_limits.load_rate_limit;
        self.load_rate_limiter.drop_old_requests(now, limit);
    }

    /// Executes an action of the policy: updates the state and emits commands.
    fn execute_action(&mut self, now: Time, action: Action) {
        match action {
            Action::Send { id, worker, timeout } => self.start_attempt(now, id, worker, timeout),
            Action::Cancel { id, attempt } => {
                let attempt = AttemptId {
                    request: id,
                    number: attempt,
                };
                self.cancel_attempt(now, attempt, AttemptStatus::Cancelled);
            }
            Action::Reject {
                id,
                retry_after,
                cause,
            } => {
                self.record_rejection(id, cause);
                self.finish_request(now, id, Outcome::Rejected { retry_after });
            }
            Action::Fail { id } => self.finish_request(now, id, Outcome::Failed),
            Action::Load {
                worker,
                function,
                instances,
            } => {
                self.start_load_order(now, worker, function, instances);
            }
            Action::Unload { worker, function } => {
                self.commands.push_back(Command::Unload { worker, function });
            }
            Action::HealthCheck { worker } => self.start_health_check(now, worker),
            Action::SetTimer { delay } => self.timers.schedule(now + delay, Timer::Policy),
            // Discovery always watches the endpoint list; it needs no subscription.
            Action::Subscribe => {}
        }
    }
}
