//! Which connections lead to which worker.

use super::{Codec, Job, JsonRpcCodec, Limits, NodeAgentCodec, WorkerAddress, WorkerConnection};
use crate::model::{Time, WorkerId};
use crate::net::{BufferLimits, ConnectionFlow, Reactor};
use crate::scheduler::{AttemptError, AttemptId, Command, FailureCause, Scheduler, WriteProgress};
use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// Connections to one worker at a time, those coming up included.
const PER_WORKER: usize = 16;
/// Connections to one worker that calls are spread over by all schedulers together. How many it takes is told
/// nowhere, and one whose table is full turns away each further connection with the call on it.
const ALL_TOGETHER: usize = 48;
/// Calls on one connection from which another is opened, while descriptors last. One answer that cannot be
/// read, or one reset, takes everything with it that is open on its connection.
const SHARED: usize = 1;

/// Notes of ended attempts that are kept until there are more, so that not each end has all of them looked through.
const NOTES: usize = 256;

/// Buffers of a connection to a worker.
const BUFFER_LIMITS: BufferLimits = BufferLimits { input: super::LINE, output: 4 << 20 };

#[derive(Default)]
struct Target {
    endpoint: Option<WorkerAddress>,
    started: Option<Time>,
    connections: Vec<u64>,
}

/// The workers' addresses and connections.
pub struct Pool {
    targets: BTreeMap<WorkerId, Target>,
    /// The connection on which each attempt went that is out, and some that have ended.
    went: HashMap<AttemptId, u64>,
    agent: Rc<dyn Codec>,
    checker: Rc<dyn Codec>,
    /// Shared with all connections.
    limits: Rc<Cell<Limits>>,
    /// Connections to one worker over which calls are spread.
    spread: usize,
}

impl Pool {
    /// A pool without workers.
    pub fn new(limits: Limits) -> Pool {
        Pool {
            targets: BTreeMap::new(),
            went: HashMap::new(),
            agent: Rc::new(NodeAgentCodec),
            checker: Rc::new(JsonRpcCodec),
            limits: Rc::new(Cell::new(limits)),
            spread: 1,
        }
    }

    /// New limits, also for the connections that stand: the workers go by them from now on.
    pub fn configure(&mut self, limits: Limits, reactor: &mut Reactor, scheduler: &mut Scheduler) {
        self.limits.set(limits);
        // Deadlines are asked for after a callback.
        for id in reactor.connection_ids() {
            reactor.with_connection(id, scheduler, |_, _, _| ConnectionFlow::Continue);
        }
    }

    /// The list says where a worker is. A new process has none of the old one's connections: what is open on
    /// them ends by itself, and nothing new goes out there.
    pub fn set_address(&mut self, worker: WorkerId, endpoint: WorkerAddress, started: Option<Time>) {
        let target = self.targets.entry(worker).or_default();
        if target.endpoint.as_ref() != Some(&endpoint) || target.started != started {
            *target = Target { endpoint: Some(endpoint), started, connections: vec![] };
        }
    }

    /// The list says that a worker is gone.
    pub fn remove(&mut self, worker: WorkerId) {
        self.targets.remove(&worker);
    }

    /// Forgets all workers but these.
    pub fn retain(&mut self, listed: impl Fn(WorkerId) -> bool) {
        self.targets.retain(|worker, _| listed(*worker));
    }

