//! The lifecycle of load orders: start, response and timeout.

use super::load_order_table::LoadOrder;
use super::timers::Timer;
use super::{Command, ExchangeError, LoadOrderId, LoadResult, Scheduler};
use crate::model::{Event, FunctionId, LoadStatus, Time, WorkerId};

impl Scheduler {
    /// Returns the number of written load orders that the load rate limiter retains.
    pub fn retained_load_orders(&self) -> usize {
        self.load_rate_limiter.retained_load_orders()
    }

    /// Ends a load order with the worker's response or with the failure of its exchange.
    pub fn load_order_ended(
        &mut self,
        now: Time,
        order: LoadOrderId,
        result: Result<LoadResult, ExchangeError>,
    ) {
        let result =
            result.unwrap_or_else(|error| LoadResult::without_instances(error.progress.load_status()));
        self.finish_load_order(now, order, result);
        self.run_policy(now);
    }

    /// Ends a load order that was not written for a local reason; see [`Scheduler::attempt_not_sent`].
    pub fn load_order_not_sent(&mut self, now: Time, order: LoadOrderId) {
        self.finish_load_order(now, order, LoadResult::without_instances(LoadStatus::NotSent));
        self.run_policy(now);
    }

    /// Starts a load order that has a worker load a function.
    pub(super) fn start_load_order(
        &mut self,
        now: Time,
        worker: WorkerId,
        function: FunctionId,
        instances: u8,
    ) {
        let id = LoadOrderId(self.id_generator.exchange_number());
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
            deadline,
        });
    }

    /// Ends a load order that has timed out.
    pub(super) fn time_out_load_order(&mut self, now: Time, id: LoadOrderId) {
        self.finish_load_order(now, id, LoadResult::without_instances(LoadStatus::Timeout));
    }

    fn finish_load_order(&mut self, now: Time, id: LoadOrderId, result: LoadResult) {
        let Some(order) = self.load_orders.remove(id) else {
            return;
        };
        self.timers.cancel(order.deadline, Timer::LoadOrder(id));
        let outcome = order.outcome(now, result);
        self.pending_events.push_back(Event::LoadFinished(outcome));
    }
}
