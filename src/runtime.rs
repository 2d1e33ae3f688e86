//! The reactor together with the state that its connections share: what frontends, backend and discovery are
//! called back with.

use crate::net::{self, SharedState, SystemClock};
use crate::scheduler::Scheduler;
use std::io;

/// The reactor of this program's connections.
pub type Reactor = net::Reactor<RuntimeState>;
/// What a callback of a connection may use.
pub type Context<'a> = net::Context<'a, RuntimeState>;

/// The state that all connections share.
pub struct RuntimeState {
    /// The scheduler.
    pub scheduler: Scheduler,
    /// Whether the scheduler accepts requests.
    pub ready: bool,
    /// Whether this instance is the active VRRP router, and so accepts requests over JSON-RPC; see
    /// [`crate::vrrp`].
    pub active: bool,
}

impl RuntimeState {
    /// The state at the start: not ready but active.
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
}

/// A reactor without connections, round this scheduler.
///
/// # Errors
///
/// Those of [`net::Reactor::new`].
pub fn reactor(scheduler: Scheduler) -> io::Result<Reactor> {
    Reactor::new(SystemClock::new(), RuntimeState::new(scheduler))
}
