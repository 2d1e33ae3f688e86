//! Back ends: connections to workers, with one codec for node agents and one for JSON-RPC checkers.
//!
//! A [`WorkerConnection`] keeps the rule on repeats honest: it writes one command at a time and only once
//! the one before has gone to the system whole, so that for every attempt it knows how far it had come when
//! the connection broke; and it asks the scheduler right before the first byte whether the command may still go.

mod address;
mod codec;
mod job;
mod jsonrpc_codec;
mod limits;
mod node_agent_codec;
mod pool;
#[cfg(test)]
mod tests;

pub use address::WorkerAddress;
pub use codec::{Codec, DecodeError, DecodeErrorKind, WorkerMessage};
pub use job::Job;
pub use jsonrpc_codec::JsonRpcCodec;
pub use limits::Limits;
pub use node_agent_codec::NodeAgentCodec;
pub use pool::Pool;

use crate::model::{Span, Time};
use crate::net::{BufferedStream, Connection, ConnectionFlow, Context};
use crate::scheduler::{
    AttemptError, AttemptId, FailureCause, HealthCheckId, LoadOrderId, LoadResult, WorkerResponse,
    WriteProgress,
};
use std::cell::Cell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// Longest line taken from a worker: a body of 16 KiB in base64 with room to spare.
pub const LINE: usize = 64 << 10;
/// Open commands, with those that wait, on one connection.
const QUEUE: usize = 4096;
/// For how long the name of an attempt that was given up or not served is kept from use on its connection, and
/// how many such names: clients may withdraw calls by hundreds.
const SHADOW: (Span, usize) = (Span::from_millis(10_000), 1024);
/// A worker's line that has begun must have come whole within this time. One that stops short would swallow
/// the start of every later answer on its connection.
const WHOLE_LINE: Span = Span::from_millis(300);

#[derive(Clone, Copy, Debug)]
enum Open {
    Attempt(AttemptId),
    Order(LoadOrderId),
    Probe(HealthCheckId),
    /// Given up or answered at this time: an answer that still comes belongs to nobody.
    Shadow(Time),
}

/// A connection to a worker.
pub struct WorkerConnection {
    codec: Rc<dyn Codec>,
    limits: Rc<Cell<Limits>>,
    pending: VecDeque<Job>,
    open: HashMap<String, Open>,
    names: HashMap<AttemptId, String>,
    /// The command whose bytes are on their way to the system.
    writing: Option<Open>,
    attempts: usize,
    /// Until when the connection must be up.
    connect_by: Option<Time>,
    idle_since: Time,
    shadows: VecDeque<(Time, String)>,
    /// When the probe that is out here has failed.
    probe_by: Option<(Time, HealthCheckId)>,
    /// Until when the line that has begun must have ended.
    line_by: Option<Time>,
    /// A probe got no answer and nothing has come since. A connection through a cut stays up and silent, and
    /// goes on slowly when the cut ends: new work takes a new one, whose refusal proves that nothing ran.
    silent: bool,
}

impl WorkerConnection {
    /// A connection that is coming up and has failed if it is not up by then.
    pub fn new(codec: Rc<dyn Codec>, limits: Rc<Cell<Limits>>, connect_by: Time) -> WorkerConnection {
        WorkerConnection {
            codec,
            limits,
            pending: VecDeque::new(),
            open: HashMap::new(),
            names: HashMap::new(),
            writing: None,
            attempts: 0,
            connect_by: Some(connect_by),
            idle_since: connect_by,
            shadows: VecDeque::new(),
            probe_by: None,
            line_by: None,
            silent: false,
        }
    }

    fn order_name(order: LoadOrderId) -> String {
        format!("load-{}", order.0)
    }

    fn probe_name(probe: HealthCheckId) -> String {
        format!("probe-{}", probe.0)
    }

