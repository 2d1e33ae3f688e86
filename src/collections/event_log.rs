//! A log of timestamped, weighted events.

use crate::model::Time;
use std::collections::VecDeque;

/// Events with their times and weights, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct EventLog {
    events: VecDeque<Event>,
}

#[derive(Clone, Copy, Debug)]
struct Event {
    at: Time,
    weight: f64,
}

impl EventLog {
    /// Appends an event.
    pub(crate) fn record(&mut self, at: Time, weight: f64) {
        self.events.push_back(Event { at, weight });
    }

    /// Drops the events before `since`.
    pub(crate) fn drop_before(&mut self, since: Time) {
        self.events.retain(|event| event.at >= since);
    }

    /// Returns the number of events at `since` or later.
    pub(crate) fn count_since(&self, since: Time) -> usize {
        self.events.iter().filter(|event| event.at >= since).count()
    }

    /// Returns the number of events later than `since`.
    pub(crate) fn count_after(&self, since: Time) -> usize {
        self.events.iter().filter(|event| event.at > since).count()
    }

    /// Returns the sum of the weights of the events at `since` or later, added oldest first.
    pub(crate) fn weight_since(&self, since: Time) -> f64 {
        self.events
            .iter()
            .filter(|event| event.at >= since)
            .map(|event| event.weight)
            .sum()
    }

    /// Returns the time of the last event.
    pub(crate) fn last(&self) -> Option<Time> {
        self.events.back().map(|event| event.at)
    }
}
