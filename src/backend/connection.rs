//! A connection to a worker: its lifecycle and timers, and the exchange of commands and answers.

use super::codec::{Codec, DecodeError, ResponseMessage, WorkerMessage};
use super::correlation::{
    CorrelationTable, Exchange, health_check_correlation_id, load_order_correlation_id,
};
use super::job::Job;
use super::limits::Limits;
use super::write_queue::WriteQueue;
use crate::model::{FunctionId, Span, Time};
use crate::net::{BufferLimits, BufferedStream, Connection, ConnectionFlow, Context};
use crate::scheduler::{
    AttemptError, AttemptId, FailureCause, HealthCheckId, LoadOrderId, LoadResult, RequestPayload,
    WorkerResponse, WriteProgress,
};
use std::cell::Cell;
use std::rc::Rc;

/// Longest line taken from a worker, in bytes: a body of 16 KiB in base64, and the fields around it.
const MAX_LINE_BYTES: usize = 64 << 10;
/// Unsent bytes beyond which a connection is not read from.
const MAX_UNSENT_BYTES: usize = 4 << 20;
/// Open and waiting commands on one connection.
const MAX_COMMANDS: usize = 4096;
/// Time within which a line of a worker has to arrive completely. One that stops short would swallow the
/// start of the next answer.
const LINE_TIMEOUT: Span = Span::from_millis(300);
const LINE_FEED: u8 = b'\n';

/// A health check whose answer is awaited.
struct OutstandingHealthCheck {
    check: HealthCheckId,
    deadline: Time,
}

/// A connection to a worker.
pub(super) struct WorkerConnection {
    codec: Rc<dyn Codec>,
    limits: Rc<Cell<Limits>>,
    write_queue: WriteQueue,
    correlations: CorrelationTable,
    /// Until when the connection has to be established; none once it is.
    connect_deadline: Option<Time>,
    /// When the last command was taken or the last answer came.
    last_activity: Time,
    health_check: Option<OutstandingHealthCheck>,
    /// Until when the rest of an incomplete line has to arrive.
    line_deadline: Option<Time>,
    /// A health check was not answered, and nothing has arrived since. A connection through a network
    /// partition stays established and silent, and is slow to recover after the partition. New commands take
    /// a new connection instead: if it is refused, this proves that nothing ran.
    unresponsive: bool,
}

impl WorkerConnection {
    /// Limits of the buffers of a connection's stream.
    pub(super) const BUFFER_LIMITS: BufferLimits =
        BufferLimits { input: MAX_LINE_BYTES, output: MAX_UNSENT_BYTES };

    /// A connection that is being established, and has failed if it is not by `connect_deadline`.
    pub(super) fn new(
        codec: Rc<dyn Codec>,
        limits: Rc<Cell<Limits>>,
        connect_deadline: Time,
    ) -> WorkerConnection {
        WorkerConnection {
            codec,
            limits,
            write_queue: WriteQueue::default(),
            correlations: CorrelationTable::default(),
            connect_deadline: Some(connect_deadline),
            last_activity: connect_deadline,
            health_check: None,
            line_deadline: None,
            unresponsive: false,
        }
    }

    /// Whether a command could be taken now: there is capacity, and its correlation id, if it is an
    /// attempt's, is not in use here.
    pub(super) fn accepts(&self, correlation_id: Option<&str>) -> bool {
        let commands = self.correlations.open_exchange_count() + self.write_queue.len();
        correlation_id.is_none_or(|id| self.correlations.is_unused(id))
            && !self.unresponsive
            && self.attempts_in_flight() < self.limits.get().attempts_per_connection
            && commands < MAX_COMMANDS
    }

    /// Number of attempts that are open on this connection.
    pub(super) fn attempts_in_flight(&self) -> usize {
        self.correlations.open_attempt_count()
    }

    /// Takes a command for the worker.
    pub(super) fn submit(
        &mut self,
        job: Job,
        socket: &mut BufferedStream,
        context: &mut Context,
    ) -> ConnectionFlow {
        match &job {
            Job::Start { attempt, payload, .. } => {
                self.correlations.open_attempt(*attempt, &payload.correlation_id);
            }
            Job::Cancel { attempt } => {
                if !self.cancel_attempt(*attempt, context.now) {
                    return ConnectionFlow::Continue;
                }
            }
            Job::Load { order, .. } => self.correlations.open_load_order(*order),
            Job::HealthCheck { check, deadline } => {
                self.correlations.open_health_check(*check);
                self.health_check = Some(OutstandingHealthCheck { check: *check, deadline: *deadline });
            }
            Job::Unload { .. } => {}
        }
        self.last_activity = context.now;
        self.write_queue.push(job);
        self.flush_jobs(socket, context)
    }

    /// Cancels an attempt, and returns whether the worker needs a command for that. It needs none if the
    /// attempt has been answered, or if its start still waited and so is never written.
    fn cancel_attempt(&mut self, attempt: AttemptId, now: Time) -> bool {
        if !self.correlations.has_attempt(attempt) {
            return false;
        }
        if self.write_queue.remove_start(attempt) {
            self.correlations.close_unsent_attempt(attempt);
            return false;
        }
        self.correlations.cancel_attempt(attempt, now);
        true
    }

