//! The state machine of one virtual router (RFC 9568, section 6).

use crate::model::{Span, Time};
use std::cmp::Ordering;
use std::net::SocketAddr;

#[cfg(test)]
mod tests;

/// Priority of the owner of the virtual router's address, which is active whenever it runs (RFC 9568,
/// section 5.2.4).
pub const PRIORITY_ADDRESS_OWNER: u8 = 255;
/// Priority in the last advertisement of an active router that has stopped participating in VRRP (RFC 9568,
/// section 5.2.4).
pub const PRIORITY_STOPPED: u8 = 0;

/// Divisor of the skew time, which is (256 - priority) / 256 of an interval (RFC 9568, section 6.1).
const SKEW_TIME_DIVISOR: u64 = 256;
/// Number of intervals without an advertisement after which, plus the skew time, the active router is down
/// (RFC 9568, section 6.1).
const ACTIVE_DOWN_INTERVALS: u64 = 3;

/// The state of a virtual router (RFC 9568, section 6.4).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The router has not started, or has shut down.
    Initialize,
    /// The router monitors the advertisements of the active router.
    Backup,
    /// The router accepts new requests and sends advertisements.
    Active,
}

/// Parameters of a virtual router (RFC 9568, section 6.1).
#[derive(Clone, Debug)]
pub struct Configuration {
    /// `Priority` in the election: 1 to 254, or [`PRIORITY_ADDRESS_OWNER`].
    pub priority: u8,
    /// Time between this router's advertisements while it is active (`Advertisement_Interval`).
    pub advertisement_interval: Span,
    /// Whether this router takes over from an active router of lower priority (`Preempt_Mode`).
    pub preempt: bool,
    /// Primary address of this router. Of two active routers with equal priority, the one with the higher
    /// address stays active.
    pub primary_address: SocketAddr,
}

/// An input of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The server has started.
    Startup,
    /// The server is shutting down.
    Shutdown,
    /// The time that [`StateMachine::next_timer`] returns has been reached.
    TimerExpired,
    /// A valid advertisement for this virtual router has arrived.
    AdvertisementReceived {
        /// Priority of the sender; [`PRIORITY_STOPPED`] if the sender shuts down.
        priority: u8,
        /// Time between the sender's advertisements (Max Advertise Interval).
        interval: Span,
        /// Primary address of the sender.
        sender: SocketAddr,
    },
}

/// An output of the state machine: an advertisement to send to all peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendAdvertisement {
    /// Priority in the advertisement.
    pub priority: u8,
}

/// The state machine of one virtual router.
#[derive(Clone, Debug)]
pub struct StateMachine {
    configuration: Configuration,
    state: State,
    /// Expiry time of the state's timer: `Adver_Timer` in [`State::Active`], `Active_Down_Timer` in
    /// [`State::Backup`] (RFC 9568, section 6.2).
    timer: Option<Time>,
    /// Time between the active router's advertisements, as stated in them (`Active_Adver_Interval`).
    active_advertisement_interval: Span,
}

impl StateMachine {
    /// Creates a router in [`State::Initialize`].
    pub fn new(configuration: Configuration) -> StateMachine {
        StateMachine {
            state: State::Initialize,
            timer: None,
            active_advertisement_interval: configuration.advertisement_interval,
            configuration,
        }
    }

    /// Returns the current state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns the time at which [`Event::TimerExpired`] is due; `None` if no timer is running.
    pub fn next_timer(&self) -> Option<Time> {
        self.timer
    }

    /// Processes an event and returns the advertisement to send, if any.
    ///
    /// An [`Event::TimerExpired`] before the time that [`StateMachine::next_timer`] returns has no effect.
    pub fn handle(&mut self, now: Time, event: Event) -> Option<SendAdvertisement> {
        match self.state {
            State::Initialize => self.handle_in_initialize(now, event),
            State::Backup => self.handle_in_backup(now, event),
            State::Active => self.handle_in_active(now, event),
        }
    }

    /// Handles an event in [`State::Initialize`] (RFC 9568, section 6.4.1).
    fn handle_in_initialize(&mut self, now: Time, event: Event) -> Option<SendAdvertisement> {
        if event != Event::Startup {
            return None;
        }
        if self.owns_address() {
            return self.transition_to_active(now);
        }
        self.transition_to_backup(now, self.configuration.advertisement_interval);
        None
    }

