//! Load orders: what starts them, and what becomes of them at their workers.

use super::load_order_table::LoadOrder;
use super::timers::Timer;
use super::{Command, ExchangeError, LoadOrderId, LoadResult, Scheduler};
use crate::model::{Event, FunctionId, LoadStatus, Time, WorkerId};

impl Scheduler {
    /// How many written load orders the rate limit remembers.
    pub fn load_orders_remembered(&self) -> usize {
        self.load_rate_limiter.load_orders_remembered()
    }

    /// A load order has ended with a worker's response, or failed on the way.
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

    /// A load order was not written for a local reason; see [`Scheduler::attempt_not_sent`].
    pub fn load_order_not_sent(&mut self, now: Time, order: LoadOrderId) {
        self.finish_load_order(now, order, LoadResult::without_instances(LoadStatus::NotSent));
        self.run_policy(now);
    }

    /// Orders a worker to load a function.
    pub(super) fn start_load_order(
        &mut self,
        now: Time,
        worker: WorkerId,
        function: FunctionId,
        instances: u8,
    ) {
        let id = LoadOrderId(self.allocate_exchange_number());
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

    /// Ends a load order that got no response in time.
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
