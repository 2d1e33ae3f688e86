//! Instances of functions on workers.

use crate::collections::{BackoffTimer, ExponentialBackoff};
use crate::model::{Span, Time};

/// State of one function's instances on one worker, as far as it is known.
///
/// It caches whether the function is loaded, with a time to live and with negative caching of misses, and
/// tracks the load order in progress and this scheduler's requests in flight.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Instance {
    /// Number of this scheduler's requests in flight to the instance.
    pub(crate) in_flight: u32,
    loaded_until: Time,
    missed_at: Option<Time>,
    ordered_at: Option<Time>,
    load_backoff: BackoffTimer,
}

impl Instance {
    /// Returns whether the instance is expected to be loaded.
    pub(crate) fn is_loaded(&self, now: Time) -> bool {
        self.loaded_until > now
    }

    /// Returns whether requests in flight wait for the instance to be loaded.
    pub(crate) fn is_awaited(&self, now: Time) -> bool {
        self.in_flight > 0 && !self.is_loaded(now)
    }

    /// Returns whether the instance was found missing within the last `span` and has not been seen loaded
    /// since.
    pub(crate) fn missed_within(&self, now: Time, span: Span) -> bool {
        self.missed_at.is_some_and(|at| now - at < span)
    }

    /// Returns when the load order in progress was sent, or `None` if there is none.
    pub(crate) fn ordered_at(&self) -> Option<Time> {
        self.ordered_at
    }

    /// Returns whether a load may be ordered: none is in progress, and no backoff is active.
    pub(crate) fn can_order_load(&self, now: Time) -> bool {
        self.ordered_at.is_none() && !self.load_backoff.is_active(now)
    }

    /// Returns whether the state still matters: requests are in flight, a load order is in progress, a
    /// backoff is active, or the instance was expected to be loaded less than `keep_alive` ago.
    pub(crate) fn is_relevant(&self, now: Time, keep_alive: Span) -> bool {
        self.in_flight > 0 || !self.can_order_load(now) || now - self.loaded_until < keep_alive
    }

    /// Records that the instance was seen loaded and is expected to stay so until `loaded_until`.
    pub(crate) fn confirm(&mut self, loaded_until: Time) {
        self.loaded_until = loaded_until;
        self.missed_at = None;
        self.load_backoff.reset_failures();
    }

    /// Records that the instance was found missing.
    pub(crate) fn miss(&mut self, now: Time) {
        self.loaded_until = Time(0);
        self.missed_at = Some(now);
    }

    /// Marks the instance as no longer expected to be loaded.
    pub(crate) fn expire(&mut self) {
        self.loaded_until = Time(0);
    }

    /// Records that a load order was sent.
    pub(crate) fn begin_load(&mut self, now: Time) {
        self.ordered_at = Some(now);
    }

    /// Records the end of the load order and returns whether one was in progress.
    pub(crate) fn end_load(&mut self) -> bool {
        self.ordered_at.take().is_some()
    }

    /// Records a failed load, after which no load is ordered until the backoff has passed.
    pub(crate) fn fail_load(&mut self, now: Time, backoff: ExponentialBackoff) {
        self.load_backoff.restart(now, backoff);
    }

    /// Records the end of a request to the instance.
    pub(crate) fn end_request(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}
