//! The phases of a graceful shutdown, and what ends each of them.
//!
//! SIGTERM only announces the end. The platform's protocol page says that new connections keep coming for some 0.4 s after
//! it and requests for 0.2 s more, and that the program is killed no sooner than 0.7 s after the longest deadline, which
//! counts as 3 s where it is longer. Clients may go on sending on open connections until then.

use crate::model::{Span, Time};

/// Time from the beginning until clients are notified again: those that have connected since. The answer to a request
/// that comes later is owed even if the process is killed (page PROTOCOL).
const SECOND_NOTICE_DELAY: Span = Span::from_millis(700);
/// Time from the beginning during which clients may still come; the program ends no sooner, unless it may be killed
/// before.
const GRACE_PERIOD: Span = Span::from_millis(1_200);
/// The program may be killed so long after the longest deadline (page PROTOCOL).
const KILL_DELAY: Span = Span::from_millis(700);
/// The longest deadline counts as no more than this (page PROTOCOL).
const MAX_LONGEST_DEADLINE: Span = Span::from_millis(3_000);
/// How long before the kill requests that come late have ended, so that their responses can be written.
const LATE_REQUESTS_MARGIN: Span = Span::from_millis(300);
/// How long before the kill the program ends, if no request is open then.
const EXIT_MARGIN: Span = Span::from_millis(100);
/// How long responses may take to be written once no request is open.
const FLUSH_TIMEOUT: Span = Span::from_millis(500);

/// How far a shutdown has come. Requests are answered in every phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ShutdownPhase {
    /// Clients that don't know of the shutdown still connect, and their requests are served.
    LateConnections,
    /// All clients have been notified; what they still send is served in the time that is left.
    LateRequests,
    /// Requests are open.
    Draining,
    /// No request is open; responses are being written.
    Flushing {
        /// When writing is given up.
        deadline: Time,
    },
    /// The program may end.
    Complete,
}

/// What the server still has to do, as far as a shutdown depends on it.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingWork {
    /// Requests that have no final response yet.
    pub(super) open_requests: usize,
    /// Output waits to be written on some connection.
    pub(super) has_unsent_output: bool,
    /// The last poll of the sockets found nothing to read.
    pub(super) last_poll_was_empty: bool,
}

/// A shutdown that has begun.
#[derive(Debug)]
pub(super) struct Shutdown {
    began_at: Time,
    /// When the program may be killed at the earliest.
    earliest_kill_at: Time,
    phase: ShutdownPhase,
    /// Since when no request has been open; none while one is.
    drained_at: Option<Time>,
}

impl Shutdown {
    /// A shutdown that begins at `now`, with all clients notified, where no request has a longer deadline.
    pub(super) fn new(now: Time, longest_deadline: Span) -> Shutdown {
        Shutdown {
            began_at: now,
            earliest_kill_at: now + longest_deadline.min(MAX_LONGEST_DEADLINE) + KILL_DELAY,
            phase: ShutdownPhase::LateConnections,
            drained_at: None,
        }
    }

    /// Moves on by one phase if the present one has ended, and gives the phase that was entered. To be called
    /// until it gives none.
    pub(super) fn advance(&mut self, now: Time, pending_work: PendingWork) -> Option<ShutdownPhase> {
        self.drained_at = match pending_work.open_requests {
            0 => self.drained_at.or(Some(now)),
            _ => None,
        };
        self.phase = self.next_phase(now, pending_work)?;
        Some(self.phase)
    }

    /// What ends each phase, and which one follows.
    fn next_phase(&self, now: Time, pending_work: PendingWork) -> Option<ShutdownPhase> {
        match self.phase {
            ShutdownPhase::LateConnections => {
                (now >= self.second_notice_at()).then_some(ShutdownPhase::LateRequests)
            }
            ShutdownPhase::LateRequests => (now >= self.grace_end()).then_some(ShutdownPhase::Draining),
            ShutdownPhase::Draining => {
                let drained_at = self.drained_at?;
                // The last response may come as late as its request allows: the time to write it counts from
                // then.
                let deadline = self.flush_deadline(drained_at.max(self.grace_end()));
                Some(ShutdownPhase::Flushing { deadline })
            }
            ShutdownPhase::Flushing { .. } if self.drained_at.is_none() => Some(ShutdownPhase::Draining),
            ShutdownPhase::Flushing { deadline } => {
                // A request may wait unread behind responses that have just been written. Closing its
                // connection would also take from the client what it has not read yet, so the sockets are
                // polled once more.
                let is_flushed = !pending_work.has_unsent_output && pending_work.last_poll_was_empty;
                (is_flushed || now >= deadline).then_some(ShutdownPhase::Complete)
            }
            ShutdownPhase::Complete => None,
        }
    }

    /// When to advance although nothing happens on the connections.
    pub(super) fn next_timer(&self, now: Time, has_unsent_output: bool) -> Option<Time> {
        match self.phase {
            ShutdownPhase::LateConnections => Some(self.second_notice_at()),
            ShutdownPhase::LateRequests => Some(self.grace_end()),
            ShutdownPhase::Draining => None,
            ShutdownPhase::Flushing { deadline } if has_unsent_output => Some(deadline),
            ShutdownPhase::Flushing { .. } | ShutdownPhase::Complete => Some(now),
        }
    }

    /// When requests that come from the late notice on have to have ended.
    pub(super) fn late_requests_end(&self) -> Time {
        self.earliest_kill_at - LATE_REQUESTS_MARGIN
    }

    /// When writing is given up that begins then. A client that sends without a pause must not hold the end up beyond
    /// the kill.
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
