//! The connections to every worker, and which of them a command takes.

use super::address::WorkerAddress;
use super::codec::Codec;
use super::connection::WorkerConnection;
use super::jsonrpc_codec::JsonRpcCodec;
use super::limits::Limits;
use super::node_agent_codec::NodeAgentCodec;
use super::worker_command::{AddressedCommand, WorkerCommand};
use crate::model::{ConnectionId, Time, WorkerId};
use crate::net::ConnectionFlow;
use crate::runtime::Reactor;
use crate::scheduler::{AttemptId, Command, ExchangeError, FailureCause, Scheduler, WriteProgress};
use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// Connections to one worker at a time, those being established included.
const MAX_CONNECTIONS_PER_WORKER: usize = 16;
/// Connections to one worker that all schedulers together spread requests over. How many a worker accepts is
/// not known in advance, and one that has no more descriptors refuses each further connection with the
/// request on it.
const FLEET_CONNECTIONS_PER_WORKER: usize = 48;
/// Attempts on a connection from which the next one opens another, while descriptors last. A response that
/// cannot be decoded, or a reset, ends everything that is open on its connection.
const ATTEMPTS_BEFORE_NEW_CONNECTION: usize = 1;
/// Routes kept beyond two for each attempt in flight before those of ended attempts are dropped.
const CLEANUP_MARGIN: usize = 256;

/// A worker process in the endpoint list.
struct WorkerEntry {
    address: WorkerAddress,
    started_at: Option<Time>,
    connections: Vec<ConnectionId>,
}

/// A connection that a command could take.
struct Candidate {
    connection: ConnectionId,
    attempts_in_flight: usize,
}

/// The workers' addresses and connections.
pub struct Pool {
    workers: BTreeMap<WorkerId, WorkerEntry>,
    /// The connection of every attempt in flight, and of some that have ended.
    attempt_connections: HashMap<AttemptId, ConnectionId>,
    node_agent_codec: Rc<dyn Codec>,
    jsonrpc_codec: Rc<dyn Codec>,
    /// Shared with all connections.
    limits: Rc<Cell<Limits>>,
}

impl Pool {
    /// A pool without workers.
    pub fn new(limits: Limits) -> Pool {
        Pool {
            workers: BTreeMap::new(),
            attempt_connections: HashMap::new(),
            node_agent_codec: Rc::new(NodeAgentCodec),
            jsonrpc_codec: Rc::new(JsonRpcCodec),
            limits: Rc::new(Cell::new(limits)),
        }
    }

    /// Sets new limits, also for the connections that are open.
    pub fn configure(&mut self, limits: Limits, reactor: &mut Reactor) {
        self.limits.set(limits);
        // The reactor asks a connection for its deadline after each callback.
        for connection in reactor.connection_ids() {
            reactor.with_connection(connection, |_, _, _| ConnectionFlow::Continue);
        }
    }

    /// Sets the address of a worker. If it is new, or another process has started there, nothing more is sent
    /// on the connections to the old process; what is open on them ends by itself.
    pub fn set_address(&mut self, worker: WorkerId, address: WorkerAddress, started_at: Option<Time>) {
        let known = self.workers.get(&worker);
        if known.is_some_and(|entry| entry.address == address && entry.started_at == started_at) {
            return;
        }
        let entry = WorkerEntry {
            address,
            started_at,
            connections: Vec::new(),
        };
        self.workers.insert(worker, entry);
    }

    /// Forgets a worker that has gone.
    pub fn remove(&mut self, worker: WorkerId) {
        self.workers.remove(&worker);
    }

    /// Forgets all workers that are not listed any more.
    pub fn retain(&mut self, is_listed: impl Fn(WorkerId) -> bool) {
        self.workers.retain(|worker, _| is_listed(*worker));
    }

    /// Executes a command of the scheduler, if it is one for a worker.
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

    /// Hands a command for a worker to one of its connections, or reports that no connection can be had.
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

    /// The connection that a command to a worker takes, which may be a new one. An attempt gives its
    /// correlation id: two open attempts of one request must not share a connection, because their responses
    /// would look alike.
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
            // Load orders and health checks share the connections that there are.
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

    /// Whether another connection fits into the descriptors, and into the part of them that clients leave.
    fn has_descriptors_left(&self, reactor: &Reactor) -> bool {
        let limits = self.limits.get();
        let connections = reactor.connection_count();
        let outgoing = connections - reactor.client_count();
        connections < limits.max_connections && outgoing < limits.max_outgoing_connections
    }

    /// Frees a descriptor by closing an idle connection, so that another connection fits.
    fn free_descriptor(&self, reactor: &mut Reactor) -> bool {
        let outgoing = reactor.connection_count() - reactor.client_count();
        if outgoing < self.limits.get().max_outgoing_connections {
            reactor.close_longest_idle()
        } else {
            reactor.close_longest_idle_outgoing()
        }
    }

    /// Connections to one worker that requests are spread over. Clients may take a third of the descriptors;
    /// the rest is shared equally by all workers.
    fn target_connections(&self) -> usize {
        let limits = self.limits.get();
        let share_of_descriptors = limits.max_connections * 2 / 3 / self.workers.len().max(1);
        let share_of_worker = FLEET_CONNECTIONS_PER_WORKER / limits.schedulers.max(1);
        share_of_descriptors
            .min(share_of_worker)
            .clamp(1, MAX_CONNECTIONS_PER_WORKER)
    }

    /// Begins to establish a new connection to a worker.
    fn connect(&mut self, worker: WorkerId, reactor: &mut Reactor) -> Option<ConnectionId> {
        let entry = self.workers.get_mut(&worker)?;
        let (stream, codec) = match &entry.address {
            WorkerAddress::NodeAgent(address) => (reactor.connect(*address), &self.node_agent_codec),
            WorkerAddress::JsonRpc(path) => (reactor.connect_unix(path), &self.jsonrpc_codec),
        };
        let connect_deadline = reactor.now() + self.limits.get().connect_timeout;
        let connection = WorkerConnection::new(Rc::clone(codec), Rc::clone(&self.limits), connect_deadline);
        let connection = reactor.add_connecting(
            stream.ok()?,
            Box::new(connection),
            WorkerConnection::BUFFER_LIMITS,
        )?;
        entry.connections.push(connection);
        Some(connection)
    }

    /// Drops the attempt_connections of ended attempts whenever they are the greater part. To be called when no command is
    /// pending: the cancellation of an attempt comes after its end.
    pub fn remove_ended_attempts(&mut self, scheduler: &Scheduler) {
        if self.attempt_connections.len() > CLEANUP_MARGIN + 2 * scheduler.attempts_in_flight() {
            self.attempt_connections
                .retain(|attempt, _| scheduler.is_in_flight(*attempt));
        }
    }

    /// Number of attempts whose connection is remembered.
    pub fn tracked_attempt_count(&self) -> usize {
        self.attempt_connections.len()
    }
}

impl WorkerEntry {
    /// The connection with the fewest attempts among those that accept a command; of equals the oldest.
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

/// Hands a command to a connection. A cancellation for one that has closed is dropped: what was open has
/// ended.
fn submit_to(connection: ConnectionId, command: WorkerCommand, reactor: &mut Reactor) {
    reactor.with_connection_of(connection, |worker: &mut WorkerConnection, socket, context| {
        worker.submit(command, socket, context)
    });
}

/// Reports a command for which no connection can be had.
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