    /// Carries out what the scheduler wants of a worker.
    pub fn command(&mut self, command: Command, reactor: &mut Reactor, scheduler: &mut Scheduler) {
        match command {
            Command::Send { attempt, worker, payload: work, deadline } => {
                let connection = self.connection(worker, Some(&work.correlation_id), reactor, scheduler);
                let Some(connection) = connection else {
                    return scheduler.attempt_not_sent(reactor.now(), attempt);
                };
                self.went.insert(attempt, connection);
                give(connection, Job::Start { attempt, payload: work, deadline }, reactor, scheduler);
            }
            Command::Cancel { attempt, .. } => {
                if let Some(connection) = self.went.remove(&attempt) {
                    give(connection, Job::Cancel { attempt }, reactor, scheduler);
                }
            }
            Command::Load { order, worker, function, instances: copies } => {
                match self.connection(worker, None, reactor, scheduler) {
                    Some(connection) => {
                        give(connection, Job::Load { order, function, instances: copies }, reactor, scheduler)
                    }
                    None => scheduler.load_order_not_sent(reactor.now(), order),
                }
            }
            Command::HealthCheck { check: probe, worker, deadline } => {
                match self.connection(worker, None, reactor, scheduler) {
                    Some(connection) => {
                        give(connection, Job::HealthCheck { check: probe, deadline }, reactor, scheduler)
                    }
                    None => {
                        let broken = AttemptError {
                            progress: WriteProgress::NotSent,
                            cause: FailureCause::NoConnection,
                        };
                        scheduler.health_check_ended(reactor.now(), probe, Err(broken));
                    }
                }
            }
            Command::Unload { worker, function } => {
                if let Some(connection) = self.connection(worker, None, reactor, scheduler) {
                    give(connection, Job::Unload { function }, reactor, scheduler);
                }
            }
            Command::Respond { .. } => {}
        }
    }

    /// A connection to the worker on which this name is not open, else a new one. Two open attempts of one
    /// request must not share a connection: their answers would look alike.
    fn connection(
        &mut self,
        worker: WorkerId,
        name: Option<&str>,
        reactor: &mut Reactor,
        scheduler: &mut Scheduler,
    ) -> Option<u64> {
        // Clients may hold a third of the descriptors; what is left after them is for all workers alike.
        let limits = self.limits.get();
        let own = (limits.max_connections * 2 / 3 / self.targets.len().max(1))
            .min(ALL_TOGETHER / limits.schedulers.max(1));
        self.spread = own.clamp(1, PER_WORKER);
        let target = self.targets.get_mut(&worker)?;
        target.connections.retain(|id| reactor.has_connection(*id));
        let load = |id: &u64| {
            let connection = reactor.connection::<WorkerConnection>(*id)?;
            connection.accepts(name).then(|| (connection.attempts_in_flight(), *id))
        };
        let least = target.connections.iter().filter_map(load).min();
        // Orders and probes share what there is.
        let free = least.filter(|(load, _)| name.is_none() || *load < SHARED);
        let spread = target.connections.len() < self.spread;
        if let Some((_, id)) =
            free.or(least.filter(|_| !spread || reactor.connection_count() >= limits.max_connections))
        {
            return Some(id);
        }
        if target.connections.len() >= PER_WORKER
            || reactor.connection_count() >= limits.max_connections && !reactor.close_longest_idle(scheduler)
        {
            return None;
        }
        let (stream, codec) = match target.endpoint.as_ref()? {
            WorkerAddress::NodeAgent(address) => (reactor.connect(*address), &self.agent),
            WorkerAddress::JsonRpc(path) => (reactor.connect_unix(path), &self.checker),
        };
        let by = reactor.now() + limits.connect_timeout;
        let connection = Box::new(WorkerConnection::new(codec.clone(), self.limits.clone(), by));
        let id = reactor.add_connecting(stream.ok()?, connection, BUFFER_LIMITS, scheduler)?;
        target.connections.push(id);
        Some(id)
    }

    /// Drops the notes of attempts that have ended, whenever they are most of all. To be called once no command
    /// waits: one to give an attempt up comes after its end.
    pub fn forget_ended(&mut self, scheduler: &Scheduler) {
        if self.went.len() > NOTES + 2 * scheduler.attempts_in_flight() {
            self.went.retain(|attempt, _| scheduler.is_in_flight(*attempt));
        }
    }

    /// How many attempts there are notes of.
    pub fn routes_remembered(&self) -> usize {
        self.went.len()
    }
}

fn give(connection: u64, job: Job, reactor: &mut Reactor, scheduler: &mut Scheduler) {
    reactor.with_connection_of(connection, scheduler, |worker: &mut WorkerConnection, socket, context| {
        worker.submit(job, socket, context)
    });
}
