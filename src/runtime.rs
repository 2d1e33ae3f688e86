//! The reactor and the state that all its connections share, on which the callbacks of frontends, backend
//! and discovery work.

use crate::model::Time;
use crate::net::{self, LongTurn, SharedState, SystemClock};
use crate::scheduler::Scheduler;
use std::io;
use tracing::warn;

/// The reactor of the scheduler's connections.
pub type Reactor = net::Reactor<RuntimeState>;
/// The context that a connection's callbacks receive.
pub type Context<'a> = net::Context<'a, RuntimeState>;

/// The state that all connections share.
pub struct RuntimeState {
    /// Scheduler that handles the requests of all connections.
    pub scheduler: Scheduler,
    /// Whether the scheduler accepts requests.
    pub ready: bool,
    /// Whether this instance is the active VRRP router and therefore accepts requests over JSON-RPC; see
    /// [`crate::vrrp`].
    pub active: bool,
}

impl RuntimeState {
    /// Creates the state at startup: not ready, but active.
    pub fn new(scheduler: Scheduler) -> RuntimeState {
        RuntimeState {
            scheduler,
            ready: false,
            active: true,
        }
    }
}

impl SharedState for RuntimeState {
    fn panic_caught(&mut self) {
        self.scheduler.counters().panics += 1;
    }

    fn registration_failed(&mut self) {
        self.scheduler.counters().event_registrations_failed += 1;
    }

    fn connection_rechecked(&mut self) {
        self.scheduler.counters().clients_rechecked += 1;
    }

    fn long_turn_ended(&mut self, now: Time, turn: &LongTurn) {
        if self.scheduler.admits_log_line(now) {
            let (part, part_duration) = turn.longest_part;
            warn!(
                turn_ms = turn.duration.as_millis_rounded_up(),
                part = part.name(),
                part_ms = part_duration.as_millis_rounded_up(),
                "long turn of the event loop"
            );
        }
    }
}

/// Creates a reactor without connections that owns this scheduler.
///
/// # Errors
///
/// Returns the error of [`net::Reactor::new`].
pub fn reactor(scheduler: Scheduler) -> io::Result<Reactor> {
    Reactor::new(SystemClock::new(), RuntimeState::new(scheduler))
}
