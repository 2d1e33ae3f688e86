//! Waits for events and timers, and passes each to its connection or to the caller.

use super::managed_connection::ManagedConnection;
use super::token::EventSource;
use super::{EVENT_CAPACITY, Reactor, ReactorEvent};
use crate::model::{ConnectionId, Span, Time};
use crate::net::{SharedState, TurnPart};
use std::io;
use std::time::Duration;

/// Number of consecutive interruptions after which a wait ends, so that timers and requests are not delayed
/// further.
const MAX_INTERRUPTIONS: u32 = 8;
/// Duration below which a poll counts as having returned without waiting.
const IMMEDIATE_RETURN_THRESHOLD: Span = Span::from_millis(1);
/// Delay between a poll's timeout and its return above which the process is assumed to have been stopped, so
/// that input may have arrived at any time since the poll began.
const LATE_WAKEUP_THRESHOLD: Span = Span::from_millis(10);
/// Time in a turn for the timers of connections.
const TIMER_BUDGET: Span = Span::from_millis(2);
/// Age of the last poll above which the sockets are polled again before a timer fires, and age of input above
/// which it is handled before a write that depends on it. An attempt must not begin more than 0.1 s after its
/// client has left (operators' terms of 2026-12-02).
pub(super) const MAX_INPUT_AGE: Span = Span::from_millis(20);
/// Time added to the wait for a timer, so that the system's rounding does not repeatedly end the wait
/// slightly too early.
const TIMER_ROUNDING: Span = Span(50_000);

/// An event source and what the system reported for it.
struct ReadySource {
    source: EventSource,
    /// Whether there is input, an end of stream or an error to read.
    readable: bool,
}

