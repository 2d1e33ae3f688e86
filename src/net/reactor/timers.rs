//! The connections' timers.

use crate::model::Time;
use std::collections::BTreeSet;

/// At most one timer for each connection, in order of time.
#[derive(Default)]
pub(super) struct Timers {
    queue: BTreeSet<(Time, u64)>,
}

impl Timers {
    /// When the first timer expires.
    pub(super) fn next(&self) -> Option<Time> {
        self.queue.first().map(|(time, _)| *time)
    }

    /// Moves a connection's timer; either time is none where it has no timer.
    pub(super) fn replace(&mut self, connection: u64, old: Option<Time>, new: Option<Time>) {
        if let Some(time) = old {
            self.queue.remove(&(time, connection));
        }
        if let Some(time) = new {
            self.queue.insert((time, connection));
        }
    }

    /// Removes the first timer if it has expired; the connection it belongs to.
    pub(super) fn pop_expired(&mut self, now: Time) -> Option<u64> {
        if self.next()? > now {
            return None;
        }
        self.queue.pop_first().map(|(_, connection)| connection)
    }
}