    /// Handles an event in [`State::Backup`] (RFC 9568, section 6.4.2).
    fn handle_in_backup(&mut self, now: Time, event: Event) -> Option<SendAdvertisement> {
        match event {
            Event::Startup => None,
            Event::Shutdown => {
                self.transition_to_initialize();
                None
            }
            Event::TimerExpired if self.timer_expired(now) => self.transition_to_active(now),
            Event::TimerExpired => None,
            Event::AdvertisementReceived {
                priority, interval, ..
            } => {
                self.handle_advertisement_in_backup(now, priority, interval);
                None
            }
        }
    }

    /// Handles an advertisement in [`State::Backup`]: restarts the timer unless this router is to preempt the
    /// sender.
    ///
    /// A preempting router lets the timer expire, which makes it active.
    fn handle_advertisement_in_backup(&mut self, now: Time, priority: u8, interval: Span) {
        if self.owns_address() {
            return;
        }
        if priority == PRIORITY_STOPPED {
            self.timer = Some(now + self.skew_time());
            return;
        }
        let preempts = self.configuration.preempt && priority < self.configuration.priority;
        if !preempts {
            self.transition_to_backup(now, interval);
        }
    }

    /// Handles an event in [`State::Active`] (RFC 9568, section 6.4.3).
    fn handle_in_active(&mut self, now: Time, event: Event) -> Option<SendAdvertisement> {
        match event {
            Event::Startup => None,
            Event::Shutdown => {
                self.transition_to_initialize();
                Some(SendAdvertisement {
                    priority: PRIORITY_STOPPED,
                })
            }
            Event::TimerExpired if self.timer_expired(now) => self.advertise(now),
            Event::TimerExpired => None,
            Event::AdvertisementReceived {
                priority,
                interval,
                sender,
            } => self.handle_advertisement_in_active(now, priority, interval, sender),
        }
    }

    /// Handles an advertisement in [`State::Active`]: returns to [`State::Backup`] if the sender takes
    /// precedence over this router.
    fn handle_advertisement_in_active(
        &mut self,
        now: Time,
        priority: u8,
        interval: Span,
        sender: SocketAddr,
    ) -> Option<SendAdvertisement> {
        if self.owns_address() {
            return None;
        }
        if priority != PRIORITY_STOPPED && self.is_outranked_by(priority, sender) {
            self.transition_to_backup(now, interval);
            return None;
        }
        // The sender is shutting down or must return to backup. An advertisement tells it and the backups
        // immediately which router is active.
        self.advertise(now)
    }

    /// Returns whether another active router takes precedence: by its priority, or by its primary address if
    /// the priorities are equal.
    fn is_outranked_by(&self, priority: u8, sender: SocketAddr) -> bool {
        let own = &self.configuration;
        match priority.cmp(&own.priority) {
            Ordering::Greater => true,
            Ordering::Equal => sender > own.primary_address,
            Ordering::Less => false,
        }
    }

    fn transition_to_initialize(&mut self) {
        self.state = State::Initialize;
        self.timer = None;
    }

    /// Starts monitoring an active router that advertises at this interval, and restarts `Active_Down_Timer`.
    fn transition_to_backup(&mut self, now: Time, active_advertisement_interval: Span) {
        self.state = State::Backup;
        self.active_advertisement_interval = active_advertisement_interval;
        self.timer = Some(now + self.active_down_interval());
    }

    fn transition_to_active(&mut self, now: Time) -> Option<SendAdvertisement> {
        self.state = State::Active;
        self.advertise(now)
    }

    /// Returns an advertisement to send and restarts `Adver_Timer`.
    fn advertise(&mut self, now: Time) -> Option<SendAdvertisement> {
        self.timer = Some(now + self.configuration.advertisement_interval);
        Some(SendAdvertisement {
            priority: self.configuration.priority,
        })
    }

    fn timer_expired(&self, now: Time) -> bool {
        self.timer.is_some_and(|at| at <= now)
    }

    fn owns_address(&self) -> bool {
        self.configuration.priority == PRIORITY_ADDRESS_OWNER
    }

    /// Returns `Skew_Time`: the higher the priority, the sooner a backup router takes over.
    fn skew_time(&self) -> Span {
        let inverse_priority = SKEW_TIME_DIVISOR - u64::from(self.configuration.priority);
        Span(inverse_priority * self.active_advertisement_interval.0 / SKEW_TIME_DIVISOR)
    }

    /// Returns `Active_Down_Interval`: the time without an advertisement after which the active router is
    /// down.
    fn active_down_interval(&self) -> Span {
        Span(ACTIVE_DOWN_INTERVALS * self.active_advertisement_interval.0 + self.skew_time().0)
    }
}
