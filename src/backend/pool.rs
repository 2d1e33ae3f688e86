//! The pool of connections to workers, which selects a connection for each command.

use super::address::WorkerAddress;
use super::codec::Codec;
use super::connection::{ListedProcess, WorkerConnection};
use super::jsonrpc_codec::JsonRpcCodec;
use super::limits::Limits;
use super::node_agent_codec::NodeAgentCodec;
use super::retired_id_budget::RetiredIdBudget;
use super::worker_command::{AddressedCommand, WorkerCommand};
use crate::model::{ConnectionId, Time, WorkerId};
use crate::net::ConnectionFlow;
use crate::runtime::Reactor;
use crate::scheduler::{AttemptId, Command, ExchangeError, FailureCause, Scheduler, WriteProgress};
use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// Maximum number of connections to one worker, including those being established.
const MAX_CONNECTIONS_PER_WORKER: usize = 16;
/// Number of connections to one worker over which all schedulers together distribute requests. The number
/// that a worker accepts is not known in advance, and a worker without free descriptors refuses every further
/// connection, which fails the attempt for which the connection was opened.
const FLEET_CONNECTIONS_PER_WORKER: usize = 48;
/// Number of open attempts on a connection from which a new attempt opens another connection, as long as
/// descriptors are free. The value is low because a reset or a response that cannot be decoded fails every
/// exchange on its connection.
const ATTEMPTS_BEFORE_NEW_CONNECTION: usize = 1;
/// Number of tracked attempts, beyond two for each attempt in flight, above which ended attempts are removed.
/// Below it the table is not scanned.
const CLEANUP_MARGIN: usize = 256;

/// A worker process in the endpoint list, with the connections to it.
struct WorkerEntry {
    address: WorkerAddress,
    started_at: Option<Time>,
    connections: Vec<ConnectionId>,
    /// Lives as long as this entry. The connections watch it to learn that their process has been replaced.
    process: Rc<ListedProcess>,
}

/// A connection that can accept a command.
struct Candidate {
    connection: ConnectionId,
    attempts_in_flight: usize,
}

/// The addresses of all workers and the connections to them.
pub struct Pool {
    workers: BTreeMap<WorkerId, WorkerEntry>,
    /// The connection of each attempt in flight, and of attempts that ended recently.
    attempt_connections: HashMap<AttemptId, ConnectionId>,
    node_agent_codec: Rc<dyn Codec>,
    jsonrpc_codec: Rc<dyn Codec>,
    /// The limits, shared with all connections so that new limits also apply to open connections.
    limits: Rc<Cell<Limits>>,
    /// The number of retired correlation ids of all connections together.
    retired_ids: RetiredIdBudget,
}

impl Pool {
    /// Creates a pool without workers.
    pub fn new(limits: Limits) -> Pool {
        Pool {
            workers: BTreeMap::new(),
            attempt_connections: HashMap::new(),
            node_agent_codec: Rc::new(NodeAgentCodec),
            jsonrpc_codec: Rc::new(JsonRpcCodec),
            limits: Rc::new(Cell::new(limits)),
            retired_ids: RetiredIdBudget::new(limits.max_retired_ids),
        }
    }

    /// Returns the number of retired correlation ids that all connections keep.
    pub fn retired_id_count(&self) -> usize {
        self.retired_ids.kept()
    }

    /// Sets new limits, which also apply to open connections.
    pub fn configure(&mut self, limits: Limits, reactor: &mut Reactor) {
        self.limits.set(limits);
        self.retired_ids.set_limit(limits.max_retired_ids);
        // The reactor updates a connection's timer after each callback. A callback that does nothing
        // therefore applies the new timeouts.
        for connection in reactor.connection_ids() {
            reactor.with_connection(connection, |_, _, _| ConnectionFlow::Continue);
        }
    }

