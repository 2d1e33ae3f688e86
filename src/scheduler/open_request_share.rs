//! The share of the open requests that each client connection may have.
//!
//! A connection may open another request as long as it has fewer open than a fraction of what all connections
//! together leave free (a dynamic threshold, as for queues that share a buffer). The more connections have many
//! requests open, the fewer each may have, and some stay free for those that have none.
//!
//! Connections whose attempts end in errors of the workers time and again share a small number of open requests,
//! so that the retries of their requests do not use up the capacity of the workers.

use crate::model::ConnectionId;
use std::collections::HashMap;

/// Divisor of the free open requests that gives the number that a connection may have.
const FREE_DIVISOR: usize = 8;
/// Number of attempts in a row that ended in errors of workers, from which a connection is failing.
const FAILING_STREAK: u32 = 4;
/// Number of open requests that all failing connections share.
const MAX_FAILING_OPEN: usize = 16;

/// The requests of a connection.
#[derive(Clone, Copy, Debug, Default)]
struct ConnectionRequests {
    open: usize,
    /// Number of attempts that have ended in errors of workers since a request was last served.
    errors_in_row: u32,
}

impl ConnectionRequests {
    fn is_failing(self) -> bool {
        self.errors_in_row >= FAILING_STREAK
    }
}

/// The open requests of each connection.
#[derive(Debug, Default)]
pub(super) struct OpenRequestShare {
    /// Number of open requests that the connections share; `None` if they are not limited.
    limit: Option<usize>,
    total: usize,
    /// Number of open requests of failing connections.
    failing_open: usize,
    by_connection: HashMap<ConnectionId, ConnectionRequests>,
}

impl OpenRequestShare {
    /// Sets the number of open requests that the connections share. Each connection that is not failing may always
    /// have one.
    pub(super) fn set_limit(&mut self, limit: usize) {
        self.limit = Some(limit);
    }

    /// Returns whether a connection may open another request.
    pub(super) fn allows(&self, connection: ConnectionId) -> bool {
        let Some(limit) = self.limit else {
            return true;
        };
        let requests = self.by_connection.get(&connection).copied().unwrap_or_default();
        if requests.is_failing() && self.failing_open >= MAX_FAILING_OPEN {
            return false;
        }
        let free = limit.saturating_sub(self.total);
        requests.open < (free / FREE_DIVISOR).max(1)
    }

    /// Records that a connection has opened a request.
    pub(super) fn open(&mut self, connection: ConnectionId) {
        self.total += 1;
        self.update(connection, |requests| requests.open += 1);
    }

    /// Records that a request of a connection has ended.
    pub(super) fn close(&mut self, connection: ConnectionId) {
        let open = self
            .by_connection
            .get(&connection)
            .map_or(0, |requests| requests.open);
        if open > 0 {
            self.total -= 1;
            self.update(connection, |requests| requests.open -= 1);
        }
    }

    /// Records that a request of a connection was served.
    pub(super) fn record_served(&mut self, connection: ConnectionId) {
        self.update(connection, |requests| requests.errors_in_row = 0);
    }

    /// Records that a worker has answered an attempt for a connection with an error.
    pub(super) fn record_error(&mut self, connection: ConnectionId) {
        self.update(connection, |requests| {
            requests.errors_in_row = requests.errors_in_row.saturating_add(1);
        });
    }

    /// Forgets a connection that has closed.
    pub(super) fn forget(&mut self, connection: ConnectionId) {
        self.record_served(connection);
    }

    /// Changes the record of a connection, and drops it if it says nothing any more.
    fn update(&mut self, connection: ConnectionId, change: impl FnOnce(&mut ConnectionRequests)) {
        let requests = self.by_connection.entry(connection).or_default();
        let failing_open =
            |requests: &ConnectionRequests| if requests.is_failing() { requests.open } else { 0 };
        self.failing_open -= failing_open(requests);
        change(requests);
        self.failing_open += failing_open(requests);
        if requests.open == 0 && requests.errors_in_row == 0 {
            self.by_connection.remove(&connection);
        }
    }
}
