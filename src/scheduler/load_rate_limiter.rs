//! The load rate limit: how many load orders may be written in a window, given the requests received in it.

use crate::model::{LoadRateLimit, Span, Time};
use std::collections::VecDeque;

/// Time for which written load orders are retained while no limit is configured, so that they count if a new
/// configuration sets one.
const RETENTION_WITHOUT_LIMIT: Span = Span::from_millis(60_000);

/// Maximum number of requests that are counted in a window. Beyond it the oldest no longer count, which allows fewer
/// load orders.
const MAX_COUNTED_REQUESTS: usize = 1 << 16;

/// A sliding-window limiter of load orders, whose limit grows with the requests received in the same window.
#[derive(Debug, Default)]
pub(super) struct LoadRateLimiter {
    requests: VecDeque<Time>,
    load_orders: VecDeque<Time>,
}

impl LoadRateLimiter {
    /// Records that a request has been received, whether it is accepted or not.
    pub(super) fn record_request(&mut self, now: Time) {
        if self.requests.len() >= MAX_COUNTED_REQUESTS {
            self.requests.pop_front();
        }
        self.requests.push_back(now);
    }

    /// Returns whether another load order may be written under this limit. If so, it counts as written.
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

    /// Returns whether another load order fits in the window. The caller has dropped the load orders that
    /// have left the window.
    fn has_capacity(&mut self, now: Time, limit: LoadRateLimit) -> bool {
        let window_start = now - limit.window;
        self.requests.retain(|received_at| *received_at > window_start);
        limit.allows(self.load_orders.len(), self.requests.len())
    }

    /// Drops requests that have left the limit's window, or all requests if there is no limit.
    pub(super) fn drop_old_requests(&mut self, now: Time, limit: Option<LoadRateLimit>) {
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

    /// Returns the number of written load orders that are retained.
    pub(super) fn retained_load_orders(&self) -> usize {
        self.load_orders.len()
    }
}
