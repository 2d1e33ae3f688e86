//! Graceful shutdown: clients are asked to leave, what they still send is served, and the last responses are
//! written before the program ends.
//!
//! SIGTERM only announces the end. The platform's protocol page says that new connections keep coming for
//! some 0.4 s after it and requests for 0.2 s more, and that the program is not killed before every request's
//! time has run out.

use super::Server;
use crate::frontend;
use crate::model::{Span, Time};
use crate::vrrp::Event;
use tracing::info;

/// Time from the beginning until clients are notified again: those that have connected since. The answer to a request
/// that comes later is owed even if the process is killed (page PROTOCOL).
const LATE_NOTICE_DELAY: Span = Span::from_millis(700);
/// The process is killed no sooner than 0.7 s after the longest deadline has passed since the beginning, which counts as
/// 3 s where it is shorter (page PROTOCOL). Late requests end some time before that, so that their responses can be
/// written.
const LATE_REQUESTS_END: Span = Span::from_millis(400);
/// What the longest deadline counts as at least.
const MIN_LONGEST_DEADLINE: Span = Span::from_millis(3_000);
/// Time from the beginning during which clients may still come; the program ends no sooner.
const GRACE_PERIOD: Span = Span::from_millis(1_200);
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
pub(super) struct Activity {
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
    phase: ShutdownPhase,
    /// Since when no request has been open; none while one is.
    drained_at: Option<Time>,
}

impl Shutdown {
    /// A shutdown that begins at `now`, with all clients notified.
    pub(super) fn new(now: Time) -> Shutdown {
        Shutdown {
            began_at: now,
            phase: ShutdownPhase::LateConnections,
            drained_at: None,
        }
    }

    /// Moves on by one phase if the present one has ended, and gives the phase that was entered. To be called
    /// until it gives none.
    pub(super) fn advance(&mut self, now: Time, activity: Activity) -> Option<ShutdownPhase> {
        self.drained_at = match activity.open_requests {
            0 => self.drained_at.or(Some(now)),
            _ => None,
        };
        self.phase = self.next_phase(now, activity)?;
        Some(self.phase)
    }

    /// What ends each phase, and which one follows.
    fn next_phase(&self, now: Time, activity: Activity) -> Option<ShutdownPhase> {
        match self.phase {
            ShutdownPhase::LateConnections => {
                let notice_due = now >= self.began_at + LATE_NOTICE_DELAY;
                notice_due.then_some(ShutdownPhase::LateRequests)
            }
            ShutdownPhase::LateRequests => (now >= self.grace_end()).then_some(ShutdownPhase::Draining),
            ShutdownPhase::Draining => {
                let drained_at = self.drained_at?;
                // The last response may come as late as its request allows: the time to write it counts from
                // then.
                let deadline = drained_at.max(self.grace_end()) + FLUSH_TIMEOUT;
                Some(ShutdownPhase::Flushing { deadline })
            }
            ShutdownPhase::Flushing { .. } if self.drained_at.is_none() => Some(ShutdownPhase::Draining),
            ShutdownPhase::Flushing { deadline } => {
                // A request may wait unread behind responses that have just been written. Closing its
                // connection would also take from the client what it has not read yet, so the sockets are
                // polled once more.
                let is_flushed = !activity.has_unsent_output && activity.last_poll_was_empty;
                (is_flushed || now >= deadline).then_some(ShutdownPhase::Complete)
            }
            ShutdownPhase::Complete => None,
        }
    }

    /// When to advance although nothing happens on the connections.
    pub(super) fn next_timer(&self, now: Time, has_unsent_output: bool) -> Option<Time> {
        match self.phase {
            ShutdownPhase::LateConnections => Some(self.began_at + LATE_NOTICE_DELAY),
            ShutdownPhase::LateRequests => Some(self.grace_end()),
            ShutdownPhase::Draining => None,
            ShutdownPhase::Flushing { deadline } if has_unsent_output => Some(deadline),
            ShutdownPhase::Flushing { .. } | ShutdownPhase::Complete => Some(now),
        }
    }

    fn grace_end(&self) -> Time {
        self.began_at + GRACE_PERIOD
    }
}

impl Server {
    /// Begins a graceful shutdown, unless one has begun: the server is no longer ready, and clients are asked
    /// to send no new requests.
    pub(super) fn begin_shutdown(&mut self) {
        if self.shutdown.is_some() {
            return;
        }
        info!(
            "ending name={} owed={}",
            self.config.name,
            self.reactor.shared.scheduler.open_requests()
        );
        self.shutdown = Some(Shutdown::new(self.reactor.now()));
        self.reactor.shared.ready = false;
        self.update_leader(Event::Shutdown);
        frontend::notify_draining(&mut self.reactor);
    }

    /// When [`Server::advance_shutdown`] has something to do although nothing else happens.
    pub(super) fn shutdown_timer(&self) -> Option<Time> {
        let shutdown = self.shutdown.as_ref()?;
        shutdown.next_timer(self.reactor.now(), self.reactor.has_unsent_output())
    }

    /// Moves a shutdown on; true once it is complete.
    pub(super) fn advance_shutdown(&mut self) -> bool {
        let now = self.reactor.now();
        while let Some(phase) = self.enter_next_shutdown_phase(now) {
            info!(
                "shutdown phase={phase:?} owed={}",
                self.reactor.shared.scheduler.open_requests()
            );
            match phase {
                ShutdownPhase::LateRequests => {
                    self.limit_late_requests();
                    frontend::notify_draining(&mut self.reactor);
                }
                ShutdownPhase::Complete => return true,
                ShutdownPhase::LateConnections | ShutdownPhase::Draining | ShutdownPhase::Flushing { .. } => {
                }
            }
        }
        false
    }

    /// A client that goes on sending must not put the end off: each request from now on ends before the process is
    /// killed.
    fn limit_late_requests(&mut self) {
        let Some(shutdown) = &self.shutdown else {
            return;
        };
        let classes = &self.reactor.shared.scheduler.site().settings.classes;
        let deadlines = classes.iter().map(|class| class.deadline);
        let longest = deadlines.max().unwrap_or_default().max(MIN_LONGEST_DEADLINE);
        let ends_at = shutdown.began_at + longest + LATE_REQUESTS_END;
        self.reactor.shared.scheduler.end_requests_by(ends_at);
    }

    fn enter_next_shutdown_phase(&mut self, now: Time) -> Option<ShutdownPhase> {
        let shutdown = self.shutdown.as_mut()?;
        let activity = Activity {
            open_requests: self.reactor.shared.scheduler.open_requests(),
            has_unsent_output: self.reactor.has_unsent_output(),
            last_poll_was_empty: self.reactor.last_poll_was_empty(),
        };
        shutdown.advance(now, activity)
    }
}