    /// Writes commands one after another, each once the one before has gone whole.
    fn pump(&mut self, socket: &mut BufferedStream, context: &mut Context) -> ConnectionFlow {
        while socket.is_connected() && socket.unsent() == 0 {
            if let Some(Open::Attempt(attempt)) = self.writing.take() {
                context.scheduler.attempt_written(context.now, attempt);
            }
            let Some(job) = self.pending.pop_front() else { break };
            match job {
                Job::Start { attempt, payload: work, deadline } => {
                    if !context.scheduler.admits_write(context.now, attempt) {
                        self.attempts -= 1;
                        self.open.remove(&work.correlation_id);
                        self.names.remove(&attempt);
                        context.scheduler.attempt_not_sent(context.now, attempt);
                        continue;
                    }
                    socket.enqueue(&self.codec.encode_request(&work, context.now, deadline));
                    self.writing = Some(Open::Attempt(attempt));
                }
                Job::Cancel { attempt } => {
                    if let Some(name) = self.names.remove(&attempt) {
                        socket.enqueue(&self.codec.encode_cancel(&name));
                    }
                }
                Job::Load { order, function, instances: copies } => {
                    if !context.scheduler.admits_load_order(context.now, order) {
                        self.open.remove(&Self::order_name(order));
                        context.scheduler.load_order_not_sent(context.now, order);
                        continue;
                    }
                    socket.enqueue(&self.codec.encode_load(&Self::order_name(order), function, copies));
                    self.writing = Some(Open::Order(order));
                }
                Job::HealthCheck { check: probe, .. } => {
                    socket.enqueue(&self.codec.encode_health_check(&Self::probe_name(probe)))
                }
                Job::Unload { function } => socket.enqueue(&self.codec.encode_unload(function)),
            }
            match socket.flush() {
                Ok(true) => {}
                Ok(false) => break,
                Err(_) => return ConnectionFlow::Close,
            }
        }
        ConnectionFlow::Continue
    }

    fn line(&mut self, line: &[u8], context: &mut Context) -> ConnectionFlow {
        self.silent = false;
        let (correlation_id, reply, copies, load) = match self.codec.decode(line) {
            Ok(WorkerMessage::Alive { correlation_id }) => {
                if let Some(Open::Probe(probe)) = self.open.get(&correlation_id) {
                    let probe = *probe;
                    self.open.remove(&correlation_id);
                    self.probe_by = None;
                    context.scheduler.health_check_ended(context.now, probe, Ok(()));
                }
                return ConnectionFlow::Continue;
            }
            Ok(WorkerMessage::Response {
                correlation_id,
                response: reply,
                instances: copies,
                load_report: load,
            }) => (correlation_id, Ok(reply), copies, load),
            Err(DecodeError { correlation_id, .. }) => {
                context.scheduler.counters().unreadable += 1;
                if let Some(Open::Attempt(attempt)) =
                    correlation_id.as_ref().and_then(|correlation_id| self.open.remove(correlation_id))
                {
                    self.attempts -= 1;
                    self.names.remove(&attempt);
                    let cause = FailureCause::UndecodableResponse;
                    let broken = AttemptError { progress: WriteProgress::Answered, cause };
                    context.scheduler.attempt_ended(context.now, attempt, Err(broken));
                }
                // Where a line ends and the next begins is no longer sure: nothing more comes of use on this
                // connection, and whatever is open on it would wait in vain until its deadline.
                return ConnectionFlow::Close;
            }
        };
        // A name that is not open belongs to nobody (any more); a worker may say what it likes.
        match self.open.remove(&correlation_id) {
            Some(Open::Attempt(attempt)) => {
                self.attempts -= 1;
                self.names.remove(&attempt);
                // The call may go out again under this name. Its next attempt takes another connection, so that
                // this answer's late twin is not taken for its own.
                if !matches!(reply, Ok(WorkerResponse::Ok(_))) {
                    self.shadow(correlation_id, context.now);
                }
                context.scheduler.record_load_report(attempt, &load);
                context.scheduler.attempt_ended(context.now, attempt, reply);
            }
            Some(Open::Order(order)) => {
                let standing =
                    reply.map(|reply| LoadResult { status: reply.status(), instances: copies.unwrap_or(0) });
                context.scheduler.load_order_ended(context.now, order, standing);
            }
            // An answer, but not that it lives.
            Some(Open::Probe(probe)) => {
                self.probe_by = None;
                let broken =
                    AttemptError { progress: WriteProgress::Answered, cause: FailureCause::NotAlive };
                context.scheduler.health_check_ended(context.now, probe, Err(broken));
            }
            Some(Open::Shadow(_)) | None => {}
        }
        self.idle_since = context.now;
        ConnectionFlow::Continue
    }

