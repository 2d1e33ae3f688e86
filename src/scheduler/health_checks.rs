//! The lifecycle of health checks: start, response and timeout.

use super::health_check_table::HealthCheck;
use super::timers::Timer;
use super::{Command, ExchangeError, HealthCheckId, Scheduler};
use crate::model::{Event, HealthCheckStatus, Time, WorkerId};

impl Scheduler {
    /// Ends a health check with the worker's response or with the failure of its exchange.
    pub fn health_check_ended(&mut self, now: Time, check: HealthCheckId, result: Result<(), ExchangeError>) {
        let status = match result {
            Ok(()) => HealthCheckStatus::Alive,
            Err(_) => HealthCheckStatus::Failed,
        };
        self.finish_health_check(check, status);
        self.run_policy(now);
    }

    /// Starts a health check of a worker.
    pub(super) fn start_health_check(&mut self, now: Time, worker: WorkerId) {
        let id = HealthCheckId(self.id_generator.exchange_number());
        let check = HealthCheck::new(worker, now);
        let deadline = check.deadline;
        self.health_checks.insert(id, check);
        self.timers.schedule(deadline, Timer::HealthCheck(id));
        self.counters.health_checks += 1;
        self.commands.push_back(Command::HealthCheck {
            check: id,
            worker,
            deadline,
        });
    }

    /// Ends a health check that has timed out.
    pub(super) fn time_out_health_check(&mut self, id: HealthCheckId) {
        self.finish_health_check(id, HealthCheckStatus::Timeout);
    }

    fn finish_health_check(&mut self, id: HealthCheckId, status: HealthCheckStatus) {
        let Some(check) = self.health_checks.remove(id) else {
            return;
        };
        self.timers.cancel(check.deadline, Timer::HealthCheck(id));
        if status != HealthCheckStatus::Alive {
            self.counters.health_checks_failed += 1;
        }
        self.pending_events.push_back(Event::HealthCheckFinished {
            worker: check.worker,
            status,
        });
    }
}
