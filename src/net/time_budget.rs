//! Limits on the time that a part of a turn of the event loop takes.

use super::SystemClock;
use crate::model::{Span, Time};

/// The time that a part of a turn may take. What is left then waits for the next turn.
#[derive(Clone, Copy, Debug)]
pub struct TimeBudget {
    clock: SystemClock,
    ends_at: Time,
}

impl TimeBudget {
    /// Creates a budget that begins now.
    pub fn new(clock: SystemClock, length: Span) -> TimeBudget {
        TimeBudget {
            clock,
            ends_at: clock.now() + length,
        }
    }

    /// Returns whether the time has passed.
    pub fn is_spent(&self) -> bool {
        self.clock.now() >= self.ends_at
    }
}
