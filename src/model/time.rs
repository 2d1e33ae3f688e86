//! Points in time and durations, in nanoseconds.

use std::ops::{Add, Sub};

/// Number of nanoseconds in a microsecond.
const NANOSECONDS_PER_MICROSECOND: u64 = 1_000;
const NANOSECONDS_PER_MILLISECOND: u64 = 1_000_000;
const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// A point in time, in nanoseconds of the caller's monotonic clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

/// A duration, in nanoseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span(pub u64);

impl Add<Span> for Time {
    type Output = Time;

    /// Returns the sum, or the latest time that can be represented if the sum is later.
    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Sub<Time> for Time {
    type Output = Span;

    /// Returns the time since `earlier`, or zero if `earlier` is later than `self`.
    fn sub(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Sub<Span> for Time {
    type Output = Time;

    /// Returns the difference, or time zero if the span is longer than the time.
    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

impl Add<Span> for Span {
    type Output = Span;

    /// Returns the sum, or the longest duration that can be represented if the sum is longer.
    fn add(self, span: Span) -> Span {
        Span(self.0.saturating_add(span.0))
    }
}

impl Span {
    /// Creates a duration of this many microseconds, or the longest one if that cannot be represented.
    pub const fn from_micros(microseconds: u64) -> Span {
        Span(microseconds.saturating_mul(NANOSECONDS_PER_MICROSECOND))
    }

    /// Creates a duration of this many milliseconds, or the longest one if that cannot be represented.
    pub const fn from_millis(milliseconds: u64) -> Span {
        Span(milliseconds.saturating_mul(NANOSECONDS_PER_MILLISECOND))
    }

    /// Creates a duration of this many milliseconds, rounded down to nanoseconds; zero if negative or not a
    /// number.
    pub fn from_millis_f64(milliseconds: f64) -> Span {
        Span((milliseconds * NANOSECONDS_PER_MILLISECOND as f64) as u64)
    }

    /// Returns the duration in whole milliseconds, rounded up.
    pub fn as_millis_rounded_up(self) -> u64 {
        self.0.div_ceil(NANOSECONDS_PER_MILLISECOND)
    }

    /// Returns the duration in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / NANOSECONDS_PER_SECOND
    }

    /// Returns the duration times a factor, rounded down to nanoseconds; zero if the product is negative or
    /// not a number.
    pub fn mul_f64(self, factor: f64) -> Span {
        Span((self.0 as f64 * factor) as u64)
    }
}
