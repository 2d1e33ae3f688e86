//! A connection as managed by the reactor: its stream, its callbacks and the state of its closing.

use super::input_state::InputState;
use crate::model::{Span, Time};
use crate::net::{BufferedStream, CloseCause, Connection, ConnectionFlow, Context, SharedState};
use mio::Registry;
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use tracing::{debug, error};

/// Delay after which a timer is tried again if its connection has input that could not be handled before.
const TIMER_RETRY_DELAY: Span = Span::from_millis(10);
/// Number of bytes of output above which the output of a connection is not left for later.
const MAX_DEFERRED_OUTPUT_BYTES: usize = 4 << 10;
/// Delay before a failed registration for a connection's events is retried.
const REGISTRATION_RETRY_DELAY: Span = Span::from_millis(20);

/// A connection of the reactor.
pub(super) struct ManagedConnection<S> {
    pub(super) stream: BufferedStream,
    pub(super) connection: Box<dyn Connection<S>>,
    /// What is known of its input.
    pub(super) input: InputState,
    /// Time until which the connection's timer waits because input could not be handled before.
    timer_retry_at: Time,
    /// Whether the peer is a client.
    pub(super) is_client: bool,
    /// Time to which the connection's timer is set.
    pub(super) timer: Option<Time>,
    /// Whether the connection closes once its output has been written.
    pub(super) finishing: bool,
    /// Whether small output of the current callback is left to [`Reactor::flush_deferred_output`].
    ///
    /// [`Reactor::flush_deferred_output`]: super::Reactor::flush_deferred_output
    pub(super) defers_output: bool,
    /// Whether output is left to that function.
    pub(super) has_deferred_output: bool,
    /// Whether the sending half of the stream is shut down.
    write_shut_down: bool,
    /// Number of bytes read and discarded since the connection started to close.
    pub(super) discarded: usize,
    /// Reason for closing the connection; `None` while it is open, or if its peer or the connection itself
    /// ended it.
    close_cause: Option<CloseCause>,
    /// Time at which a failed registration for the stream's events is retried.
    registration_retry_at: Option<Time>,
}