    /// Writes the waiting commands one after another, each once the one before has been written completely.
    fn flush_jobs(&mut self, socket: &mut BufferedStream, context: &mut Context) -> ConnectionFlow {
        while socket.is_connected() && socket.unsent() == 0 {
            if let Some(Exchange::Attempt(attempt)) = self.write_queue.finish_write() {
                context.scheduler.attempt_written(context.now, attempt);
            }
            let Some(job) = self.write_queue.pop() else {
                break;
            };
            let Some(line) = self.encode(job, context) else {
                continue;
            };
            socket.enqueue(&line);
            if socket.flush().is_err() {
                return ConnectionFlow::Close;
            }
        }
        ConnectionFlow::Continue
    }

    /// Encodes a command whose turn has come; none if it must not be written any more.
    fn encode(&mut self, job: Job, context: &mut Context) -> Option<Vec<u8>> {
        match job {
            Job::Start { attempt, payload, deadline } => {
                self.encode_start(attempt, &payload, deadline, context)
            }
            Job::Cancel { attempt } => {
                let correlation_id = self.correlations.take_cancelled(attempt)?;
                Some(self.codec.encode_cancel(&correlation_id))
            }
            Job::Load { order, function, instances } => self.encode_load(order, function, instances, context),
            Job::HealthCheck { check, .. } => {
                Some(self.codec.encode_health_check(&health_check_correlation_id(check)))
            }
            Job::Unload { function } => Some(self.codec.encode_unload(function)),
        }
    }

    fn encode_start(
        &mut self,
        attempt: AttemptId,
        payload: &RequestPayload,
        deadline: Time,
        context: &mut Context,
    ) -> Option<Vec<u8>> {
        if !context.scheduler.admits_write(context.now, attempt) {
            self.correlations.close_unsent_attempt(attempt);
            context.scheduler.attempt_not_sent(context.now, attempt);
            return None;
        }
        self.write_queue.begin_write(Exchange::Attempt(attempt));
        Some(self.codec.encode_request(payload, context.now, deadline))
    }

    fn encode_load(
        &mut self,
        order: LoadOrderId,
        function: FunctionId,
        instances: u8,
        context: &mut Context,
    ) -> Option<Vec<u8>> {
        let correlation_id = load_order_correlation_id(order);
        if !context.scheduler.admits_load_order(context.now, order) {
            self.correlations.close(&correlation_id);
            context.scheduler.load_order_not_sent(context.now, order);
            return None;
        }
        self.write_queue.begin_write(Exchange::LoadOrder(order));
        Some(self.codec.encode_load(&correlation_id, function, instances))
    }

    fn handle_line(&mut self, line: &[u8], context: &mut Context) -> ConnectionFlow {
        self.unresponsive = false;
        match self.codec.decode(line) {
            Ok(WorkerMessage::Response(message)) => self.handle_response(message, context),
            Ok(WorkerMessage::Alive { correlation_id }) => self.handle_alive(&correlation_id, context),
            Err(error) => {
                self.handle_decode_error(&error, context);
                // It is no longer certain where lines begin and end, so that whatever is open on this
                // connection could wait for its answer in vain.
                return ConnectionFlow::Close;
            }
        }
        ConnectionFlow::Continue
    }

    fn handle_response(&mut self, message: ResponseMessage, context: &mut Context) {
        match self.correlations.close(&message.correlation_id) {
            Some(Exchange::Attempt(attempt)) => self.end_attempt(attempt, message, context),
            Some(Exchange::LoadOrder(order)) => end_load_order(order, &message, context),
            Some(Exchange::HealthCheck(check)) => self.fail_health_check(check, context),
            // The answer to something that has been cancelled or was never sent.
            None => {}
        }
        self.last_activity = context.now;
    }

    fn end_attempt(&mut self, attempt: AttemptId, message: ResponseMessage, context: &mut Context) {
        // A request that was not served may be tried again under the same id. That attempt has to take
        // another connection, so that a duplicate of this answer is not taken for its own.
        if !matches!(message.response, WorkerResponse::Ok(_)) {
            self.correlations.retire(message.correlation_id, context.now);
        }
        context.scheduler.record_load_report(attempt, &message.load_report);
        context.scheduler.attempt_ended(context.now, attempt, Ok(message.response));
    }

    fn handle_alive(&mut self, correlation_id: &str, context: &mut Context) {
        if let Some(Exchange::HealthCheck(check)) = self.correlations.exchange(correlation_id) {
            self.correlations.close(correlation_id);
            self.health_check = None;
            context.scheduler.health_check_ended(context.now, check, Ok(()));
        }
    }

    /// Ends a health check that was answered, but not with the message that the worker is alive.
    fn fail_health_check(&mut self, check: HealthCheckId, context: &mut Context) {
        self.health_check = None;
        let error = AttemptError { progress: WriteProgress::Answered, cause: FailureCause::NotAlive };
        context.scheduler.health_check_ended(context.now, check, Err(error));
    }

