//! The server: the event loop that connects the scheduler with its frontends, workers, discovery and
//! signals.
//!
//! [`run`] serves until a signal stops it. Each iteration of the loop waits for sockets, signals and timers,
//! and then handles everything that is due. `startup` sets up the server, `accept` accepts clients,
//! `endpoints` applies endpoint updates, `reload` and `shutdown` handle SIGHUP and SIGTERM, `report` logs counters, and `leader`
//! decides by VRRP which of several servers accepts requests on the JSON-RPC frontend.

mod accept;
mod accept_wait;
mod client_pause;
mod endpoints;
mod error;
mod jsonrpc_listener;
mod leader;
mod limits;
mod memory_budget;
mod reload;
mod report;
mod shutdown;
mod shutdown_phases;
mod signals;
mod startup;
mod startup_settings;
#[cfg(test)]
mod tests;
mod transient;

pub use error::ServerError;
pub use signals::Signals;

use crate::backend::Pool;
use crate::config::{ConfigSources, SchedulerConfig};
use crate::discovery::Discovery;
use crate::frontend;
use crate::model::{Span, Time};
use crate::net::{PipeId, ReactorEvent, TimeBudget, TurnPart, UdpSocketId};
use crate::runtime::Reactor;
use crate::scheduler::Command;
use crate::vrrp::Event;
use accept::Acceptor;
use client_pause::ClientPause;
use leader::LeaderElection;
use reload::ReloadRetry;
use shutdown_phases::Shutdown;
use signals::{SignalPipes, SignalRequest};
use std::panic::{AssertUnwindSafe, catch_unwind};
use tracing::{error, info};

/// Time in a turn of the event loop for updates of the endpoint list.
const DISCOVERY_BUDGET: Span = Span::from_millis(2);
/// Time in a turn of the event loop for the scheduler's timers.
const TIMER_BUDGET: Span = Span::from_millis(2);
/// Time in a turn of the event loop for the scheduler's commands and the writes that they cause.
const COMMAND_BUDGET: Span = Span::from_millis(3);

/// Reads the configuration and serves until a signal stops the server.
///
/// # Errors
///
/// Returns a [`ServerError`] if the configuration is invalid, a socket cannot be opened at startup, or
/// waiting for events fails.
pub fn run(sources: &ConfigSources, signals: &Signals) -> Result<(), ServerError> {
    match startup::start(sources, signals)? {
        Some(mut server) => server.serve(),
        None => Ok(()),
    }
}

struct Server {
    /// Files that a reload reads.
    sources: ConfigSources,
    /// Owns the scheduler, which all connections share.
    reactor: Reactor,
    pool: Pool,
    /// The platform's configuration in use, without its endpoint events, which are passed to discovery.
    config: SchedulerConfig,
    discovery: Discovery,
    acceptor: Acceptor,
    client_pause: ClientPause,
    /// The leader election, if configured. Without it, this server always accepts requests on the JSON-RPC
    /// frontend.
    leader_election: Option<LeaderElection>,
    signals: SignalPipes,
    /// Retry of a rejected reload, if one is pending.
    reload_retry: Option<ReloadRetry>,
    /// The graceful shutdown, once it has started.
    shutdown: Option<Shutdown>,
}

impl Server {
    fn serve(&mut self) -> Result<(), ServerError> {
        self.begin_serving();
        while !self.run_iteration()? {}
        self.print_counters();
        info!(name = %self.config.name, "ended");
        Ok(())
    }

    fn begin_serving(&mut self) {
        self.apply_initial_endpoints();
        self.run_due_work();
        self.reactor.shared.ready = true;
        self.update_leader(Event::Startup);
        info!(
            name = %self.config.name,
            listen = %self.config.listen,
            offset = self.discovery.last_offset(),
            "serving"
        );
    }

    /// Runs one iteration of the event loop. Returns true once a shutdown is complete.
    fn run_iteration(&mut self) -> Result<bool, ServerError> {
        let deadline = self.next_timer();
        let events = self.reactor.poll(deadline).map_err(ServerError::Poll)?;
        let now = self.reactor.now();
        for event in events {
            self.catch_panic("event", |server| server.handle_event(event));
        }
        self.acceptor.retry(now, &mut self.reactor);
        let now = self.reactor.record_part(TurnPart::Accept, now);
        self.retry_reload(now);
        self.fire_leader_timer();
        self.run_due_work();
        Ok(self.advance_shutdown())
    }