    /// Sets the address of a worker. If the address or the start time has changed, nothing more is sent on
    /// the connections to the previous process, except for cancellations and health checks: what is queued
    /// there ends as not sent. Open exchanges on them run to their end.
    pub fn set_address(&mut self, worker: WorkerId, address: WorkerAddress, started_at: Option<Time>) {
        let known = self.workers.get(&worker);
        if known.is_some_and(|entry| entry.address == address && entry.started_at == started_at) {
            return;
        }
        let entry = WorkerEntry {
            address,
            started_at,
            connections: Vec::new(),
            process: Rc::new(ListedProcess),
        };
        self.workers.insert(worker, entry);
    }

    /// Removes a worker. Open exchanges on its connections run to their end.
    pub fn remove(&mut self, worker: WorkerId) {
        self.workers.remove(&worker);
    }

    /// Removes all workers for which `is_listed` returns false.
    pub fn retain(&mut self, is_listed: impl Fn(WorkerId) -> bool) {
        self.workers.retain(|worker, _| is_listed(*worker));
    }

    /// Executes a command of the scheduler. Ignores commands that are not for a worker.
    pub fn execute(&mut self, command: Command, reactor: &mut Reactor) {
        let Some(AddressedCommand { worker, command }) = AddressedCommand::from_scheduler(command) else {
            return;
        };
        match command {
            WorkerCommand::Cancel { attempt } => {
                if let Some(connection) = self.attempt_connections.remove(&attempt) {
                    submit_to(connection, command, reactor);
                }
            }
            _ => self.submit(worker, command, reactor),
        }
    }

    /// Submits a command to one of the worker's connections. Reports the command as not sent if no connection
    /// is available.
    fn submit(&mut self, worker: WorkerId, command: WorkerCommand, reactor: &mut Reactor) {
        let correlation_id = command.attempt_correlation_id();
        let Some(connection) = self.connection_to(worker, correlation_id, reactor) else {
            return report_not_sent(&command, reactor.now(), &mut reactor.shared.scheduler);
        };
        if let WorkerCommand::Send { attempt, .. } = &command {
            self.attempt_connections.insert(*attempt, connection);
        }
        submit_to(connection, command, reactor);
    }

    /// Selects the connection for a command to a worker, and opens one if necessary. Returns `None` if no
    /// connection is available.
    ///
    /// `correlation_id` is set for attempts only. Two open attempts of one request must not share a
    /// connection, because they have the same correlation id and their responses could not be told apart.
    fn connection_to(
        &mut self,
        worker: WorkerId,
        correlation_id: Option<&str>,
        reactor: &mut Reactor,
    ) -> Option<ConnectionId> {
        let target_connections = self.target_connections();
        let descriptors_left = self.has_descriptors_left(reactor);
        let entry = self.workers.get_mut(&worker)?;
        entry
            .connections
            .retain(|connection| reactor.has_connection(*connection));
        if let Some(candidate) = entry.least_loaded_connection(correlation_id, reactor) {
            // Commands other than attempts share the connections that are already open.
            let may_share =
                correlation_id.is_none() || candidate.attempts_in_flight < ATTEMPTS_BEFORE_NEW_CONNECTION;
            let may_open = entry.connections.len() < target_connections && descriptors_left;
            if may_share || !may_open {
                return Some(candidate.connection);
            }
        }
        if entry.connections.len() >= MAX_CONNECTIONS_PER_WORKER {
            return None;
        }
        if !descriptors_left && !self.free_descriptor(reactor) {
            return None;
        }
        self.connect(worker, reactor)
    }

    /// Returns whether another connection to a worker stays within both limits on connections.
    fn has_descriptors_left(&self, reactor: &Reactor) -> bool {
        let limits = self.limits.get();
        let connections = reactor.connection_count();
        let outgoing = connections - reactor.client_count();
        connections < limits.max_connections && outgoing < limits.max_outgoing_connections
    }

    /// Frees a descriptor by closing the connection that has been idle for longest. Client connections are
    /// not closed if the limit on outgoing connections is reached. Returns whether a connection was closed.
    fn free_descriptor(&self, reactor: &mut Reactor) -> bool {
        let outgoing = reactor.connection_count() - reactor.client_count();
        if outgoing < self.limits.get().max_outgoing_connections {
            reactor.close_longest_idle()
        } else {
            reactor.close_longest_idle_outgoing()
        }
    }