    /// Keeps a name from use here for a while.
    fn shadow(&mut self, name: String, now: Time) {
        self.open.insert(name.clone(), Open::Shadow(now));
        self.shadows.push_back((now, name));
        self.drop_shadows(now);
    }

    fn drop_shadows(&mut self, now: Time) {
        let many = self.shadows.len().saturating_sub(SHADOW.1);
        let mut gone = self.shadows.iter().position(|(at, _)| *at + SHADOW.0 >= now).unwrap_or(usize::MAX);
        gone = gone.min(self.shadows.len()).max(many);
        for _ in 0..gone {
            let Some((at, _)) = self.shadows.front() else { return };
            let at = *at;
            let Some((_, correlation_id)) = self.shadows.pop_front() else { return };
            if matches!(self.open.get(&correlation_id), Some(Open::Shadow(since)) if *since == at) {
                self.open.remove(&correlation_id);
            }
        }
    }
}

impl Connection for WorkerConnection {
    fn opened(&mut self, socket: &mut BufferedStream, context: &mut Context) -> ConnectionFlow {
        self.connect_by = None;
        self.idle_since = context.now;
        context.scheduler.counters().opened += 1;
        self.pump(socket, context)
    }

    fn received(&mut self, socket: &mut BufferedStream, context: &mut Context) -> ConnectionFlow {
        let mut from = 0;
        while let Some(end) = socket.input[from..].iter().position(|b| *b == b'\n') {
            let line = socket.input[from..from + end].to_vec();
            from += end + 1;
            if self.line(&line, context) == ConnectionFlow::Close {
                return ConnectionFlow::Close;
            }
        }
        socket.consume(from);
        if socket.input.len() > LINE || socket.input_ended {
            return ConnectionFlow::Close;
        }
        self.line_by = match socket.input.is_empty() {
            true => None,
            // What is left after a whole line has only just begun.
            false => self.line_by.filter(|_| from == 0).or(Some(context.now + WHOLE_LINE)),
        };
        self.pump(socket, context)
    }

    fn flushed(&mut self, socket: &mut BufferedStream, context: &mut Context) -> ConnectionFlow {
        self.pump(socket, context)
    }

    fn timer_expired(&mut self, _socket: &mut BufferedStream, context: &mut Context) -> ConnectionFlow {
        self.drop_shadows(context.now);
        if let Some((_, probe)) = self.probe_by.take_if(|(by, _)| *by <= context.now) {
            self.silent = true;
            self.open.remove(&Self::probe_name(probe));
            let broken = AttemptError { progress: WriteProgress::Written, cause: FailureCause::NoResponse };
            context.scheduler.health_check_ended(context.now, probe, Err(broken));
        }
        let late = self.connect_by.into_iter().chain(self.line_by).any(|by| by <= context.now);
        let idle =
            self.idle_since().is_some_and(|since| since + self.limits.get().idle_timeout <= context.now);
        if late || idle { ConnectionFlow::Close } else { ConnectionFlow::Continue }
    }

    fn deadline(&self) -> Option<Time> {
        let idle = self.idle_since().map(|since| since + self.limits.get().idle_timeout);
        let shadow = self.shadows.front().map(|(at, _)| *at + SHADOW.0 + Span(1));
        let probe = self.probe_by.map(|(by, _)| by);
        let due = self.connect_by.into_iter().chain(probe).chain(self.line_by);
        due.chain(idle).chain(shadow).min()
    }

