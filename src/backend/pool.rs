//! The connections to every worker, and which of them a command takes.

use super::address::WorkerAddress;
use super::codec::Codec;
use super::connection::WorkerConnection;
use super::job::Job;
use super::jsonrpc_codec::JsonRpcCodec;
use super::limits::Limits;
use super::node_agent_codec::NodeAgentCodec;
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
const SHARED_CONNECTIONS_PER_WORKER: usize = 48;
/// Attempts on a connection from which the next one opens another, while descriptors last. An answer that
/// cannot be decoded, or a reset, ends everything that is open on its connection.
const ATTEMPTS_BEFORE_NEW_CONNECTION: usize = 1;
/// Routes kept beyond two for each attempt in flight before those of ended attempts are dropped.
const SPARE_ROUTES: usize = 256;

/// A worker process in the endpoint list.
struct Target {
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
    targets: BTreeMap<WorkerId, Target>,
    /// The connection of every attempt in flight, and of some that have ended.
    routes: HashMap<AttemptId, ConnectionId>,
    node_agent_codec: Rc<dyn Codec>,
    jsonrpc_codec: Rc<dyn Codec>,
    /// Shared with all connections.
    limits: Rc<Cell<Limits>>,
}

impl Pool {
    /// A pool without workers.
    pub fn new(limits: Limits) -> Pool {
        Pool {
            targets: BTreeMap::new(),
            routes: HashMap::new(),
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
        let known = self.targets.get(&worker);
        if known.is_some_and(|target| target.address == address && target.started_at == started_at) {
            return;
        }
        let target = Target {
            address,
            started_at,
            connections: Vec::new(),
        };
        self.targets.insert(worker, target);
    }

    /// Forgets a worker that has gone.
    pub fn remove(&mut self, worker: WorkerId) {
        self.targets.remove(&worker);
    }

    /// Forgets all workers that are not listed any more.
    pub fn retain(&mut self, is_listed: impl Fn(WorkerId) -> bool) {
        self.targets.retain(|worker, _| is_listed(*worker));
    }

    /// Carries out a command of the scheduler, if it is one for a worker.
    pub fn command(&mut self, command: Command, reactor: &mut Reactor) {
        match command {
            Command::Send {
                attempt,
                worker,
                payload,
                deadline,
            } => {
                let job = Job::Start {
                    attempt,
                    payload,
                    deadline,
                };
                self.submit(worker, job, reactor);
            }
            Command::Cancel { attempt, .. } => {
                if let Some(connection) = self.routes.remove(&attempt) {
                    submit_to(connection, Job::Cancel { attempt }, reactor);
                }
            }
            Command::Load {
                order,
                worker,
                function,
                instances,
            } => {
                let job = Job::Load {
                    order,
                    function,
                    instances,
                };
                self.submit(worker, job, reactor);
            }
            Command::HealthCheck {
                check,
                worker,
                deadline,
            } => {
                let job = Job::HealthCheck { check, deadline };
                self.submit(worker, job, reactor);
            }
            Command::Unload { worker, function } => {
                self.submit(worker, Job::Unload { function }, reactor);
            }
            Command::Respond { .. } => {}
        }
    }

    /// Hands a command for a worker to one of its connections, or reports that no connection can be had.
    fn submit(&mut self, worker: WorkerId, job: Job, reactor: &mut Reactor) {
        let correlation_id = job.attempt_correlation_id();
        let Some(connection) = self.connection_to(worker, correlation_id, reactor) else {
            return report_not_sent(&job, reactor.now(), &mut reactor.shared.scheduler);
        };
        if let Job::Start { attempt, .. } = &job {
            self.routes.insert(*attempt, connection);
        }
        submit_to(connection, job, reactor);
    }

    /// The connection that a command to a worker takes, which may be a new one. An attempt gives its
    /// correlation id: two open attempts of one request must not share a connection, because their answers
    /// would look alike.
    fn connection_to(
        &mut self,
        worker: WorkerId,
        correlation_id: Option<&str>,
        reactor: &mut Reactor,
    ) -> Option<ConnectionId> {
        let max_spread = self.max_spread();
        let descriptors_left = self.has_descriptors_left(reactor);
        let target = self.targets.get_mut(&worker)?;
        target
            .connections
            .retain(|connection| reactor.has_connection(*connection));
        if let Some(candidate) = target.least_loaded_connection(correlation_id, reactor) {
            // Load orders and health checks share the connections that there are.
            let may_share =
                correlation_id.is_none() || candidate.attempts_in_flight < ATTEMPTS_BEFORE_NEW_CONNECTION;
            let may_open = target.connections.len() < max_spread && descriptors_left;
            if may_share || !may_open {
                return Some(candidate.connection);
            }
        }
        if target.connections.len() >= MAX_CONNECTIONS_PER_WORKER {
            return None;
        }
        if !descriptors_left && !self.make_room(reactor) {
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

    /// Closes an idle connection so that another fits.
    fn make_room(&self, reactor: &mut Reactor) -> bool {
        let outgoing = reactor.connection_count() - reactor.client_count();
        if outgoing < self.limits.get().max_outgoing_connections {
            reactor.close_longest_idle()
        } else {
            reactor.close_longest_idle_outgoing()
        }
    }

    /// Connections to one worker that requests are spread over. Clients may take a third of the descriptors;
    /// the rest is shared equally by all workers.
    fn max_spread(&self) -> usize {
        let limits = self.limits.get();
        let share_of_descriptors = limits.max_connections * 2 / 3 / self.targets.len().max(1);
        let share_of_worker = SHARED_CONNECTIONS_PER_WORKER / limits.schedulers.max(1);
        share_of_descriptors
            .min(share_of_worker)
            .clamp(1, MAX_CONNECTIONS_PER_WORKER)
    }

    /// Begins to establish a new connection to a worker.
    fn connect(&mut self, worker: WorkerId, reactor: &mut Reactor) -> Option<ConnectionId> {
        let target = self.targets.get_mut(&worker)?;
        let (stream, codec) = match &target.address {
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
        target.connections.push(connection);
        Some(connection)
    }

    /// Drops the routes of ended attempts whenever they are the greater part. To be called when no command is
    /// pending: the cancellation of an attempt comes after its end.
    pub fn forget_ended(&mut self, scheduler: &Scheduler) {
        if self.routes.len() > SPARE_ROUTES + 2 * scheduler.attempts_in_flight() {
            self.routes.retain(|attempt, _| scheduler.is_in_flight(*attempt));
        }
    }

    /// Number of attempts whose connection is remembered.
    pub fn routes_remembered(&self) -> usize {
        self.routes.len()
    }
}

impl Target {
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
fn submit_to(connection: ConnectionId, job: Job, reactor: &mut Reactor) {
    reactor.with_connection_of(connection, |worker: &mut WorkerConnection, socket, context| {
        worker.submit(job, socket, context)
    });
}

/// Reports a command for which no connection can be had.
fn report_not_sent(job: &Job, now: Time, scheduler: &mut Scheduler) {
    match job {
        Job::Start { attempt, .. } => scheduler.attempt_not_sent(now, *attempt),
        Job::Load { order, .. } => scheduler.load_order_not_sent(now, *order),
        Job::HealthCheck { check, .. } => {
            let error = ExchangeError {
                progress: WriteProgress::NotSent,
                cause: FailureCause::NoConnection,
            };
            scheduler.health_check_ended(now, *check, Err(error));
        }
        Job::Cancel { .. } | Job::Unload { .. } => {}
    }
}
