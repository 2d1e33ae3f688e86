//! Graceful shutdown: clients are told to stop sending, requests that still arrive are served, and the last
//! responses are written before the program exits. `shutdown_phases` defines when each step is due.

use super::Server;
use super::shutdown_phases::{PendingWork, Shutdown, ShutdownPhase};
use crate::frontend;
use crate::model::{Span, Time};
use crate::vrrp::Event;
use tracing::info;

impl Server {
    /// Starts a graceful shutdown unless one has started: the server is no longer ready, and clients are
    /// told to send no new requests.
    pub(super) fn begin_shutdown(&mut self) {
        if self.shutdown.is_some() {
            return;
        }
        info!(
            name = %self.config.name,
            open_requests = self.reactor.shared.scheduler.open_requests(),
            "ending"
        );
        let now = self.reactor.now();
        let shutdown = Shutdown::new(now, self.longest_deadline());
        self.reactor
            .shared
            .scheduler
            .begin_shutdown(now, shutdown.requests_end());
        self.shutdown = Some(shutdown);
        self.reactor.shared.ready = false;
        self.update_leader(Event::Shutdown);
        frontend::notify_draining(&mut self.reactor);
    }

    /// Returns the time at which [`Server::advance_shutdown`] is due if nothing else happens before.
    pub(super) fn shutdown_timer(&self) -> Option<Time> {
        let shutdown = self.shutdown.as_ref()?;
        shutdown.next_timer(self.reactor.now(), self.reactor.has_unsent_output())
    }

    /// Advances the shutdown. Returns true once it is complete.
    pub(super) fn advance_shutdown(&mut self) -> bool {
        let now = self.reactor.now();
        while let Some(phase) = self.enter_next_shutdown_phase(now) {
            info!(
                ?phase,
                open_requests = self.reactor.shared.scheduler.open_requests(),
                "shutdown phase entered"
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

    /// Limits the deadline of requests that arrive from now on, so that a client that keeps sending cannot
    /// delay the shutdown.
    fn limit_late_requests(&mut self) {
        if let Some(shutdown) = &self.shutdown {
            let ends_at = shutdown.late_requests_end();
            self.reactor.shared.scheduler.limit_new_requests(ends_at);
        }
    }

    fn longest_deadline(&self) -> Span {
        let classes = &self.reactor.shared.scheduler.site().settings.classes;
        let deadlines = classes.iter().map(|class| class.deadline);
        deadlines.max().unwrap_or_default()
    }

    fn enter_next_shutdown_phase(&mut self, now: Time) -> Option<ShutdownPhase> {
        let shutdown = self.shutdown.as_mut()?;
        let scheduler = &self.reactor.shared.scheduler;
        let pending_work = PendingWork {
            // A response that the last turn had no time to send is a command that is left.
            open_requests: scheduler.open_requests() + usize::from(scheduler.has_commands()),
            has_unsent_output: self.reactor.has_unsent_output(),
            last_poll_was_empty: self.reactor.last_poll_was_empty(),
        };
        shutdown.advance(now, pending_work)
    }
}
