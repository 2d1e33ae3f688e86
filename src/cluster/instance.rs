//! Instances of functions on workers.

use crate::collections::{BackoffTimer, ExponentialBackoff};
use crate::model::{Span, Time};

/// What is known of a function's instance on a worker: whether it is loaded, cached with a time to live and with
/// negative caching; the load order that is under way; and this scheduler's requests in flight there.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Instance {
    /// This scheduler's requests in flight there.
    pub(crate) in_flight: u32,
    loaded_until: Time,
    missed_at: Option<Time>,
    ordered_at: Option<Time>,
    load_backoff: BackoffTimer,
}

impl Instance {
    /// Whether it is expected loaded.
    pub(crate) fn is_loaded(&self, now: Time) -> bool {
        self.loaded_until > now
    }

    /// Whether requests in flight wait for its load.
    pub(crate) fn is_awaited(&self, now: Time) -> bool {
        self.in_flight > 0 && !self.is_loaded(now)
    }

    /// Whether it was found missing within the last `span`, and not seen loaded since.
    pub(crate) fn missed_within(&self, now: Time, span: Span) -> bool {
        self.missed_at.is_some_and(|at| now - at < span)
    }

    /// When its load was ordered, while that order is under way.
    pub(crate) fn ordered_at(&self) -> Option<Time> {
        self.ordered_at
    }

    /// Whether no load order is under way or backed off.
    pub(crate) fn can_order_load(&self, now: Time) -> bool {
        self.ordered_at.is_none() && !self.load_backoff.is_active(now)
    }

    /// Whether its state differs from that of a new one, where an idle instance stays loaded for
    /// `keep_alive`.
    pub(crate) fn is_relevant(&self, now: Time, keep_alive: Span) -> bool {
        self.in_flight > 0 || !self.can_order_load(now) || now - self.loaded_until < keep_alive
    }

    /// It was seen loaded, and stays so until then.
    pub(crate) fn confirm(&mut self, loaded_until: Time) {
        self.loaded_until = loaded_until;
        self.missed_at = None;
        self.load_backoff.reset_failures();
    }

    /// It was found missing.
    pub(crate) fn miss(&mut self, now: Time) {
        self.loaded_until = Time(0);
        self.missed_at = Some(now);
    }

    /// It is expected loaded no longer.
    pub(crate) fn expire(&mut self) {
        self.loaded_until = Time(0);
    }

    /// Its load has been ordered.
    pub(crate) fn begin_load(&mut self, now: Time) {
        self.ordered_at = Some(now);
    }

    /// Its load order has ended; returns whether there was one.
    pub(crate) fn end_load(&mut self) -> bool {
        self.ordered_at.take().is_some()
    }

    /// A load of it has failed: no other is ordered for a while.
    pub(crate) fn fail_load(&mut self, now: Time, backoff: ExponentialBackoff) {
        self.load_backoff.restart(now, backoff);
    }

    /// A request to it has ended.
    pub(crate) fn end_request(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}
