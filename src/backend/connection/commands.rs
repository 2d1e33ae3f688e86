//! The commands of a connection: taken from the pool, written one at a time.

use super::WorkerConnection;
use super::health_check::HealthCheckState;
use crate::backend::correlation::{Exchange, health_check_correlation_id, load_order_correlation_id};
use crate::backend::job::Job;
use crate::model::{FunctionId, Time};
use crate::net::{BufferedStream, ConnectionFlow};
use crate::runtime::Context;
use crate::scheduler::{AttemptId, LoadOrderId, RequestPayload};

impl WorkerConnection {
    /// Takes a command for the worker.
    pub(in crate::backend) fn submit(
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
                self.health_check = HealthCheckState::Outstanding {
                    check: *check,
                    deadline: *deadline,
                };
            }
            Job::Unload { .. } => {}
        }
        self.phase.record_activity(context.now);
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
    pub(super) fn flush_jobs(
        &mut self,
        socket: &mut BufferedStream,
        context: &mut Context,
    ) -> ConnectionFlow {
        while socket.is_connected() && socket.unsent() == 0 {
            if let Some(Exchange::Attempt(attempt)) = self.write_queue.finish_write() {
                context.shared.scheduler.attempt_written(context.now, attempt);
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
            Job::Start {
                attempt,
                payload,
                deadline,
            } => self.encode_start(attempt, &payload, deadline, context),
            Job::Cancel { attempt } => {
                let correlation_id = self.correlations.take_cancelled(attempt)?;
                Some(self.codec.encode_cancel(&correlation_id))
            }
            Job::Load {
                order,
                function,
                instances,
            } => self.encode_load(order, function, instances, context),
            Job::HealthCheck { check, .. } => Some(
                self.codec
                    .encode_health_check(&health_check_correlation_id(check)),
            ),
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
        if !context.shared.scheduler.admits_write(context.now, attempt) {
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
        if !context.shared.scheduler.admits_load_order(context.now, order) {
            self.correlations.close(&correlation_id);
            context.shared.scheduler.load_order_not_sent(context.now, order);
            return None;
        }
        self.write_queue.begin_write(Exchange::LoadOrder(order));
        Some(self.codec.encode_load(&correlation_id, function, instances))
    }
}
