//! The phases of a connection to a worker, with their deadlines.

use crate::model::{Span, Time};
use crate::net::{MessageDeadline, PartialMessage};

/// Time within which a line must arrive completely once its first bytes have arrived. A line that stays
/// incomplete would be merged with the start of the next response.
const LINE_TIMEOUT: Span = Span::from_millis(300);

/// The phase of a connection to a worker, with its deadline and the time of the last activity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::backend) enum Phase {
    /// The connection is being established. Commands are queued, and nothing is received.
    Connecting {
        /// Time by which the connection must be established.
        deadline: Time,
    },
    /// The connection is established. Commands are written and responses received.
    Established {
        /// Time of the last queued command or received response.
        last_activity: Time,
        /// Deadline for the rest of an incomplete line.
        line_deadline: MessageDeadline,
    },
}

impl Phase {
    /// Creates the phase of a connection that was established at `now`.
    pub(in crate::backend) fn established(now: Time) -> Phase {
        Phase::Established {
            last_activity: now,
            line_deadline: MessageDeadline::new(LINE_TIMEOUT),
        }
    }

    /// Returns whether the connection is still being established.
    pub(in crate::backend) fn is_connecting(&self) -> bool {
        matches!(self, Phase::Connecting { .. })
    }

    /// Records that a command was queued or a response was received. Has no effect before the connection is
    /// established, because the idle time starts then.
    pub(in crate::backend) fn record_activity(&mut self, now: Time) {
        if let Phase::Established { last_activity, .. } = self {
            *last_activity = now;
        }
    }

    /// Returns the time of the last queued command or received response, or `None` while the connection is
    /// being established.
    pub(in crate::backend) fn last_activity(&self) -> Option<Time> {
        match self {
            Phase::Connecting { .. } => None,
            Phase::Established { last_activity, .. } => Some(*last_activity),
        }
    }

    /// Updates the line deadline after a read at `now`, which may have left an incomplete line in the input
    /// buffer.
    pub(in crate::backend) fn track_line(&mut self, line: PartialMessage, now: Time) {
        if let Phase::Established { line_deadline, .. } = self {
            line_deadline.track(line, now);
        }
    }

    /// Returns the time by which the connection must be established or, once it is, the incomplete line must
    /// be complete. The connection fails otherwise.
    pub(in crate::backend) fn deadline(&self) -> Option<Time> {
        match self {
            Phase::Connecting { deadline } => Some(*deadline),
            Phase::Established { line_deadline, .. } => line_deadline.get(),
        }
    }
}
