//! A connection as the reactor keeps it: its stream, the object that is called back, and how far its end has
//! come.

use crate::model::{Span, Time};
use crate::net::{BufferedStream, CloseCause, Connection, ConnectionFlow, Context, SharedState};
use mio::Registry;
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use tracing::{debug, error};

/// Bytes read from one connection in one turn. A peer that sends at full speed must not keep the others
/// waiting.
const MAX_READ_BYTES_PER_EVENT: usize = 256 << 10;
/// Bytes that are still read, and discarded, from a connection that is closing. A peer that goes on beyond
/// them is cut off, so that it doesn't keep the processor busy.
const MAX_DISCARDED_INPUT_BYTES: usize = 1 << 20;
/// Pause before the system is asked once more to report a connection's events, after it has refused.
const REGISTRATION_RETRY_DELAY: Span = Span::from_millis(20);

/// A connection of the reactor.
pub(super) struct ManagedConnection<S> {
    pub(super) stream: BufferedStream,
    pub(super) connection: Box<dyn Connection<S>>,
    /// Since when the input that is being read may have waited, if that is longer than the last poll says.
    pub(super) earliest_input_at: Option<Time>,
    /// A client is at the other end.
    pub(super) is_client: bool,
    /// The time that the connection's timer is set to.
    pub(super) timer: Option<Time>,
    /// The connection closes once its output has been written.
    finishing: bool,
    /// The sending half of the stream is shut down.
    write_shut_down: bool,
    /// Bytes read and discarded since the connection is closing.
    discarded: usize,
    /// Why the connection is to be closed, where neither its peer nor itself has ended it.
    close_cause: Option<CloseCause>,
    /// When the system is to be asked once more to report the stream's events, after it has refused.
    registration_retry_at: Option<Time>,
}

