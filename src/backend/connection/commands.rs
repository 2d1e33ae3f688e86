//! The commands of a connection, which are queued and written one at a time.

use super::WorkerConnection;
use super::health_check::HealthCheckState;
use crate::backend::correlation::{Exchange, health_check_correlation_id, load_order_correlation_id};
use crate::backend::worker_command::WorkerCommand;
use crate::model::{FunctionId, Span, Time};
use crate::net::{BufferedStream, ConnectionFlow};
use crate::runtime::Context;
use crate::scheduler::{AttemptId, LoadOrderId, RequestPayload};

/// Time for which an attempt is postponed while its client has input that could not be handled.
const MAX_POSTPONEMENT: Span = Span::from_millis(20);

impl WorkerConnection {
    /// Queues a command for the worker; the reactor has it written. Drops a cancellation that the worker does
    /// not need.
    pub(in crate::backend) fn submit(&mut self, command: WorkerCommand, context: &mut Context) {
        match &command {
            WorkerCommand::Send { attempt, payload, .. } => {
                self.correlations.open_attempt(*attempt, &payload.correlation_id);
            }
            WorkerCommand::Cancel { attempt } => {
                if !self.cancel_attempt(*attempt, context.now) {
                    return;
                }
            }
            WorkerCommand::Load { order, deadline, .. } => {
                self.correlations.open_load_order(*order, *deadline);
            }
            WorkerCommand::HealthCheck { check, deadline } => {
                self.correlations.open_health_check(*check);
                self.health_check = HealthCheckState::Outstanding {
                    check: *check,
                    deadline: *deadline,
                };
            }
            WorkerCommand::Unload { .. } => {}
        }
        self.phase.record_activity(context.now);
        self.write_queue.push(command);
    }

    /// Returns whether a command is queued and the previous one has been written completely.
    pub(super) fn can_write(&self, socket: &BufferedStream) -> bool {
        socket.is_connected() && socket.unsent_bytes() == 0 && self.write_queue.len() > 0
    }

    /// Returns the attempt that the next queued command starts, if it starts one.
    pub(super) fn next_attempt(&self) -> Option<AttemptId> {
        match self.write_queue.front()?.exchange()? {
            Exchange::Attempt(attempt) => Some(attempt),
            Exchange::LoadOrder(_) | Exchange::HealthCheck(_) => None,
        }
    }

    /// Cancels an attempt. Returns whether the cancellation must be sent to the worker. It need not be sent
    /// if the response has already arrived, or if the attempt's own command was still queued and is now
    /// removed.
    fn cancel_attempt(&mut self, attempt: AttemptId, now: Time) -> bool {
        if !self.correlations.has_attempt(attempt) {
            return false;
        }
        if self.write_queue.remove_send(attempt) {
            self.correlations.close_unsent_attempt(attempt);
            return false;
        }
        self.correlations.cancel_attempt(attempt, now);
        true
    }

    /// Moves the next command behind the others. An attempt that has been postponed for [`MAX_POSTPONEMENT`] ends as
    /// not sent, so that it does not occupy its worker's capacity any longer.
    pub(super) fn postpone_next_command(&mut self, context: &mut Context) {
        let Some(attempt) = self.next_attempt() else {
            return;
        };
        if self.write_queue.postpone_front(context.now) <= MAX_POSTPONEMENT {
            return;
        }
        self.write_queue.remove_send(attempt);
        self.correlations.close_unsent_attempt(attempt);
        context.shared.scheduler.attempt_not_sent(context.now, attempt);
    }

    /// Writes the next queued command, if [`WorkerConnection::can_write`] holds.
    pub(super) fn write_next_command(
        &mut self,
        socket: &mut BufferedStream,
        context: &mut Context,
    ) -> ConnectionFlow {
        if !self.can_write(socket) {
            return ConnectionFlow::Continue;
        }
        let Some(line) = self
            .write_queue
            .pop()
            .and_then(|command| self.encode(command, context))
        else {
            return ConnectionFlow::Continue;
        };
        socket.enqueue(&line);
        match socket.flush() {
            Ok(true) => self.finish_write(context),
            Ok(false) => {}
            Err(_) => return ConnectionFlow::Close,
        }
        ConnectionFlow::Continue
    }

    /// Records that the operating system has accepted the command that was being written.
    pub(super) fn finish_write(&mut self, context: &mut Context) {
        if let Some(Exchange::Attempt(attempt)) = self.write_queue.finish_write() {
            context.shared.scheduler.attempt_written(context.now, attempt);
        }
    }

    /// Encodes a command immediately before it is written. Returns `None` if it must no longer be written.
    fn encode(&mut self, command: WorkerCommand, context: &mut Context) -> Option<Vec<u8>> {
        match command {
            WorkerCommand::Send {
                attempt,
                payload,
                deadline,
            } => self.encode_send(attempt, &payload, deadline, context),
            WorkerCommand::Cancel { attempt } => {
                let correlation_id = self.correlations.take_cancelled(attempt)?;
                Some(self.codec.encode_cancel(&correlation_id))
            }
            WorkerCommand::Load {
                order,
                function,
                instances,
                ..
            } => self.encode_load(order, function, instances, context),
            WorkerCommand::HealthCheck { check, .. } => Some(
                self.codec
                    .encode_health_check(&health_check_correlation_id(check)),
            ),
            WorkerCommand::Unload { function } => {
                self.is_listed().then(|| self.codec.encode_unload(function))
            }
        }
    }

    fn encode_send(
        &mut self,
        attempt: AttemptId,
        payload: &RequestPayload,
        deadline: Time,
        context: &mut Context,
    ) -> Option<Vec<u8>> {
        if !self.is_listed() || !context.shared.scheduler.admits_write(context.now, attempt) {
            self.correlations.close_unsent_attempt(attempt);
            context.shared.scheduler.attempt_not_sent(context.now, attempt);
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
        if !self.is_listed() || !context.shared.scheduler.admits_load_order(context.now, order) {
            self.correlations.close(&correlation_id);
            context.shared.scheduler.load_order_not_sent(context.now, order);
            return None;
        }
        self.write_queue.begin_write(Exchange::LoadOrder(order));
        Some(self.codec.encode_load(&correlation_id, function, instances))
    }
}