    /// Returns the number of connections to one worker over which this scheduler distributes requests. A
    /// third of the descriptors is reserved for clients; the rest is divided equally among all workers.
    fn target_connections(&self) -> usize {
        let limits = self.limits.get();
        let share_of_descriptors = limits.max_connections * 2 / 3 / self.workers.len().max(1);
        let share_of_worker = FLEET_CONNECTIONS_PER_WORKER / limits.schedulers.max(1);
        share_of_descriptors
            .min(share_of_worker)
            .clamp(1, MAX_CONNECTIONS_PER_WORKER)
    }

    /// Starts connecting to a worker. Returns `None` if the worker is unknown or the connection fails at
    /// once.
    fn connect(&mut self, worker: WorkerId, reactor: &mut Reactor) -> Option<ConnectionId> {
        let entry = self.workers.get_mut(&worker)?;
        let (stream, codec) = match &entry.address {
            WorkerAddress::NodeAgent(address) => (reactor.connect(*address), &self.node_agent_codec),
            WorkerAddress::JsonRpc(path) => (reactor.connect_unix(path), &self.jsonrpc_codec),
        };
        let connect_deadline = reactor.now() + self.limits.get().connect_timeout;
        let connection = WorkerConnection::new(
            Rc::clone(codec),
            Rc::clone(&self.limits),
            Rc::downgrade(&entry.process),
            self.retired_ids.clone(),
            connect_deadline,
        );
        let connection = reactor.add_connecting(
            stream.ok()?,
            Box::new(connection),
            WorkerConnection::BUFFER_LIMITS,
        )?;
        entry.connections.push(connection);
        Some(connection)
    }

    /// Removes the attempts that have ended from the table, once they outnumber those in flight. Call this
    /// only when no command is pending, because the scheduler cancels an attempt after ending it and the
    /// cancellation needs the entry.
    pub fn remove_ended_attempts(&mut self, scheduler: &Scheduler) {
        if self.attempt_connections.len() > CLEANUP_MARGIN + 2 * scheduler.attempts_in_flight() {
            self.attempt_connections
                .retain(|attempt, _| scheduler.is_in_flight(*attempt));
        }
    }

    /// Returns the number of attempts whose connection is tracked.
    pub fn tracked_attempt_count(&self) -> usize {
        self.attempt_connections.len()
    }
}

impl WorkerEntry {
    /// Returns the connection with the fewest open attempts among those that accept the command. Ties go to
    /// the oldest connection.
    fn least_loaded_connection(&self, correlation_id: Option<&str>, reactor: &Reactor) -> Option<Candidate> {
        let candidates = self.connections.iter().filter_map(|id| {
            let connection = reactor.connection::<WorkerConnection>(*id)?;
            connection.accepts(correlation_id).then(|| Candidate {
                connection: *id,
                attempts_in_flight: connection.attempts_in_flight(),
            })
        });
        candidates.min_by_key(|candidate| (candidate.attempts_in_flight, candidate.connection))
    }
}

/// Submits a command to a connection. If the connection has closed, a cancellation is dropped: its attempt
/// has already ended.
fn submit_to(connection: ConnectionId, command: WorkerCommand, reactor: &mut Reactor) {
    reactor.with_connection_of_type(connection, |worker: &mut WorkerConnection, _, context| {
        worker.submit(command, context);
        ConnectionFlow::Continue
    });
}

/// Reports to the scheduler that no connection is available for a command.
fn report_not_sent(command: &WorkerCommand, now: Time, scheduler: &mut Scheduler) {
    match command {
        WorkerCommand::Send { attempt, .. } => scheduler.attempt_not_sent(now, *attempt),
        WorkerCommand::Load { order, .. } => scheduler.load_order_not_sent(now, *order),
        WorkerCommand::HealthCheck { check, .. } => {
            let error = ExchangeError {
                progress: WriteProgress::NotSent,
                cause: FailureCause::NoConnection,
            };
            scheduler.health_check_ended(now, *check, Err(error));
        }
        WorkerCommand::Cancel { .. } | WorkerCommand::Unload { .. } => {}
    }
}
