//! A log of weighted events in time.

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

    /// How many events came at `since` or later.
    pub(crate) fn count_since(&self, since: Time) -> usize {
        self.events.iter().filter(|event| event.at >= since).count()
    }

    /// How many events came later than `since`.
    pub(crate) fn count_after(&self, since: Time) -> usize {
        self.events.iter().filter(|event| event.at > since).count()
    }

    /// The sum of the weights of the events at `since` or later, added oldest first.
    pub(crate) fn weight_since(&self, since: Time) -> f64 {
        self.events
            .iter()
            .filter(|event| event.at >= since)
            .map(|event| event.weight)
            .sum()
    }

    /// When the last event came.
    pub(crate) fn last(&self) -> Option<Time> {
        self.events.back().map(|event| event.at)
    }
}
