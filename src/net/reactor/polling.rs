//! Waits for events and timers, and passes each to its connection or to the caller.

use super::managed_connection::ManagedConnection;
use super::token::EventSource;
use super::{EVENT_CAPACITY, Reactor, ReactorEvent};
use crate::model::{Span, Time};
use crate::net::SharedState;
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
    /// Returns whether the last [`Reactor::poll`] found no event, so that no socket had unread input.
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
        self.last_poll_was_empty = false;
        let was_polled = self.wait(until)?;
        let ready = self.ready_sources();
        self.last_poll_was_empty = was_polled && ready.is_empty();
        let events = ready
            .into_iter()
            .filter_map(|ready| self.dispatch(ready))
            .collect();
        self.fire_timers();
        self.run_due_writes();
        Ok(events)
    }

    /// Waits for events, the first timer or `until`. Returns false if the wait was interrupted repeatedly,
    /// so that the state of the sockets is unknown.
    fn wait(&mut self, until: Option<Time>) -> io::Result<bool> {
        let wake_up = self.timers.next_expiry().into_iter().chain(until).min();
        let mut timeout = wake_up.map(|time| {
            let remaining = time - self.clock.now();
            Duration::from_nanos(remaining.0 + TIMER_ROUNDING.0)
        });
        // A signal interrupts the wait and hides the events of the sockets. The sockets are therefore polled
        // again, because their events take precedence over timers and the signal itself.
        let entered_at = self.clock.now();
        let requested_timeout = timeout;
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
        self.polled_at = returned_at;
        // A full list of events may have left some unreported.
        if self.events.iter().count() < EVENT_CAPACITY {
            self.complete_poll_at = returned_at;
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
                self.run_callback(id, |connection, context| {
                    connection.handle_event(ready.readable, context)
                });
                None
            }
        }
    }

    /// Calls the connections whose timers have expired.
    pub(super) fn fire_timers(&mut self) {
        let now = self.clock.now();
        while let Some(id) = self.timers.pop_expired(now) {
            if let Some(managed) = self.connections.get_mut(&id) {
                managed.timer = None;
            }
            self.run_callback(id, ManagedConnection::handle_timer);
        }
    }
}
