//! A connection to a worker, with its lifecycle and timers.

mod commands;
pub(super) mod health_check;
pub(super) mod phase;
mod responses;

use super::codec::Codec;
use super::correlation::{CorrelationTable, Exchange, health_check_correlation_id};
use super::limits::Limits;
use super::retired_id_budget::RetiredIdBudget;
use super::write_queue::WriteQueue;
use crate::model::{ConnectionId, Time};
use crate::net::{BufferLimits, BufferedStream, CloseCause, Connection, ConnectionFlow, PartialMessage};
use crate::runtime::{Context, RuntimeState};
use crate::scheduler::{ExchangeError, FailureCause, WriteProgress};
use health_check::HealthCheckState;
use phase::Phase;
use std::cell::Cell;
use std::rc::{Rc, Weak};

/// Maximum length of a line from a worker, in bytes: a body of 16 KiB in base64, plus the other fields.
const MAX_LINE_BYTES: usize = 64 << 10;
/// Number of unsent bytes above which nothing is read from the connection.
const MAX_UNSENT_BYTES: usize = 4 << 20;
/// Maximum number of open exchanges and queued commands on one connection.
const MAX_COMMANDS: usize = 4096;
const LINE_FEED: u8 = b'\n';

/// A worker process that the endpoint list names. It is dropped once the list no longer does.
#[derive(Debug)]
pub(super) struct ListedProcess;

/// A connection to a worker.
pub(super) struct WorkerConnection {
    codec: Rc<dyn Codec>,
    limits: Rc<Cell<Limits>>,
    process: Weak<ListedProcess>,
    write_queue: WriteQueue,
    correlations: CorrelationTable,
    phase: Phase,
    health_check: HealthCheckState,
}

impl WorkerConnection {
    /// The limits on the input and output buffers of the connection.
    pub(super) const BUFFER_LIMITS: BufferLimits = BufferLimits {
        input: MAX_LINE_BYTES,
        output: MAX_UNSENT_BYTES,
    };

    /// Creates a connection that is being established. It fails if it is not established by
    /// `connect_deadline`.
    pub(super) fn new(
        codec: Rc<dyn Codec>,
        limits: Rc<Cell<Limits>>,
        process: Weak<ListedProcess>,
        retired_ids: RetiredIdBudget,
        connect_deadline: Time,
    ) -> WorkerConnection {
        WorkerConnection {
            codec,
            limits,
            process,
            write_queue: WriteQueue::default(),
            correlations: CorrelationTable::new(retired_ids),
            phase: Phase::Connecting {
                deadline: connect_deadline,
            },
            health_check: HealthCheckState::Responsive,
        }
    }

    /// Returns whether the connection can accept a command: it has capacity, its worker is responsive, and
    /// the correlation id, which is set for attempts only, is not in use on the connection.
    pub(super) fn accepts(&self, correlation_id: Option<&str>) -> bool {
        let commands = self.correlations.open_exchange_count() + self.write_queue.len();
        correlation_id.is_none_or(|id| self.correlations.is_unused(id))
            && self.health_check != HealthCheckState::Unresponsive
            && self.attempts_in_flight() < self.limits.get().attempts_per_connection
            && commands < MAX_COMMANDS
    }

    /// Returns whether the endpoint list still names the process at the other end.
    fn is_listed(&self) -> bool {
        self.process.strong_count() > 0
    }

    /// Returns the number of open attempts on this connection.
    pub(super) fn attempts_in_flight(&self) -> usize {
        self.correlations.open_attempt_count()
    }

    /// Ends the outstanding health check with an error if its deadline has passed.
    fn expire_health_check(&mut self, context: &mut Context) {
        let Some(check) = self.health_check.expire(context.now) else {
            return;
        };
        self.correlations.close(&health_check_correlation_id(check));
        let error = ExchangeError {
            progress: WriteProgress::Written,
            cause: FailureCause::NoResponse,
        };
        context
            .shared
            .scheduler
            .health_check_ended(context.now, check, Err(error));
    }

    /// Returns the time at which the connection closes unless its state changes before then.
    fn close_deadline(&self) -> Option<Time> {
        let idle_deadline = self
            .idle_since()
            .map(|since| since + self.limits.get().idle_timeout);
        self.phase.deadline().into_iter().chain(idle_deadline).min()
    }
}

