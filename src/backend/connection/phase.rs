//! The phase of a connection to a worker, and until when it may stay in it.

use crate::model::{Span, Time};
use crate::net::{MessageDeadline, PartialMessage};

/// Time within which a line of a worker has to arrive completely. One that stops short would swallow the start of the
/// next response.
const LINE_TIMEOUT: Span = Span::from_millis(300);

/// The phase of a connection to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::backend) enum Phase {
    /// The connection is being established. Commands wait, and nothing is received yet.
    Connecting {
        /// A connection that is not established by then has failed.
        deadline: Time,
    },
    /// Commands are written and responses received.
    Established {
        /// When the last command was taken or the last response came.
        last_activity: Time,
        /// Until when the rest of an incomplete line has to arrive.
        line_deadline: MessageDeadline,
    },
}

impl Phase {
    /// The phase of a connection that has been established at `now`.
    pub(in crate::backend) fn established(now: Time) -> Phase {
        Phase::Established {
            last_activity: now,
            line_deadline: MessageDeadline::new(LINE_TIMEOUT),
        }
    }

    /// Whether the connection is still being established.
    pub(in crate::backend) fn is_connecting(&self) -> bool {
        matches!(self, Phase::Connecting { .. })
    }

    /// Notes that a command was taken or a response came. Idleness is not measured before the connection is established.
    pub(in crate::backend) fn record_activity(&mut self, now: Time) {
        if let Phase::Established { last_activity, .. } = self {
            *last_activity = now;
        }
    }

    /// When the last command was taken or the last response came; none while the connection is being established.
    pub(in crate::backend) fn last_activity(&self) -> Option<Time> {
        match self {
            Phase::Connecting { .. } => None,
            Phase::Established { last_activity, .. } => Some(*last_activity),
        }
    }

    /// Follows a read at `now`, which may have left the start of a line in the input.
    pub(in crate::backend) fn track_line(&mut self, line: PartialMessage, now: Time) {
        if let Phase::Established { line_deadline, .. } = self {
            line_deadline.track(line, now);
        }
    }

    /// When the connection fails unless it is established, or the line is complete, before.
    pub(in crate::backend) fn deadline(&self) -> Option<Time> {
        match self {
            Phase::Connecting { deadline } => Some(*deadline),
            Phase::Established { line_deadline, .. } => line_deadline.get(),
        }
    }
}
