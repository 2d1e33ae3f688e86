//! The table of correlation ids that are in use on one connection.

use crate::model::{Span, Time};
use crate::scheduler::{AttemptId, HealthCheckId, LoadOrderId};
use std::collections::{HashMap, VecDeque};

/// How long a retired id is kept from being used again on its connection.
pub(super) const RETIRED_ID_TTL: Span = Span::from_millis(10_000);
/// Retired ids kept at most: clients may cancel requests by the hundreds.
pub(super) const MAX_RETIRED_IDS: usize = 1024;

/// A command and its awaited response, on one connection.
///
/// It marks the border between the scheduler's ids and the wire's: a connection finds by it which attempt, load order or
/// health check of the scheduler a worker's response belongs to. Commands that get no response open no exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Exchange {
    /// An attempt of a request.
    Attempt(AttemptId),
    /// A load order.
    LoadOrder(LoadOrderId),
    /// A health check.
    HealthCheck(HealthCheckId),
}

/// The correlation id of a load order.
pub(super) fn load_order_correlation_id(order: LoadOrderId) -> String {
    format!("load-{}", order.0)
}

/// The correlation id of a health check.
pub(super) fn health_check_correlation_id(check: HealthCheckId) -> String {
    format!("probe-{}", check.0)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Entry {
    Open(Exchange),
    /// Cancelled or responded to at this time: a response that still comes belongs to no exchange.
    Retired(Time),
}

struct RetiredId {
    correlation_id: String,
    retired_at: Time,
}

/// The open exchanges of a connection by correlation id, and the retired ids, under which a response may still
/// come late.
#[derive(Default)]
pub(super) struct CorrelationTable {
    entries: HashMap<String, Entry>,
    /// Ids of open attempts, and of cancelled ones until their cancellation is written.
    attempt_correlation_ids: HashMap<AttemptId, String>,
    open_attempts: usize,
    /// In the order in which they were retired. Some may have got a late response since, and are free again.
    retired: VecDeque<RetiredId>,
}

impl CorrelationTable {
    /// Opens an attempt under an id that must be unused.
    pub(super) fn open_attempt(&mut self, attempt: AttemptId, correlation_id: &str) {
        self.open_attempts += 1;
        self.open(correlation_id.to_owned(), Exchange::Attempt(attempt));
        self.attempt_correlation_ids
            .insert(attempt, correlation_id.to_owned());
    }

    /// Opens a load order.
    pub(super) fn open_load_order(&mut self, order: LoadOrderId) {
        self.open(load_order_correlation_id(order), Exchange::LoadOrder(order));
    }

    /// Opens a health check.
    pub(super) fn open_health_check(&mut self, check: HealthCheckId) {
        self.open(health_check_correlation_id(check), Exchange::HealthCheck(check));
    }

    fn open(&mut self, correlation_id: String, exchange: Exchange) {
        self.entries.insert(correlation_id, Entry::Open(exchange));
    }

    /// Whether an id is neither open nor retired.
    pub(super) fn is_unused(&self, correlation_id: &str) -> bool {
        !self.entries.contains_key(correlation_id)
    }

    /// The exchange that is open under an id.
    pub(super) fn exchange(&self, correlation_id: &str) -> Option<Exchange> {
        match self.entries.get(correlation_id)? {
            Entry::Open(exchange) => Some(*exchange),
            Entry::Retired(_) => None,
        }
    }

    /// The exchanges that are open, in no particular order.
    pub(super) fn open_exchanges(&self) -> impl Iterator<Item = Exchange> {
        self.entries.values().filter_map(|entry| match entry {
            Entry::Open(exchange) => Some(*exchange),
            Entry::Retired(_) => None,
        })
    }

    /// Whether any exchange is open.
    pub(super) fn has_open_exchanges(&self) -> bool {
        self.open_exchanges().next().is_some()
    }

    /// Number of open exchanges. It is too low by the retired ids that have got a late response, until they
    /// expire.
    pub(super) fn open_exchange_count(&self) -> usize {
        self.entries.len().saturating_sub(self.retired.len())
    }

    /// Number of open attempts.
    pub(super) fn open_attempt_count(&self) -> usize {
        self.open_attempts
    }

    /// Closes what is open under an id and frees the id, also if it is retired. Returns the exchange that was
    /// open.
    pub(super) fn close(&mut self, correlation_id: &str) -> Option<Exchange> {
        let Entry::Open(exchange) = self.entries.remove(correlation_id)? else {
            return None;
        };
        if let Exchange::Attempt(attempt) = exchange {
            self.open_attempts -= 1;
            self.attempt_correlation_ids.remove(&attempt);
        }
        Some(exchange)
    }

    /// Closes an attempt of which nothing has been sent, so that its id needs no retirement.
    pub(super) fn close_unsent_attempt(&mut self, attempt: AttemptId) {
        if let Some(correlation_id) = self.attempt_correlation_ids.get(&attempt).cloned() {
            self.close(&correlation_id);
        }
    }

    /// Whether the attempt is open, or cancelled with the cancellation still to be written.
    pub(super) fn has_attempt(&self, attempt: AttemptId) -> bool {
        self.attempt_correlation_ids.contains_key(&attempt)
    }

    /// Cancels an open attempt of which something has been sent: its id is retired.
    pub(super) fn cancel_attempt(&mut self, attempt: AttemptId, now: Time) {
        if let Some(correlation_id) = self.attempt_correlation_ids.get(&attempt).cloned() {
            self.open_attempts -= 1;
            self.retire(correlation_id, now);
        }
    }

    /// Takes the id of a cancelled attempt in order to write the cancellation.
    pub(super) fn take_cancelled(&mut self, attempt: AttemptId) -> Option<String> {
        self.attempt_correlation_ids.remove(&attempt)
    }

    /// Keeps an id from being used again for a while, because a response may still come under it.
    pub(super) fn retire(&mut self, correlation_id: String, now: Time) {
        self.entries.insert(correlation_id.clone(), Entry::Retired(now));
        self.retired.push_back(RetiredId {
            correlation_id,
            retired_at: now,
        });
        self.expire_retired(now);
    }

    /// Frees the retired ids whose time is over, and the oldest ones if there are too many.
    pub(super) fn expire_retired(&mut self, now: Time) {
        while let Some(oldest) = self.retired.front() {
            let expired = oldest.retired_at + RETIRED_ID_TTL < now;
            if !expired && self.retired.len() <= MAX_RETIRED_IDS {
                return;
            }
            // The id may have been opened or retired anew since: only this retirement ends.
            if self.entries.get(&oldest.correlation_id) == Some(&Entry::Retired(oldest.retired_at)) {
                self.entries.remove(&oldest.correlation_id);
            }
            self.retired.pop_front();
        }
    }

    /// When [`CorrelationTable::expire_retired`] next has something to do.
    pub(super) fn next_expiry(&self) -> Option<Time> {
        let oldest = self.retired.front()?;
        Some(oldest.retired_at + RETIRED_ID_TTL + Span(1))
    }
}
