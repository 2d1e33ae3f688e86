//! The correlation ids in use on one connection.

use super::retired_id_budget::{GUARANTEED_PER_CONNECTION, RetiredIdBudget};
use crate::model::{Span, Time};
use crate::scheduler::{AttemptId, HealthCheckId, LoadOrderId};
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Time during which a retired id cannot be used again on its connection.
pub(super) const RETIRED_ID_TTL: Span = Span::from_millis(10_000);
/// Maximum number of retired ids on one connection. Clients may cancel hundreds of requests at once.
pub(super) const MAX_RETIRED_IDS: usize = 1024;

/// A command and its response on one connection, identified by the scheduler's own id.
///
/// The table maps each correlation id to an exchange, so that a connection can find the attempt, load order
/// or health check to which a worker's response belongs. Commands that get no response open no exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Exchange {
    /// An attempt of a request.
    Attempt(AttemptId),
    /// A load order.
    LoadOrder(LoadOrderId),
    /// A health check.
    HealthCheck(HealthCheckId),
}

/// Returns the correlation id of a load order.
pub(super) fn load_order_correlation_id(order: LoadOrderId) -> String {
    format!("load-{}", order.0)
}

/// Returns the correlation id of a health check.
pub(super) fn health_check_correlation_id(check: HealthCheckId) -> String {
    format!("probe-{}", check.0)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Entry {
    Open(Exchange),
    /// The exchange was cancelled or completed at this time. A later response belongs to no exchange.
    Retired(Time),
}

struct RetiredId {
    correlation_id: String,
    retired_at: Time,
}

/// The open exchanges of a connection by correlation id, and the retired ids, for which a late response may
/// still arrive.
#[derive(Default)]
pub(super) struct CorrelationTable {
    entries: HashMap<String, Entry>,
    /// Correlation ids of open attempts, and of cancelled attempts until the cancellation is written.
    attempt_correlation_ids: HashMap<AttemptId, String>,
    open_attempts: usize,
    /// Retired ids in order of retirement. An id whose late response has arrived is free again, but stays
    /// here until it expires.
    retired: VecDeque<RetiredId>,
    /// The deadlines of open load orders, and of some that have ended.
    load_order_deadlines: BTreeSet<(Time, LoadOrderId)>,
    /// The number of retired ids that all connections together may keep.
    budget: RetiredIdBudget,
}

impl Drop for CorrelationTable {
    fn drop(&mut self) {
        self.budget.remove(self.retired.len());
    }
}

impl CorrelationTable {
    /// Creates an empty table whose retired ids count towards this budget.
    pub(super) fn new(budget: RetiredIdBudget) -> CorrelationTable {
        let mut table = CorrelationTable::default();
        table.budget = budget;
        table
    }

    /// Opens an attempt with an id that must be unused.
    pub(super) fn open_attempt(&mut self, attempt: AttemptId, correlation_id: &str) {
        self.open_attempts += 1;
        self.open(correlation_id.to_owned(), Exchange::Attempt(attempt));
        self.attempt_correlation_ids
            .insert(attempt, correlation_id.to_owned());
    }

    /// Opens a load order, which has timed out at `deadline`.
    pub(super) fn open_load_order(&mut self, order: LoadOrderId, deadline: Time) {
        self.load_order_deadlines.insert((deadline, order));
        self.open(load_order_correlation_id(order), Exchange::LoadOrder(order));
    }

    /// Opens a health check.
    pub(super) fn open_health_check(&mut self, check: HealthCheckId) {
        self.open(health_check_correlation_id(check), Exchange::HealthCheck(check));
    }

    fn open(&mut self, correlation_id: String, exchange: Exchange) {
        self.entries.insert(correlation_id, Entry::Open(exchange));
    }

    /// Returns whether an id is neither open nor retired.
    pub(super) fn is_unused(&self, correlation_id: &str) -> bool {
        !self.entries.contains_key(correlation_id)
    }

    /// Returns the open exchange with this id.
    pub(super) fn exchange(&self, correlation_id: &str) -> Option<Exchange> {
        match self.entries.get(correlation_id)? {
            Entry::Open(exchange) => Some(*exchange),
            Entry::Retired(_) => None,
        }
    }

    /// Returns the open exchanges in no particular order.
    pub(super) fn open_exchanges(&self) -> impl Iterator<Item = Exchange> {
        self.entries.values().filter_map(|entry| match entry {
            Entry::Open(exchange) => Some(*exchange),
            Entry::Retired(_) => None,
        })
    }

    /// Returns whether any exchange is open.
    pub(super) fn has_open_exchanges(&self) -> bool {
        self.open_exchanges().next().is_some()
    }

    /// Returns the number of open exchanges. The number is too low by one for each retired id whose late
    /// response has arrived, until that id expires.
    pub(super) fn open_exchange_count(&self) -> usize {
        self.entries.len().saturating_sub(self.retired.len())
    }

    /// Returns the number of open attempts.
    pub(super) fn open_attempt_count(&self) -> usize {
        self.open_attempts
    }

    /// Closes the exchange with this id and returns it. Frees the id, even if it is retired.
    pub(super) fn close(&mut self, correlation_id: &str) -> Option<Exchange> {
        let Entry::Open(exchange) = self.entries.remove(correlation_id)? else {
            return None;
        };
        match exchange {
            Exchange::Attempt(attempt) => {
                self.open_attempts -= 1;
                self.attempt_correlation_ids.remove(&attempt);
            }
            Exchange::LoadOrder(order) => {
                self.load_order_deadlines.retain(|(_, other)| *other != order);
            }
            Exchange::HealthCheck(_) => {}
        }
        Some(exchange)
    }

    /// Closes an attempt whose command was never written. Its id is not retired, because no response can
    /// arrive.
    pub(super) fn close_unsent_attempt(&mut self, attempt: AttemptId) {
        if let Some(correlation_id) = self.attempt_correlation_ids.get(&attempt).cloned() {
            self.close(&correlation_id);
        }
    }

    /// Returns whether the attempt is open, or cancelled with its cancellation still to be written.
    pub(super) fn has_attempt(&self, attempt: AttemptId) -> bool {
        self.attempt_correlation_ids.contains_key(&attempt)
    }

    /// Cancels an open attempt whose command has been at least partly written. Its id is retired.
    pub(super) fn cancel_attempt(&mut self, attempt: AttemptId, now: Time) {
        if let Some(correlation_id) = self.attempt_correlation_ids.get(&attempt).cloned() {
            self.open_attempts -= 1;
            self.retire(correlation_id, now);
        }
    }

    /// Removes and returns the id of a cancelled attempt, whose cancellation is about to be written.
    pub(super) fn take_cancelled(&mut self, attempt: AttemptId) -> Option<String> {
        self.attempt_correlation_ids.remove(&attempt)
    }

    /// Retires an id: it cannot be used again for up to [`RETIRED_ID_TTL`], because a late response may still
    /// arrive.
    pub(super) fn retire(&mut self, correlation_id: String, now: Time) {
        self.entries.insert(correlation_id.clone(), Entry::Retired(now));
        self.retired.push_back(RetiredId {
            correlation_id,
            retired_at: now,
        });
        self.budget.add();
        self.expire_retired(now);
    }

    /// Frees the retired ids that have expired, and the oldest ones beyond [`MAX_RETIRED_IDS`] or the budget of
    /// all connections.
    pub(super) fn expire_retired(&mut self, now: Time) {
        while let Some(oldest) = self.retired.front() {
            let expired = oldest.retired_at + RETIRED_ID_TTL < now;
            if !expired && !self.has_too_many_retired() {
                return;
            }
            // The id may have been reopened or retired again in the meantime; that use is not affected.
            if self.entries.get(&oldest.correlation_id) == Some(&Entry::Retired(oldest.retired_at)) {
                self.entries.remove(&oldest.correlation_id);
            }
            self.retired.pop_front();
            self.budget.remove(1);
        }
    }

    fn has_too_many_retired(&self) -> bool {
        let exceeds_budget = self.retired.len() > GUARANTEED_PER_CONNECTION && self.budget.is_exceeded();
        exceeds_budget || self.retired.len() > MAX_RETIRED_IDS
    }

    /// Closes the load orders that have timed out. Otherwise a connection to a machine that has vanished would have
    /// an open exchange, and so would never be idle. A late response belongs to no exchange.
    pub(super) fn expire_load_orders(&mut self, now: Time) {
        while let Some((deadline, order)) = self.load_order_deadlines.first().copied()
            && deadline <= now
        {
            self.load_order_deadlines.pop_first();
            self.close(&load_order_correlation_id(order));
        }
    }

    /// Returns when [`CorrelationTable::expire_retired`] or [`CorrelationTable::expire_load_orders`] must next be
    /// called.
    pub(super) fn next_expiry(&self) -> Option<Time> {
        let oldest = self.retired.front();
        let retired_expiry = oldest.map(|oldest| oldest.retired_at + RETIRED_ID_TTL + Span(1));
        let load_order_expiry = self.load_order_deadlines.first().map(|(deadline, _)| *deadline);
        retired_expiry.into_iter().chain(load_order_expiry).min()
    }
}
