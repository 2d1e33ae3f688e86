//! The handling of responses that arrive on a connection.

use super::WorkerConnection;
use super::health_check::HealthCheckState;
use crate::backend::codec::{DecodeError, ResponseMessage, WorkerMessage};
use crate::backend::correlation::Exchange;
use crate::net::ConnectionFlow;
use crate::runtime::Context;
use crate::scheduler::{
    AttemptId, ExchangeError, FailureCause, HealthCheckId, LoadOrderId, LoadResult, WorkerResponse,
    WriteProgress,
};

impl WorkerConnection {
    /// Decodes a line from the worker and ends the exchange that it responds to.
    pub(super) fn handle_line(&mut self, line: &[u8], context: &mut Context) -> ConnectionFlow {
        self.health_check.record_input();
        match self.codec.decode(line) {
            Ok(WorkerMessage::Response(message)) => self.handle_response(message, context),
            Ok(WorkerMessage::Alive { correlation_id }) => self.handle_alive(&correlation_id, context),
            Err(error) => {
                self.handle_decode_error(&error, context);
                // The boundaries between lines are no longer certain, so the responses to the other open
                // exchanges might never be recognized.
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
            // The response to an exchange that was cancelled, has already ended or was never opened.
            None => {}
        }
        self.phase.record_activity(context.now);
    }

    fn end_attempt(&mut self, attempt: AttemptId, message: ResponseMessage, context: &mut Context) {
        // A request that was not served may be retried with the same correlation id. The retry must use
        // another connection; otherwise a duplicate of this response could be mistaken for the retry's own.
        if !matches!(message.response, WorkerResponse::Ok(_)) {
            self.correlations.retire(message.correlation_id, context.now);
        }
        let scheduler = &mut context.shared.scheduler;
        scheduler.record_load_report(attempt, &message.load_report);
        scheduler.attempt_ended(context.now, attempt, Ok(message.response));
    }

    fn handle_alive(&mut self, correlation_id: &str, context: &mut Context) {
        if let Some(Exchange::HealthCheck(check)) = self.correlations.exchange(correlation_id) {
            self.correlations.close(correlation_id);
            self.health_check = HealthCheckState::Responsive;
            let scheduler = &mut context.shared.scheduler;
            scheduler.health_check_ended(context.now, check, Ok(()));
        }
    }

    /// Ends a health check whose response does not say that the worker is alive.
    fn fail_health_check(&mut self, check: HealthCheckId, context: &mut Context) {
        self.health_check = HealthCheckState::Responsive;
        let error = ExchangeError {
            progress: WriteProgress::Answered,
            cause: FailureCause::NotAlive,
        };
        let scheduler = &mut context.shared.scheduler;
        scheduler.health_check_ended(context.now, check, Err(error));
    }

    fn handle_decode_error(&mut self, error: &DecodeError, context: &mut Context) {
        context.shared.scheduler.counters().decode_errors += 1;
        let exchange = error
            .correlation_id
            .as_ref()
            .and_then(|id| self.correlations.close(id));
        if let Some(Exchange::Attempt(attempt)) = exchange {
            let error = ExchangeError {
                progress: WriteProgress::Answered,
                cause: FailureCause::UndecodableResponse,
            };
            let scheduler = &mut context.shared.scheduler;
            scheduler.attempt_ended(context.now, attempt, Err(error));
        }
    }
}

fn end_load_order(order: LoadOrderId, message: &ResponseMessage, context: &mut Context) {
    let result = LoadResult {
        status: message.response.load_status(),
        instances: message.instances.unwrap_or(0),
    };
    let scheduler = &mut context.shared.scheduler;
    scheduler.load_order_ended(context.now, order, Ok(result));
}
