//! Timers in the order of their expiry.

use crate::model::{Span, Time};
use std::collections::BTreeSet;

/// A queue of timers.
///
/// Its owner either waits for [`TimerQueue::next_expiry`] itself, or asks somebody else for wake-ups, one at a time,
/// with [`TimerQueue::next_wake_up`].
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
    /// Whether there is no timer.
    pub(crate) fn is_empty(&self) -> bool {
        self.timers.is_empty()
    }

    /// Schedules a timer. The same timer scheduled twice for the same time fires once.
    pub(crate) fn schedule(&mut self, expires_at: Time, timer: T) {
        self.timers.insert((expires_at, timer));
    }

    /// Removes a timer that was scheduled for this time.
    pub(crate) fn cancel(&mut self, expires_at: Time, timer: T) {
        self.timers.remove(&(expires_at, timer));
    }

    /// Moves a timer from one time to another; either is none where the timer is not scheduled.
    pub(crate) fn reschedule(&mut self, timer: T, from: Option<Time>, to: Option<Time>) {
        if let Some(time) = from {
            self.cancel(time, timer);
        }
        if let Some(time) = to {
            self.schedule(time, timer);
        }
    }

    /// When the next timer expires.
    pub(crate) fn next_expiry(&self) -> Option<Time> {
        self.timers.first().map(|(expires_at, _)| *expires_at)
    }

    /// Removes the next timer if it has expired; of several of one time the least.
    pub(crate) fn pop_expired(&mut self, now: Time) -> Option<T> {
        if self.next_expiry()? > now {
            return None;
        }
        self.timers.pop_first().map(|(_, timer)| timer)
    }

    /// The wake-up asked for has come: the next call of `next_wake_up` asks for another.
    pub(crate) fn woken_up(&mut self) {
        self.wake_up_at = None;
    }

    /// The time until the next timer, if no wake-up has been asked for that comes as early.
    pub(crate) fn next_wake_up(&mut self, now: Time) -> Option<Span> {
        let next = self.next_expiry()?;
        if self.wake_up_at.is_some_and(|at| at <= next) {
            return None;
        }
        self.wake_up_at = Some(next);
        Some(next - now)
    }
}
