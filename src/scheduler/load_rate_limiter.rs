//! The rate limit on load orders: how many may be written in a window, given the requests received in it.

use crate::model::{LoadRateLimit, Span, Time};
use std::collections::VecDeque;

/// How long written load orders are remembered while there is no limit: a new configuration may bring one.
const RETENTION_WITHOUT_LIMIT: Span = Span::from_millis(60_000);

/// Counts requests and load orders within the limit's window.
#[derive(Debug, Default)]
pub(super) struct LoadRateLimiter {
    requests: VecDeque<Time>,
    load_orders: VecDeque<Time>,
}

impl LoadRateLimiter {
    /// Records that a request has been received, accepted or not.
    pub(super) fn record_request(&mut self, now: Time) {
        self.requests.push_back(now);
    }

    /// Whether one more load order may be written under this limit; if so, it is counted as written.
    pub(super) fn try_acquire(&mut self, now: Time, limit: Option<LoadRateLimit>) -> bool {
        let retention = limit.map_or(RETENTION_WITHOUT_LIMIT, |limit| limit.window);
        let oldest = now - retention;
        self.load_orders.retain(|written_at| *written_at >= oldest);
        if limit.is_some_and(|limit| !self.has_capacity(now, limit)) {
            return false;
        }
        self.load_orders.push_back(now);
        true
    }

    /// Whether one more load order fits in the window, of which older load orders have been dropped.
    fn has_capacity(&mut self, now: Time, limit: LoadRateLimit) -> bool {
        let window_start = now - limit.window;
        self.requests.retain(|received_at| *received_at > window_start);
        limit.allows(self.load_orders.len(), self.requests.len())
    }

    /// Forgets requests that have left the limit's window; all of them without a limit.
    pub(super) fn forget_old_requests(&mut self, now: Time, limit: Option<LoadRateLimit>) {
        let Some(limit) = limit else {
            self.requests.clear();
            return;
        };
        while self
            .requests
            .front()
            .is_some_and(|received_at| *received_at + limit.window < now)
        {
            self.requests.pop_front();
        }
    }

    /// How many written load orders are remembered.
    pub(super) fn load_orders_remembered(&self) -> usize {
        self.load_orders.len()
    }
}