    /// Returns the time until which the loop may wait if no socket and no signal wakes it. Work that a turn had
    /// no time for is due at once.
    fn next_timer(&self) -> Option<Time> {
        if self.has_work_left() {
            return Some(self.reactor.now());
        }
        let election_timer = self.leader_election.as_ref().and_then(LeaderElection::next_timer);
        let timers = [
            self.reactor.shared.scheduler.next_timer(),
            self.discovery.next_timer(),
            self.acceptor.next_timer(),
            self.shutdown_timer(),
            self.reload_retry.map(|retry| retry.due_at),
            election_timer,
        ];
        timers.into_iter().flatten().min()
    }

    /// Returns whether the last turn has left work for lack of time.
    fn has_work_left(&self) -> bool {
        self.reactor.has_due_writes()
            || self.reactor.shared.scheduler.has_commands()
            || self.discovery.has_changes()
    }

    fn handle_event(&mut self, event: ReactorEvent) {
        match event {
            ReactorEvent::ClientWaiting(listener) => {
                self.acceptor.accept(listener, &mut self.reactor);
            }
            ReactorEvent::PipeReadable(pipe) => self.handle_signal(pipe),
            ReactorEvent::DatagramWaiting(socket) => self.receive_advertisements(socket),
        }
    }

    fn handle_signal(&mut self, pipe: PipeId) {
        match self.signals.request_of(pipe) {
            Some(SignalRequest::Shutdown) => self.begin_shutdown(),
            Some(SignalRequest::PrintCounters) => self.print_counters(),
            Some(SignalRequest::Reload) => self.reload(),
            None => {}
        }
    }

    fn receive_advertisements(&mut self, socket: UdpSocketId) {
        if let Some(election) = &mut self.leader_election {
            election.receive(socket, &mut self.reactor);
        }
    }

    fn fire_leader_timer(&mut self) {
        if let Some(election) = &mut self.leader_election {
            election.fire_timer(&mut self.reactor);
        }
    }

    fn update_leader(&mut self, event: Event) {
        if let Some(election) = &mut self.leader_election {
            election.handle(event, &mut self.reactor);
        }
    }

    /// Applies endpoint updates, fires the scheduler's timers and executes its commands, each for a limited time.
    /// A panic in one of these steps does not prevent the others.
    fn run_due_work(&mut self) {
        let now = self.reactor.now();
        self.catch_panic("discovery", |server| server.poll_discovery(now));
        let now = self.reactor.record_part(TurnPart::Discovery, now);
        self.catch_panic("timer", Server::fire_scheduler_timers);
        self.reactor.record_part(TurnPart::SchedulerTimers, now);
        self.execute_commands();
        let has_commands = self.reactor.shared.scheduler.has_commands();
        if !has_commands {
            self.pool.remove_ended_attempts(&self.reactor.shared.scheduler);
        }
        self.reactor.clients_paused = self.client_pause.update(has_commands);
    }

    /// Fires the scheduler's timers as of the last poll, if the process was stopped since then: the next poll may
    /// tell of a response or a cancellation.
    fn fire_scheduler_timers(&mut self) {
        let now = self.reactor.timers_expire_at();
        let budget = self.reactor.time_budget(TIMER_BUDGET);
        let scheduler = &mut self.reactor.shared.scheduler;
        if scheduler.next_timer().is_some_and(|at| at <= now) {
            scheduler.fire_timers_until(now, || budget.is_spent());
        }
    }

    /// Executes the scheduler's commands and makes the writes that they cause, which may cause further commands.
    fn execute_commands(&mut self) {
        let budget = self.reactor.time_budget(COMMAND_BUDGET);
        self.execute_commands_within(&budget);
        while self.reactor.has_due_writes() && !budget.is_spent() {
            self.catch_panic("write", |server| server.reactor.run_due_writes());
            self.execute_commands_within(&budget);
        }
    }

    fn execute_commands_within(&mut self, budget: &TimeBudget) {
        let began_at = self.reactor.now();
        while let Some(command) = self.reactor.shared.scheduler.next_command() {
            self.catch_panic("command", |server| server.execute(command));
            if budget.is_spent() {
                break;
            }
        }
        self.catch_panic("flush", |server| server.reactor.flush_deferred_output());
        self.reactor.record_part(TurnPart::Commands, began_at);
    }

    /// Runs one part of the work and catches its panic. No connection can be closed for such a panic;
    /// requests that it leaves unfinished end at their deadlines.
    fn catch_panic(&mut self, part: &str, work: impl FnOnce(&mut Server)) {
        if catch_unwind(AssertUnwindSafe(|| work(self))).is_err() {
            self.reactor.shared.scheduler.counters().panics += 1;
            error!(part, "panic");
        }
    }

    fn execute(&mut self, command: Command) {
        match command {
            Command::Respond { origin, response } => frontend::deliver(origin, &response, &mut self.reactor),
            command => self.pool.execute(command, &mut self.reactor),
        }
    }
}