    fn handle_decode_error(&mut self, error: &DecodeError, context: &mut Context) {
        context.scheduler.counters().unreadable += 1;
        let exchange = error.correlation_id.as_ref().and_then(|id| self.correlations.close(id));
        if let Some(Exchange::Attempt(attempt)) = exchange {
            let error =
                AttemptError { progress: WriteProgress::Answered, cause: FailureCause::UndecodableResponse };
            context.scheduler.attempt_ended(context.now, attempt, Err(error));
        }
    }

    /// Ends the health check that has not been answered in time.
    fn expire_health_check(&mut self, context: &mut Context) {
        let overdue = self.health_check.take_if(|outstanding| outstanding.deadline <= context.now);
        let Some(OutstandingHealthCheck { check, .. }) = overdue else {
            return;
        };
        self.unresponsive = true;
        self.correlations.close(&health_check_correlation_id(check));
        let error = AttemptError { progress: WriteProgress::Written, cause: FailureCause::NoResponse };
        context.scheduler.health_check_ended(context.now, check, Err(error));
    }

    /// When the connection is to be closed, unless something happens before.
    fn close_deadline(&self) -> Option<Time> {
        let idle_deadline = self.idle_since().map(|since| since + self.limits.get().idle_timeout);
        [self.connect_deadline, self.line_deadline, idle_deadline].into_iter().flatten().min()
    }

    /// Sets the deadline of the line of which the input holds the start.
    fn update_line_deadline(&mut self, lines_received: bool, input_is_empty: bool, now: Time) {
        if input_is_empty {
            self.line_deadline = None;
        } else if lines_received || self.line_deadline.is_none() {
            self.line_deadline = Some(now + LINE_TIMEOUT);
        }
    }
}

fn end_load_order(order: LoadOrderId, message: &ResponseMessage, context: &mut Context) {
    let result = LoadResult { status: message.response.status(), instances: message.instances.unwrap_or(0) };
    context.scheduler.load_order_ended(context.now, order, Ok(result));
}

/// Reports an exchange that the connection's end has cut off.
fn report_failure(exchange: Exchange, error: AttemptError, context: &mut Context) {
    match exchange {
        Exchange::Attempt(attempt) => context.scheduler.attempt_ended(context.now, attempt, Err(error)),
        Exchange::LoadOrder(order) => context.scheduler.load_order_ended(context.now, order, Err(error)),
        Exchange::HealthCheck(check) => context.scheduler.health_check_ended(context.now, check, Err(error)),
    }
}

impl Connection for WorkerConnection {
    fn opened(&mut self, socket: &mut BufferedStream, context: &mut Context) -> ConnectionFlow {
        self.connect_deadline = None;
        self.last_activity = context.now;
        context.scheduler.counters().opened += 1;
        self.flush_jobs(socket, context)
    }

    fn received(&mut self, socket: &mut BufferedStream, context: &mut Context) -> ConnectionFlow {
        let mut consumed = 0;
        while let Some(length) = socket.input[consumed..].iter().position(|byte| *byte == LINE_FEED) {
            let end = consumed + length;
            if self.handle_line(&socket.input[consumed..end], context) == ConnectionFlow::Close {
                return ConnectionFlow::Close;
            }
            consumed = end + 1;
        }
        socket.consume(consumed);
        if socket.input.len() > MAX_LINE_BYTES || socket.input_ended {
            return ConnectionFlow::Close;
        }
        self.update_line_deadline(consumed > 0, socket.input.is_empty(), context.now);
        self.flush_jobs(socket, context)
    }

    fn flushed(&mut self, socket: &mut BufferedStream, context: &mut Context) -> ConnectionFlow {
        self.flush_jobs(socket, context)
    }

    fn timer_expired(&mut self, _socket: &mut BufferedStream, context: &mut Context) -> ConnectionFlow {
        self.correlations.expire_retired(context.now);
        self.expire_health_check(context);
        match self.close_deadline() {
            Some(deadline) if deadline <= context.now => ConnectionFlow::Close,
            _ => ConnectionFlow::Continue,
        }
    }

    fn deadline(&self) -> Option<Time> {
        let health_check_deadline = self.health_check.as_ref().map(|outstanding| outstanding.deadline);
        let deadlines = [self.close_deadline(), health_check_deadline, self.correlations.next_expiry()];
        deadlines.into_iter().flatten().min()
    }

    fn closed(&mut self, socket: &BufferedStream, context: &mut Context) {
        let cause = match self.connect_deadline {
            None => FailureCause::ConnectionClosed,
            Some(_) => FailureCause::NoConnection,
        };
        let open_exchanges = self.correlations.open_exchanges();
        for unfinished in self.write_queue.unfinished(open_exchanges, socket.unsent()) {
            let error = AttemptError { progress: unfinished.progress, cause };
            report_failure(unfinished.exchange, error, context);
        }
    }

    fn idle_since(&self) -> Option<Time> {
        let is_idle = self.connect_deadline.is_none()
            && self.write_queue.is_idle()
            && !self.correlations.has_open_exchanges();
        is_idle.then_some(self.last_activity)
    }
}