    fn closed(&mut self, socket: &BufferedStream, context: &mut Context) {
        let up = self.connect_by.is_none();
        let waiting: Vec<(bool, Open)> = self
            .pending
            .drain(..)
            .filter_map(|job| match job {
                Job::Start { attempt, .. } => Some((false, Open::Attempt(attempt))),
                Job::Load { order, .. } => Some((false, Open::Order(order))),
                Job::HealthCheck { check: probe, .. } => Some((false, Open::Probe(probe))),
                Job::Cancel { .. } | Job::Unload { .. } => None,
            })
            .collect();
        let half = self.writing.take();
        let mut ends: Vec<(Open, WriteProgress)> =
            waiting.iter().map(|(_, open)| (*open, WriteProgress::NotSent)).collect();
        let is = |a: &Open, b: &Open| match (a, b) {
            (Open::Attempt(a), Open::Attempt(b)) => a == b,
            (Open::Order(a), Open::Order(b)) => a == b,
            (Open::Probe(a), Open::Probe(b)) => a == b,
            _ => false,
        };
        for open in self.open.values() {
            if waiting.iter().any(|(_, other)| is(open, other)) || matches!(open, Open::Shadow(_)) {
                continue;
            }
            // Bytes that never left our buffer: the line at the worker has no end, so it cannot have run.
            let partly = half.as_ref().is_some_and(|half| is(half, open)) && socket.unsent() > 0;
            ends.push((*open, if partly { WriteProgress::PartiallyWritten } else { WriteProgress::Written }));
        }
        let cause = if up { FailureCause::ConnectionClosed } else { FailureCause::NoConnection };
        for (open, reached) in ends {
            let broken = AttemptError { progress: reached, cause };
            match open {
                Open::Attempt(attempt) => context.scheduler.attempt_ended(context.now, attempt, Err(broken)),
                Open::Order(order) => context.scheduler.load_order_ended(context.now, order, Err(broken)),
                Open::Probe(probe) => context.scheduler.health_check_ended(context.now, probe, Err(broken)),
                Open::Shadow(_) => {}
            }
        }
    }

    fn idle_since(&self) -> Option<Time> {
        let used = self.open.values().any(|open| !matches!(open, Open::Shadow(_)));
        let idle = self.connect_by.is_none() && self.pending.is_empty() && self.writing.is_none() && !used;
        idle.then_some(self.idle_since)
    }
}

impl WorkerConnection {
    /// Takes a command for the worker.
    pub fn submit(&mut self, job: Job, socket: &mut BufferedStream, context: &mut Context) -> ConnectionFlow {
        match &job {
            Job::Start { attempt, payload: work, .. } => {
                self.attempts += 1;
                self.open.insert(work.correlation_id.clone(), Open::Attempt(*attempt));
                self.names.insert(*attempt, work.correlation_id.clone());
            }
            Job::Load { order, .. } => {
                self.open.insert(Self::order_name(*order), Open::Order(*order));
            }
            Job::Cancel { attempt } => {
                let Some(name) = self.names.get(attempt).cloned() else { return ConnectionFlow::Continue };
                self.attempts -= 1;
                // Still in line here: it never goes out, and neither does the word to stop it.
                let waits = |job: &Job| matches!(job, Job::Start { attempt: a, .. } if a == attempt);
                if let Some(place) = self.pending.iter().position(waits) {
                    self.pending.remove(place);
                    self.open.remove(&name);
                    self.names.remove(attempt);
                    return ConnectionFlow::Continue;
                }
                self.shadow(name, context.now);
            }
            Job::HealthCheck { check: probe, deadline } => {
                self.open.insert(Self::probe_name(*probe), Open::Probe(*probe));
                self.probe_by = Some((*deadline, *probe));
            }
            Job::Unload { .. } => {}
        }
        self.idle_since = context.now;
        self.pending.push_back(job);
        self.pump(socket, context)
    }

    /// Whether a command could be taken now: its correlation id is not open here and there is capacity.
    pub fn accepts(&self, correlation_id: Option<&str>) -> bool {
        let free = correlation_id.is_none_or(|name| !self.open.contains_key(name));
        free && !self.silent
            && self.attempts < self.limits.get().attempts_per_connection
            && self.open.len() - self.shadows.len().min(self.open.len()) + self.pending.len() < QUEUE
    }

    /// Attempts that are open on this connection.
    pub fn attempts_in_flight(&self) -> usize {
        self.attempts
    }
}