impl<S: SharedState + 'static> ManagedConnection<S> {
    pub(super) fn new(stream: BufferedStream, connection: Box<dyn Connection<S>>) -> ManagedConnection<S> {
        ManagedConnection {
            input: InputState::default(),
            timer_retry_at: Time(0),
            is_client: connection.is_client(),
            stream,
            connection,
            timer: None,
            finishing: false,
            defers_output: false,
            has_deferred_output: false,
            write_shut_down: false,
            discarded: 0,
            close_cause: None,
            registration_retry_at: None,
        }
    }

    /// Returns the time at which the reactor must call the connection if no event occurs.
    pub(super) fn deadline(&self) -> Option<Time> {
        let mut deadline = self.connection.deadline();
        if self.defers_timers() {
            deadline = deadline.map(|time| time.max(self.timer_retry_at));
        }
        deadline.into_iter().chain(self.registration_retry_at).min()
    }

    /// Returns whether timers wait until the input has been handled. A finishing connection ignores its input.
    fn defers_timers(&self) -> bool {
        self.has_unhandled_input() && !self.finishing
    }

    /// Returns the time since which closing the connection would lose no work.
    pub(super) fn idle_since(&self) -> Option<Time> {
        if self.write_shut_down {
            // All output has been written; the connection only waits for the peer to close.
            return Some(Time(0));
        }
        self.connection.idle_since()
    }

    /// Sets the reason for closing the connection. The first reason is kept.
    pub(super) fn set_close_cause(&mut self, cause: CloseCause) {
        self.close_cause.get_or_insert(cause);
    }

    /// Returns the reason for closing the connection.
    pub(super) fn close_cause(&self) -> CloseCause {
        self.close_cause.unwrap_or(if self.stream.input_ended {
            CloseCause::PeerClosed
        } else {
            CloseCause::Done
        })
    }

    /// Runs a callback and writes the output that it adds. A panic closes only this connection, after its
    /// open requests have been failed.
    pub(super) fn run_callback(
        &mut self,
        context: &mut Context<S>,
        callback: impl FnOnce(&mut ManagedConnection<S>, &mut Context<S>) -> ConnectionFlow,
    ) -> ConnectionFlow {
        let flow = catch_unwind(AssertUnwindSafe(|| {
            let flow = callback(self, context);
            self.flush_output(flow, context)
        }));
        self.input.has_buffered_messages |= context.messages.is_exhausted();
        self.stream.trim_input();
        flow.unwrap_or_else(|_| {
            context.shared.panic_caught();
            error!(connection = self.stream.id().0, "connection closed after a panic");
            self.fail_open_requests(context)
        })
    }

    /// Closes the connection, failing its open requests.
    pub(super) fn fail_open_requests(&mut self, context: &mut Context<S>) -> ConnectionFlow {
        let flow = catch_unwind(AssertUnwindSafe(|| {
            let flow = self.connection.fail_open_requests(&mut self.stream, context);
            self.flush_output(flow, context)
        }));
        flow.unwrap_or(ConnectionFlow::Close)
    }

    /// Writes the output immediately. The connection may add more each time all of it has been written.
    fn flush_output(&mut self, mut flow: ConnectionFlow, context: &mut Context<S>) -> ConnectionFlow {
        if self.leaves_output(flow) {
            return flow;
        }
        while flow != ConnectionFlow::Close && self.stream.is_connected() && self.stream.unsent_bytes() > 0 {
            if !self.connection.may_write_remaining(context) {
                self.set_close_cause(CloseCause::OutputExpired);
                return ConnectionFlow::Close;
            }
            match self.stream.flush() {
                Ok(true) => flow = flow.and(self.connection.flushed(&mut self.stream, context)),
                Ok(false) => break,
                Err(error) => {
                    self.set_close_cause(CloseCause::Failed(error.kind()));
                    flow = ConnectionFlow::Close;
                }
            }
        }
        flow
    }

    /// Returns whether the output after a callback is left for later.
    pub(super) fn leaves_output(&self, flow: ConnectionFlow) -> bool {
        let is_small = self.stream.unsent_bytes() <= MAX_DEFERRED_OUTPUT_BYTES;
        self.defers_output && is_small && flow == ConnectionFlow::Continue
    }

    /// Handles an event that the system reported for the stream, except for its input.
    pub(super) fn handle_event(&mut self, context: &mut Context<S>) -> ConnectionFlow {
        self.try_handle_event(context)
            .unwrap_or_else(|error| self.fail(&error))
    }

    /// Handles an expired timer, after any input that the last poll may have missed.
    ///
    /// A connection that is closed by a timer must not lose a request, a response or a completed connect
    /// that is already waiting on its socket.
    pub(super) fn handle_timer(&mut self, context: &mut Context<S>) -> ConnectionFlow {
        let flow = self.handle_event(context).and(self.handle_input(context));
        if flow != ConnectionFlow::Continue {
            return flow;
        }
        if context.messages.is_exhausted() || self.defers_timers() {
            self.timer_retry_at = context.now + TIMER_RETRY_DELAY;
            return ConnectionFlow::Continue;
        }
        self.connection.timer_expired(&mut self.stream, context)
    }

    pub(super) fn fail(&mut self, error: &io::Error) -> ConnectionFlow {
        self.set_close_cause(CloseCause::Failed(error.kind()));
        ConnectionFlow::Close
    }

    fn try_handle_event(&mut self, context: &mut Context<S>) -> io::Result<ConnectionFlow> {
        if !self.stream.is_connected() {
            if !self.stream.check_connected()? {
                return Ok(ConnectionFlow::Continue);
            }
            let flow = self.connection.opened(&mut self.stream, context);
            if flow != ConnectionFlow::Continue {
                return Ok(flow);
            }
        }
        if self.stream.unsent_bytes() == 0 {
            return Ok(ConnectionFlow::Continue);
        }
        if !self.connection.may_write_remaining(context) {
            self.set_close_cause(CloseCause::OutputExpired);
            return Ok(ConnectionFlow::Close);
        }
        if self.stream.flush()? {
            return Ok(self.connection.flushed(&mut self.stream, context));
        }
        Ok(ConnectionFlow::Continue)
    }

    /// Applies the result of a callback. Returns true if the connection is to be closed now.
    ///
    /// If a stream with unread input is closed, the system discards what the peer has not read yet. A
    /// finishing connection therefore shuts down only its sending half, and waits for the peer to close or
    /// for its own deadline.
    pub(super) fn apply_flow(&mut self, flow: ConnectionFlow) -> bool {
        if flow == ConnectionFlow::Finish {
            self.finishing = true;
        }
        if self.finishing && self.stream.unsent_bytes() == 0 && !self.write_shut_down {
            self.write_shut_down = true;
            self.stream.shutdown_write();
        }
        flow == ConnectionFlow::Close || self.write_shut_down && self.stream.input_ended
    }

    /// Registers the stream for the events that it needs. A failed registration is retried after a delay.
    pub(super) fn register(&mut self, registry: &Registry, context: &mut Context<S>) {
        self.registration_retry_at = match self.stream.register(registry) {
            Ok(()) => None,
            Err(error) => {
                context.shared.registration_failed();
                debug!(
                    connection = self.stream.id().0,
                    cause = error.to_string(),
                    "event registration failed"
                );
                Some(context.now + REGISTRATION_RETRY_DELAY)
            }
        };
    }

    /// Notifies the connection that it is closed.
    pub(super) fn notify_closed(&mut self, context: &mut Context<S>) {
        let closed = catch_unwind(AssertUnwindSafe(|| {
            let cause = self.close_cause();
            self.connection.closed(&self.stream, cause, context);
        }));
        if closed.is_err() {
            context.shared.panic_caught();
        }
    }
}