impl<S: SharedState + 'static> Reactor<S> {
    /// Returns whether the last [`Reactor::poll`] found no event and no connection had input left, so that no
    /// socket had unread input.
    pub fn last_poll_was_empty(&self) -> bool {
        self.last_poll_was_empty
    }

    /// Waits until something happens or `until` has passed, calls connections back, lets them write, and
    /// returns the other events.
    ///
    /// # Errors
    ///
    /// Returns the system error if waiting for events fails.
    pub fn poll(&mut self, until: Option<Time>) -> io::Result<Vec<ReactorEvent>> {
        let timeout = self.timeout_until(until);
        self.end_turn();
        self.due_writes.append(&mut self.postponed_writes);
        let mut events = self.poll_once(timeout)?;
        // The process was stopped or starved, or had many events to handle. A timer must not end what a peer
        // has answered, cancelled or closed meanwhile.
        if self.is_input_outdated() {
            let first_was_empty = self.last_poll_was_empty;
            events.extend(self.poll_once(Some(Duration::ZERO))?);
            self.last_poll_was_empty &= first_was_empty;
        }
        self.fire_timers();
        self.run_due_writes();
        Ok(events)
    }

    /// Ends the current turn before the next wait.
    fn end_turn(&mut self) {
        let now = self.clock.now();
        if let Some(long_turn) = self.turn_times.end_turn(now) {
            self.shared.long_turn_ended(now, &long_turn);
        }
    }

    /// Returns the time as of which timers may expire that end what a peer may have answered or cancelled: now,
    /// unless the process was stopped since the last poll.
    pub fn timers_expire_at(&self) -> Time {
        self.clock.now().min(self.polled_at + MAX_INPUT_AGE)
    }

    /// Returns whether the last complete poll is too long ago to rely on what it told.
    pub(super) fn is_input_outdated(&self) -> bool {
        self.clock.now() - self.complete_poll_at > MAX_INPUT_AGE
    }

    /// Returns the time to wait for the first timer or `until`, or `None` if there is neither. There is no wait
    /// while input is waiting to be handled.
    fn timeout_until(&self, until: Option<Time>) -> Option<Duration> {
        if !self.input_queues.is_empty() {
            return Some(Duration::ZERO);
        }
        let wake_up = self.timers.next_expiry().into_iter().chain(until).min();
        wake_up.map(|time| {
            let remaining = time - self.clock.now();
            Duration::from_nanos(remaining.0 + TIMER_ROUNDING.0)
        })
    }

    /// Waits for events for at most `timeout`, calls connections back, and returns the other events.
    fn poll_once(&mut self, timeout: Option<Duration>) -> io::Result<Vec<ReactorEvent>> {
        self.last_poll_was_empty = false;
        let was_polled = self.wait(timeout)?;
        let began_at = self.clock.now();
        self.turn_times.begin_turn_unless_begun(began_at);
        let ready = self.ready_sources();
        self.last_poll_was_empty = was_polled && ready.is_empty() && self.input_queues.is_empty();
        let events = ready.into_iter().filter_map(|ready| self.dispatch(ready));
        let events = events.collect();
        self.handle_waiting_input();
        self.record_part(TurnPart::Input, began_at);
        Ok(events)
    }

    /// Waits for events. Returns false if the wait was interrupted repeatedly, so that the state of the
    /// sockets is unknown.
    fn wait(&mut self, requested_timeout: Option<Duration>) -> io::Result<bool> {
        // A signal interrupts the wait and hides the events of the sockets. The sockets are therefore polled
        // again, because their events take precedence over timers and the signal itself.
        let entered_at = self.clock.now();
        let mut timeout = requested_timeout;
        for _ in 0..MAX_INTERRUPTIONS {
            match self.poll.poll(&mut self.events, timeout) {
                Ok(()) => {
                    self.record_poll(entered_at, requested_timeout);
                    return Ok(true);
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => timeout = Some(Duration::ZERO),
                Err(error) => return Err(error),
            }
        }
        Ok(false)
    }

    /// Records the earliest time at which the input reported by a poll may have arrived.
    fn record_poll(&mut self, entered_at: Time, requested_timeout: Option<Duration>) {
        let returned_at = self.clock.now();
        let waited = returned_at - entered_at;
        let woke_late = requested_timeout
            .is_some_and(|timeout| waited > Span(timeout.as_nanos() as u64) + LATE_WAKEUP_THRESHOLD);
        self.earliest_input_at = if waited < IMMEDIATE_RETURN_THRESHOLD {
            // The input was already waiting: it arrived while the process was handling the previous events.
            self.polled_at
        } else if woke_late {
            entered_at
        } else {
            returned_at
        };
        // A late return may be long after the system looked at the sockets.
        self.polled_at = if woke_late { entered_at } else { returned_at };
        // A full list of events may have left some unreported.
        if self.events.iter().count() < EVENT_CAPACITY {
            self.complete_poll_at = self.polled_at;
        }
    }

    fn ready_sources(&self) -> Vec<ReadySource> {
        self.events
            .iter()
            .map(|event| ReadySource {
                source: EventSource::from_token(event.token()),
                readable: event.is_readable() || event.is_read_closed() || event.is_error(),
            })
            .collect()
    }

    fn dispatch(&mut self, ready: ReadySource) -> Option<ReactorEvent> {
        match ready.source {
            EventSource::Listener(listener) => Some(ReactorEvent::ClientWaiting(listener)),
            EventSource::UdpSocket(socket) => Some(ReactorEvent::DatagramWaiting(socket)),
            EventSource::Pipe(pipe) => {
                self.pipes.drain(pipe);
                Some(ReactorEvent::PipeReadable(pipe))
            }
            EventSource::Connection(id) => {
                self.handle_connection_event(id, ready.readable);
                None
            }
        }
    }

    /// Handles an event of a connection, except for its input, which the connection handles when its turn comes.
    fn handle_connection_event(&mut self, id: ConnectionId, readable: bool) {
        let earliest_input_at = self.earliest_input_at;
        self.run_callback(id, |managed, context| {
            if readable {
                managed.mark_readable(earliest_input_at);
            }
            managed.handle_event(context)
        });
    }

    /// Calls the connections whose timers have expired, as long as the turn has time for it.
    pub(super) fn fire_timers(&mut self) {
        let now = self.clock.now();
        let budget = self.time_budget(TIMER_BUDGET);
        while let Some(id) = self.timers.pop_expired(now) {
            if let Some(managed) = self.connections.get_mut(&id) {
                managed.timer = None;
            }
            self.run_callback(id, ManagedConnection::handle_timer);
            if budget.is_spent() {
                break;
            }
        }
        self.record_part(TurnPart::ConnectionTimers, now);
    }
}
