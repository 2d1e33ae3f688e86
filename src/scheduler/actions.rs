//! Carries out the policy's actions: each becomes state of the scheduler and a command.

use super::attempts::Attempt;
use super::health_checks::HealthCheck;
use super::load_orders::LoadOrder;
use super::timers::Timer;
use super::{AttemptId, Command, HealthCheckId, LoadOrderId, Outcome, Scheduler};
use crate::model::{Action, AttemptStatus, FunctionId, RequestId, Span, Time, WorkerId};
use tracing::debug;

impl Scheduler {
    pub(super) fn carry_out(&mut self, now: Time, action: Action) {
        match action {
            Action::Send { id, worker, timeout } => self.start_attempt(now, id, worker, timeout),
            Action::Cancel { id, attempt } => {
                let attempt = AttemptId {
                    request: id,
                    number: attempt,
                };
                self.cancel_attempt(now, attempt, AttemptStatus::Cancelled);
            }
            Action::Reject { id, retry_after } => {
                self.finish_request(now, id, Outcome::Rejected { retry_after });
            }
            Action::Fail { id } => self.finish_request(now, id, Outcome::Failed),
            Action::Load {
                worker,
                function,
                instances,
            } => {
                self.start_load_order(now, worker, function, instances);
            }
            Action::Unload { worker, function } => {
                self.commands.push_back(Command::Unload { worker, function });
            }
            Action::HealthCheck { worker } => self.start_health_check(now, worker),
            Action::SetTimer { delay } => self.timers.schedule(now + delay, Timer::Policy),
            // Discovery follows the endpoint list without being asked.
            Action::Subscribe => {}
        }
    }

    fn start_attempt(&mut self, now: Time, id: RequestId, worker: WorkerId, timeout: Span) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let attempt = AttemptId {
            request: id,
            number: request.start_attempt(),
        };
        let deadline = (now + timeout).min(request.deadline);
        let payload = request.payload.clone();
        debug!(
            "attempt begun request={} attempt={} worker={:08x}",
            id.0, attempt.number, worker.0
        );
        self.attempts.insert(attempt, Attempt::new(worker, now, deadline));
        self.timers.schedule(deadline, Timer::Attempt(attempt));
        self.commands.push_back(Command::Send {
            attempt,
            worker,
            payload,
            deadline,
        });
    }

    fn start_load_order(&mut self, now: Time, worker: WorkerId, function: FunctionId, instances: u8) {
        let id = LoadOrderId(self.take_tag());
        let deadline = now + self.site.load_timeout;
        let order = LoadOrder {
            worker,
            function,
            instances,
            deadline,
            started_at: now,
        };
        self.load_orders.insert(id, order);
        self.timers.schedule(deadline, Timer::LoadOrder(id));
        self.commands.push_back(Command::Load {
            order: id,
            worker,
            function,
            instances,
        });
    }

    fn start_health_check(&mut self, now: Time, worker: WorkerId) {
        let id = HealthCheckId(self.take_tag());
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

    fn take_tag(&mut self) -> u64 {
        let tag = self.next_tag;
        self.next_tag += 1;
        tag
    }
}
