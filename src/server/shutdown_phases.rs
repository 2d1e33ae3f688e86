//! The phases of a graceful shutdown and the conditions that end them.
//!
//! SIGTERM only announces the end. According to the page PROTOCOL, new connections keep arriving for about
//! 0.4 s after it and requests for another 0.2 s, and the process is killed no earlier than 0.7 s after the
//! longest deadline, which counts as at most 3 s. Until then, clients may keep sending on open connections.

use crate::model::{Span, Time};

/// Delay from the start of the shutdown until clients are notified again, for those that have connected
/// since. Requests that arrive later must get a response even if the process is about to be killed (page
/// PROTOCOL).
const SECOND_NOTICE_DELAY: Span = Span::from_millis(700);
/// Time from the start of the shutdown during which clients may still connect. The process does not exit
/// earlier, unless it may be killed earlier.
const GRACE_PERIOD: Span = Span::from_millis(1_200);
/// Delay after the longest deadline before the process may be killed (page PROTOCOL).
const KILL_DELAY: Span = Span::from_millis(700);
/// Upper bound on the longest deadline when the time of the kill is calculated (page PROTOCOL).
const MAX_LONGEST_DEADLINE: Span = Span::from_millis(3_000);
/// Time before the kill by which late requests have ended, so that their responses can still be written.
const LATE_REQUESTS_MARGIN: Span = Span::from_millis(300);
/// Time before the kill by which all requests have ended, and at which the process exits. A request that
/// comes within 0.6 s of SIGTERM, as the page PROTOCOL says, keeps its whole deadline.
const EXIT_MARGIN: Span = Span::from_millis(100);
/// Maximum time for writing the remaining responses once no request is open.
const FLUSH_TIMEOUT: Span = Span::from_millis(500);

/// A phase of a shutdown. Requests get responses in every phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ShutdownPhase {
    /// Clients that are not aware of the shutdown still connect, and their requests are served.
    LateConnections,
    /// All clients have been notified. Requests that still arrive are served in the remaining time.
    LateRequests,
    /// Requests are still open.
    Draining,
    /// No request is open; the remaining responses are being written.
    Flushing {
        /// Time at which unwritten output is abandoned.
        deadline: Time,
    },
    /// The process may exit.
    Complete,
}

/// The server's remaining work, as far as a shutdown depends on it.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingWork {
    /// Number of requests without a final response.
    pub(super) open_requests: usize,
    /// Whether any connection has unsent output.
    pub(super) has_unsent_output: bool,
    /// Whether the last poll found no socket with input.
    pub(super) last_poll_was_empty: bool,
}

/// A shutdown in progress.
#[derive(Debug)]
pub(super) struct Shutdown {
    began_at: Time,
    /// Earliest time at which the process may be killed.
    earliest_kill_at: Time,
    phase: ShutdownPhase,
    /// Time since which no request has been open; `None` while one is open.
    drained_at: Option<Time>,
}

impl Shutdown {
    /// Creates a shutdown that starts at `now`. All clients have been notified, and no request has a longer
    /// deadline than `longest_deadline`.
    pub(super) fn new(now: Time, longest_deadline: Span) -> Shutdown {
        Shutdown {
            began_at: now,
            earliest_kill_at: now + longest_deadline.min(MAX_LONGEST_DEADLINE) + KILL_DELAY,
            phase: ShutdownPhase::LateConnections,
            drained_at: None,
        }
    }

    /// Enters the next phase if the current one has ended, and returns it. Callers repeat this until it
    /// returns `None`.
    pub(super) fn advance(&mut self, now: Time, pending_work: PendingWork) -> Option<ShutdownPhase> {
        self.drained_at = match pending_work.open_requests {
            0 => self.drained_at.or(Some(now)),
            _ => None,
        };
        self.phase = self.next_phase(now, pending_work)?;
        Some(self.phase)
    }

    /// Returns the phase that follows the current one, or `None` if the current one has not ended.
    fn next_phase(&self, now: Time, pending_work: PendingWork) -> Option<ShutdownPhase> {
        match self.phase {
            ShutdownPhase::LateConnections => {
                (now >= self.second_notice_at()).then_some(ShutdownPhase::LateRequests)
            }
            ShutdownPhase::LateRequests => (now >= self.grace_end()).then_some(ShutdownPhase::Draining),
            ShutdownPhase::Draining => {
                let drained_at = self.drained_at?;
                // A request may end as late as its deadline allows, so the time for writing its response
                // starts then.
                let deadline = self.flush_deadline(drained_at.max(self.grace_end()));
                Some(ShutdownPhase::Flushing { deadline })
            }
            ShutdownPhase::Flushing { .. } if self.drained_at.is_none() => Some(ShutdownPhase::Draining),
            ShutdownPhase::Flushing { deadline } => {
                // A request may be waiting unread behind responses that have just been written. Closing its
                // connection would also discard what the client has not read yet, so the sockets are polled
                // once more.
                let is_flushed = !pending_work.has_unsent_output && pending_work.last_poll_was_empty;
                (is_flushed || now >= deadline).then_some(ShutdownPhase::Complete)
            }
            ShutdownPhase::Complete => None,
        }
    }

    /// Returns the time at which to advance if nothing happens on the connections.
    pub(super) fn next_timer(&self, now: Time, has_unsent_output: bool) -> Option<Time> {
        match self.phase {
            ShutdownPhase::LateConnections => Some(self.second_notice_at()),
            ShutdownPhase::LateRequests => Some(self.grace_end()),
            ShutdownPhase::Draining => None,
            ShutdownPhase::Flushing { deadline } if has_unsent_output => Some(deadline),
            ShutdownPhase::Flushing { .. } | ShutdownPhase::Complete => Some(now),
        }
    }

    /// Returns the time by which all requests must end, whenever they arrive, so that each gets its response
    /// before the process may be killed.
    pub(super) fn requests_end(&self) -> Time {
        self.last_exit_at()
    }

    /// Returns the time by which requests that arrive after the second notice must end.
    pub(super) fn late_requests_end(&self) -> Time {
        self.earliest_kill_at - LATE_REQUESTS_MARGIN
    }

    /// Returns the time at which writing that starts at `begins_at` is abandoned. If writing starts before
    /// the earliest kill, the deadline is at most the last exit time, so that a client that sends
    /// continuously cannot delay the exit beyond the kill.
    fn flush_deadline(&self, begins_at: Time) -> Time {
        let deadline = begins_at + FLUSH_TIMEOUT;
        if begins_at < self.earliest_kill_at {
            deadline.min(self.last_exit_at()).max(begins_at)
        } else {
            deadline
        }
    }

    fn second_notice_at(&self) -> Time {
        (self.began_at + SECOND_NOTICE_DELAY).min(self.last_exit_at())
    }

    fn grace_end(&self) -> Time {
        (self.began_at + GRACE_PERIOD).min(self.last_exit_at())
    }

    fn last_exit_at(&self) -> Time {
        self.earliest_kill_at - EXIT_MARGIN
    }
}