impl<S: SharedState + 'static> ManagedConnection<S> {
    pub(super) fn new(stream: BufferedStream, connection: Box<dyn Connection<S>>) -> ManagedConnection<S> {
        ManagedConnection {
            earliest_input_at: None,
            is_client: connection.is_client(),
            stream,
            connection,
            timer: None,
            finishing: false,
            write_shut_down: false,
            discarded: 0,
            close_cause: None,
            registration_retry_at: None,
        }
    }

    /// When the reactor has to come back to this connection although nothing happens on it.
    pub(super) fn deadline(&self) -> Option<Time> {
        self.connection
            .deadline()
            .into_iter()
            .chain(self.registration_retry_at)
            .min()
    }

    /// Since when the connection has done nothing that closing it would undo.
    pub(super) fn idle_since(&self) -> Option<Time> {
        if self.write_shut_down {
            // All that it had to say is written; it only waits for the peer to close.
            return Some(Time(0));
        }
        self.connection.idle_since()
    }

    /// Notes why the connection is closed; the first cause counts.
    pub(super) fn set_close_cause(&mut self, cause: CloseCause) {
        self.close_cause.get_or_insert(cause);
    }

    /// Why the connection is closed.
    pub(super) fn close_cause(&self) -> CloseCause {
        self.close_cause.unwrap_or(if self.stream.input_ended {
            CloseCause::PeerClosed
        } else {
            CloseCause::Done
        })
    }

    /// Runs a callback and writes the output that it adds. A panic ends this connection alone, and not without the
    /// responses that its client is owed.
    pub(super) fn call(
        &mut self,
        context: &mut Context<S>,
        callback: impl FnOnce(&mut ManagedConnection<S>, &mut Context<S>) -> ConnectionFlow,
    ) -> ConnectionFlow {
        let flow = catch_unwind(AssertUnwindSafe(|| {
            let flow = callback(self, context);
            self.flush_output(flow, context)
        }));
        flow.unwrap_or_else(|_| {
            context.shared.panic_caught();
            error!(connection = self.stream.id().0, "connection closed after a panic");
            self.end_after_panic(context)
        })
    }

    /// Ends the connection after a panic, with what it still has to say to its client.
    fn end_after_panic(&mut self, context: &mut Context<S>) -> ConnectionFlow {
        let flow = catch_unwind(AssertUnwindSafe(|| {
            let flow = self.connection.fail_open_requests(&mut self.stream, context);
            self.flush_output(flow, context)
        }));
        flow.unwrap_or(ConnectionFlow::Close)
    }

    /// Writes the output at once; a connection may add more whenever all of it has been written.
    fn flush_output(&mut self, mut flow: ConnectionFlow, context: &mut Context<S>) -> ConnectionFlow {
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

    /// Acts on what the system has reported of the stream.
    pub(super) fn handle_event(&mut self, readable: bool, context: &mut Context<S>) -> ConnectionFlow {
        self.try_handle_event(readable, context).unwrap_or_else(|error| {
            self.set_close_cause(CloseCause::Failed(error.kind()));
            ConnectionFlow::Close
        })
    }

    /// Acts on a timer: first on what has come meanwhile, which the last poll may have missed, and then on the time.
    ///
    /// Whoever ends a connection for the time that has passed must not overlook a request, a response or the
    /// completed connect that waits there.
    pub(super) fn handle_timer(&mut self, context: &mut Context<S>) -> ConnectionFlow {
        let flow = self.handle_event(true, context);
        if flow != ConnectionFlow::Continue {
            return flow;
        }
        self.connection.timer_expired(&mut self.stream, context)
    }

    fn try_handle_event(&mut self, readable: bool, context: &mut Context<S>) -> io::Result<ConnectionFlow> {
        if !self.stream.is_connected() {
            if !self.stream.check_connected()? {
                return Ok(ConnectionFlow::Continue);
            }
            let flow = self.connection.opened(&mut self.stream, context);
            if flow != ConnectionFlow::Continue {
                return Ok(flow);
            }
        }
        let mut flow = ConnectionFlow::Continue;
        if self.stream.unsent_bytes() > 0 {
            if !self.connection.may_write_remaining(context) {
                self.set_close_cause(CloseCause::OutputExpired);
                return Ok(ConnectionFlow::Close);
            }
            if self.stream.flush()? {
                flow = self.connection.flushed(&mut self.stream, context);
            }
        }
        if !readable {
            return Ok(flow);
        }
        self.read_input(flow, context)
    }

    /// Reads until the socket is empty, as edge-triggered events ask for, in turns with the connection's own
    /// work and with other connections.
    fn read_input(
        &mut self,
        mut flow: ConnectionFlow,
        context: &mut Context<S>,
    ) -> io::Result<ConnectionFlow> {
        let mut read_bytes = 0;
        loop {
            let buffered = self.stream.input.len();
            let socket_is_empty = self.stream.fill()?;
            let added = self.stream.input.len() - buffered;
            read_bytes += added;
            if self.finishing {
                self.discard_input();
                if self.discarded > MAX_DISCARDED_INPUT_BYTES {
                    return Ok(ConnectionFlow::Close);
                }
            } else if added > 0 || self.stream.input_ended {
                flow = flow.and(self.connection.received(&mut self.stream, context));
            }
            if socket_is_empty || flow != ConnectionFlow::Continue || self.stream.reading_paused() {
                return Ok(flow);
            }
            if read_bytes > MAX_READ_BYTES_PER_EVENT {
                self.stream.leave_input_in_socket();
                return Ok(flow);
            }
        }
    }

    fn discard_input(&mut self) {
        self.discarded += self.stream.input.len();
        self.stream.input.clear();
    }

    /// Applies what a callback wants of the connection; true if it is to be closed now.
    ///
    /// If a stream is closed while it has unread input, the system drops what the peer has not read yet. So a
    /// connection that finishes shuts its sending half down only, and waits for the peer's end or its own
    /// deadline.
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

    /// Registers for the events that the stream waits for. If the system refuses, it is asked again after a pause.
    pub(super) fn register(&mut self, registry: &Registry, context: &mut Context<S>) {
        self.registration_retry_at = match self.stream.register(registry) {
            Ok(()) => None,
            Err(error) => {
                context.shared.registration_failed();
                debug!(
                    connection = self.stream.id().0,
                    cause = error.to_string(),
                    "registration failed"
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
