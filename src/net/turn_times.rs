//! How long the turns of the event loop take, and which parts of a turn take the time.

use crate::model::{Span, Time};
use hdrhistogram::Histogram;
use std::fmt;

#[cfg(test)]
mod tests;

/// Duration of a turn above which it counts as long. Clients notice a delay of this size.
const LONG_TURN: Span = Span::from_millis(100);
/// Longest duration that the histograms distinguish, in microseconds.
const MAX_MICROS: u64 = 60_000_000;
/// Number of significant decimal digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 2;
const NANOS_PER_MICRO: u64 = 1_000;

/// A part of a turn of the event loop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnPart {
    /// Reading and handling the input of connections.
    Input,
    /// The timers of connections.
    ConnectionTimers,
    /// Writes that depend on other connections.
    DueWrites,
    /// Accepting clients, signals and datagrams.
    Accept,
    /// Applying updates of the endpoint list.
    Discovery,
    /// The timers of the scheduler.
    SchedulerTimers,
    /// Executing the commands of the scheduler.
    Commands,
}

impl TurnPart {
    /// All parts, in the order of their discriminants.
    pub const ALL: [TurnPart; 7] = [
        TurnPart::Input,
        TurnPart::ConnectionTimers,
        TurnPart::DueWrites,
        TurnPart::Accept,
        TurnPart::Discovery,
        TurnPart::SchedulerTimers,
        TurnPart::Commands,
    ];

    /// Returns the name of the part in the log.
    pub fn name(self) -> &'static str {
        match self {
            TurnPart::Input => "input",
            TurnPart::ConnectionTimers => "connection_timers",
            TurnPart::DueWrites => "due_writes",
            TurnPart::Accept => "accept",
            TurnPart::Discovery => "discovery",
            TurnPart::SchedulerTimers => "scheduler_timers",
            TurnPart::Commands => "commands",
        }
    }
}

/// The distribution of a duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeSummary {
    /// Number of turns in which the part took any time.
    pub count: u64,
    /// Median, in microseconds.
    pub p50_micros: u64,
    /// 99th percentile, in microseconds.
    pub p99_micros: u64,
    /// Maximum, in microseconds.
    pub max_micros: u64,
}

/// A turn that was long enough for clients to notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LongTurn {
    /// Duration of the turn.
    pub duration: Span,
    /// The part that took the most time, and how long it took.
    pub longest_part: (TurnPart, Span),
}

/// Histograms of the duration of turns and of their parts. A turn lasts from the return of one wait for events
/// to the start of the next.
pub struct TurnTimes {
    turns: Histogram<u32>,
    parts: [Histogram<u32>; TurnPart::ALL.len()],
    /// Start of the current turn; `None` before the first.
    began_at: Option<Time>,
    /// Time that each part has taken in the current turn.
    current: [Span; TurnPart::ALL.len()],
}

impl TurnTimes {
    /// Begins a turn, unless the current one has not ended.
    pub(super) fn begin_turn_unless_begun(&mut self, now: Time) {
        if self.began_at.is_none() {
            self.began_at = Some(now);
            self.current = [Span(0); TurnPart::ALL.len()];
        }
    }

    /// Adds to the time that a part has taken in the current turn.
    pub(super) fn record_part(&mut self, part: TurnPart, duration: Span) {
        self.current[part as usize].0 += duration.0;
    }

    /// Ends the current turn. Returns it if it was long.
    pub(super) fn end_turn(&mut self, now: Time) -> Option<LongTurn> {
        let duration = now - self.began_at.take()?;
        record(&mut self.turns, duration);
        for (histogram, part) in self.parts.iter_mut().zip(&self.current) {
            if part.0 > 0 {
                record(histogram, *part);
            }
        }
        (duration > LONG_TURN).then(|| LongTurn {
            duration,
            longest_part: self.longest_part(),
        })
    }

    fn longest_part(&self) -> (TurnPart, Span) {
        let parts = TurnPart::ALL
            .iter()
            .map(|part| (*part, self.current[*part as usize]));
        let longest = parts.max_by_key(|(_, duration)| *duration);
        longest.unwrap_or((TurnPart::Input, Span(0)))
    }

    /// Returns the distribution of the duration of whole turns.
    pub fn turns(&self) -> TimeSummary {
        summary(&self.turns)
    }

    /// Returns the distribution of the time that a part takes in a turn.
    pub fn part(&self, part: TurnPart) -> TimeSummary {
        summary(&self.parts[part as usize])
    }
}

impl Default for TurnTimes {
    fn default() -> TurnTimes {
        TurnTimes {
            turns: histogram(),
            parts: std::array::from_fn(|_| histogram()),
            began_at: None,
            current: [Span(0); TurnPart::ALL.len()],
        }
    }
}

impl fmt::Debug for TurnTimes {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("TurnTimes")
            .field("turns", &self.turns())
            .finish_non_exhaustive()
    }
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS).expect("the bounds are valid")
}

fn record(histogram: &mut Histogram<u32>, duration: Span) {
    histogram.saturating_record(duration.0 / NANOS_PER_MICRO);
}

fn summary(histogram: &Histogram<u32>) -> TimeSummary {
    TimeSummary {
        count: histogram.len(),
        p50_micros: histogram.value_at_quantile(0.5),
        p99_micros: histogram.value_at_quantile(0.99),
        max_micros: histogram.max(),
    }
}
