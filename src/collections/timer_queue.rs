//! A queue of timers ordered by expiry.

use crate::model::{Span, Time};
use std::collections::BTreeSet;

/// A queue of timers.
///
/// Its owner either waits until [`TimerQueue::next_expiry`] itself, or requests one wake-up at a time
/// through [`TimerQueue::next_wake_up`].
#[derive(Clone, Debug)]
pub(crate) struct TimerQueue<T> {
    timers: BTreeSet<(Time, T)>,
    wake_up_at: Option<Time>,
}

impl<T> Default for TimerQueue<T> {
    fn default() -> TimerQueue<T> {
        TimerQueue {
            timers: BTreeSet::new(),
            wake_up_at: None,
        }
    }
}

impl<T: Ord + Copy> TimerQueue<T> {
    /// Returns whether there are no timers.
    pub(crate) fn is_empty(&self) -> bool {
        self.timers.is_empty()
    }

    /// Schedules a timer. Scheduling the same timer twice for the same time makes it fire once.
    pub(crate) fn schedule(&mut self, expires_at: Time, timer: T) {
        self.timers.insert((expires_at, timer));
    }

    /// Removes a timer that was scheduled for `expires_at`.
    pub(crate) fn cancel(&mut self, expires_at: Time, timer: T) {
        self.timers.remove(&(expires_at, timer));
    }

    /// Moves a timer from one time to another; `None` means that the timer is not scheduled.
    pub(crate) fn reschedule(&mut self, timer: T, from: Option<Time>, to: Option<Time>) {
        if let Some(time) = from {
            self.cancel(time, timer);
        }
        if let Some(time) = to {
            self.schedule(time, timer);
        }
    }

    /// Returns the number of timers.
    pub(crate) fn len(&self) -> usize {
        self.timers.len()
    }

    /// Removes the timers for which `is_needed` returns false.
    pub(crate) fn retain(&mut self, is_needed: impl Fn(T) -> bool) {
        self.timers.retain(|(_, timer)| is_needed(*timer));
    }

    /// Returns when the next timer expires.
    pub(crate) fn next_expiry(&self) -> Option<Time> {
        self.timers.first().map(|(expires_at, _)| *expires_at)
    }

    /// Removes and returns the next timer if it has expired; of timers with the same expiry, the smallest.
    pub(crate) fn pop_expired(&mut self, now: Time) -> Option<T> {
        if self.next_expiry()? > now {
            return None;
        }
        self.timers.pop_first().map(|(_, timer)| timer)
    }

    /// Records that the requested wake-up has occurred, so that `next_wake_up` can request another.
    pub(crate) fn woken_up(&mut self) {
        self.wake_up_at = None;
    }

    /// Returns the time until the next timer, unless a wake-up at that time or earlier is already
    /// requested.
    pub(crate) fn next_wake_up(&mut self, now: Time) -> Option<Span> {
        let next = self.next_expiry()?;
        if self.wake_up_at.is_some_and(|at| at <= next) {
            return None;
        }
        self.wake_up_at = Some(next);
        Some(next - now)
    }
}