/// Reports to the scheduler that the connection closed before an exchange was complete.
fn report_failure(exchange: Exchange, error: ExchangeError, context: &mut Context) {
    let scheduler = &mut context.shared.scheduler;
    match exchange {
        Exchange::Attempt(attempt) => scheduler.attempt_ended(context.now, attempt, Err(error)),
        Exchange::LoadOrder(order) => scheduler.load_order_ended(context.now, order, Err(error)),
        Exchange::HealthCheck(check) => scheduler.health_check_ended(context.now, check, Err(error)),
    }
}

impl Connection<RuntimeState> for WorkerConnection {
    fn opened(&mut self, _socket: &mut BufferedStream, context: &mut Context) -> ConnectionFlow {
        self.phase = Phase::established(context.now);
        context.shared.scheduler.counters().worker_connections_opened += 1;
        ConnectionFlow::Continue
    }

    fn received(&mut self, socket: &mut BufferedStream, context: &mut Context) -> ConnectionFlow {
        let mut consumed = 0;
        while context.messages.take()
            && let Some(length) = socket.input[consumed..]
                .iter()
                .position(|byte| *byte == LINE_FEED)
        {
            let end = consumed + length;
            if self.handle_line(&socket.input[consumed..end], context) == ConnectionFlow::Close {
                return ConnectionFlow::Close;
            }
            consumed = end + 1;
        }
        socket.consume(consumed);
        if context.messages.is_exhausted() {
            return ConnectionFlow::Continue;
        }
        if socket.input.len() > MAX_LINE_BYTES || socket.input_ended {
            return ConnectionFlow::Close;
        }
        let line = PartialMessage::after_read(!socket.input.is_empty(), consumed > 0);
        self.phase.track_line(line, context.now);
        ConnectionFlow::Continue
    }

    fn may_write_remaining(&self, context: &mut Context) -> bool {
        match self.write_queue.writing() {
            Some(Exchange::Attempt(attempt)) => context
                .shared
                .scheduler
                .admits_write_continuation(context.now, attempt),
            _ => true,
        }
    }

    fn flushed(&mut self, _socket: &mut BufferedStream, context: &mut Context) -> ConnectionFlow {
        self.finish_write(context);
        ConnectionFlow::Continue
    }

    fn is_write_due(&self, socket: &BufferedStream) -> bool {
        self.can_write(socket)
    }

    fn next_write_depends_on(&self, shared: &RuntimeState) -> Option<ConnectionId> {
        let origin = shared.scheduler.origin_of(self.next_attempt()?)?;
        Some(origin.connection)
    }

    fn pending_write_count(&self) -> usize {
        self.write_queue.len()
    }

    fn postpone_next_write(&mut self, context: &mut Context) {
        self.postpone_next_command(context);
    }

    fn write_next(&mut self, socket: &mut BufferedStream, context: &mut Context) -> ConnectionFlow {
        self.write_next_command(socket, context)
    }

    fn timer_expired(&mut self, _socket: &mut BufferedStream, context: &mut Context) -> ConnectionFlow {
        self.correlations.expire_retired(context.now);
        self.correlations.expire_load_orders(context.now);
        self.expire_health_check(context);
        match self.close_deadline() {
            Some(deadline) if deadline <= context.now => ConnectionFlow::Close,
            _ => ConnectionFlow::Continue,
        }
    }

    fn deadline(&self) -> Option<Time> {
        let deadlines = [
            self.close_deadline(),
            self.health_check.deadline(),
            self.correlations.next_expiry(),
        ];
        deadlines.into_iter().flatten().min()
    }

    fn closed(&mut self, socket: &BufferedStream, _cause: CloseCause, context: &mut Context) {
        let cause = if self.phase.is_connecting() {
            FailureCause::NoConnection
        } else {
            FailureCause::ConnectionClosed
        };
        let open_exchanges = self.correlations.open_exchanges();
        for unfinished in self.write_queue.unfinished(open_exchanges, socket.unsent_bytes()) {
            let error = ExchangeError {
                progress: unfinished.progress,
                cause,
            };
            report_failure(unfinished.exchange, error, context);
        }
    }

    fn idle_since(&self) -> Option<Time> {
        let last_activity = self.phase.last_activity()?;
        let is_idle = self.write_queue.is_idle() && !self.correlations.has_open_exchanges();
        is_idle.then_some(last_activity)
    }
}
