//! The life cycle of a client connection and the handling of its open requests, shared by both protocols.

use super::session::ClientSession;
use crate::model::{Span, StreamId, Time};
use crate::net::{BufferedStream, CloseCause, Connection, ConnectionFlow};
use crate::runtime::{Context, RuntimeState};
use crate::scheduler::{Outcome, Response};

/// The response to requests that fail because their connection fails.
const FAILED_RESPONSE: Response = Response {
    outcome: Outcome::Failed,
    expired: false,
};

/// A protocol that clients speak, with its state on one connection.
pub(crate) trait Protocol: Sized + 'static {
    /// The state that is kept for a request until its response is sent.
    type OpenRequest: 'static;
    /// The reason why a connection cannot continue.
    type Error;
    /// The error for a message that was not completed in time.
    const MESSAGE_TIMED_OUT: Self::Error;

    /// Called when the connection has been accepted.
    fn opened(&mut self, _socket: &BufferedStream) {}

    /// Handles new input.
    ///
    /// After [`ConnectionFlow::Finish`], the client has a limited time to read the remaining output.
    ///
    /// # Errors
    ///
    /// Returns an error if no further input can be read.
    fn received(
        &mut self,
        session: &mut ClientSession<Self::OpenRequest>,
        socket: &mut BufferedStream,
        context: &mut Context,
    ) -> Result<ConnectionFlow, Self::Error>;

    /// Rejects the incomplete message at the end of the input, for which there is no memory, and discards it,
    /// including what comes later.
    ///
    /// # Errors
    ///
    /// Returns an error if no further input can be read.
    fn reject_incomplete_message(
        &mut self,
        session: &mut ClientSession<Self::OpenRequest>,
        socket: &mut BufferedStream,
        context: &mut Context,
    ) -> Result<(), Self::Error>;

    /// Called when all output has been written.
    fn flushed(
        &mut self,
        _session: &mut ClientSession<Self::OpenRequest>,
        _socket: &mut BufferedStream,
        _context: &mut Context,
    ) {
    }

    /// Returns how long a connection without open requests may be idle.
    fn idle_timeout(&self) -> Span;

    /// Reports an error after which the connection cannot continue.
    fn report_error(&mut self, error: Self::Error, socket: &mut BufferedStream, context: &mut Context);

    /// Sends the response to a request.
    fn respond(
        &mut self,
        stream: StreamId,
        open_request: Self::OpenRequest,
        response: &Response,
        socket: &mut BufferedStream,
    );

    /// Notifies the client that the connection has failed, after all its requests have been answered.
    fn notify_failed(&mut self, _socket: &mut BufferedStream) {}

    /// Notifies the client that the server is draining, so that it sends no new requests on this connection.
    ///
    /// Does nothing if the protocol has no message for this.
    fn notify_draining(&mut self, _socket: &mut BufferedStream) {}
}

/// A client connection that speaks the protocol `P`.
pub(crate) struct ClientConnection<P: Protocol> {
    protocol: P,
    session: ClientSession<P::OpenRequest>,
}

impl<P: Protocol> ClientConnection<P> {
    /// Creates the state of a connection that was accepted at `now`.
    pub(super) fn with_protocol(protocol: P, now: Time) -> ClientConnection<P> {
        ClientConnection {
            protocol,
            session: ClientSession::new(now),
        }
    }

    /// Reports an error to the client and fails its open requests; the connection closes once the output has
    /// been written.
    fn fail(
        &mut self,
        error: P::Error,
        socket: &mut BufferedStream,
        context: &mut Context,
    ) -> ConnectionFlow {
        self.protocol.report_error(error, socket, context);
        self.fail_open_requests(socket, context)
    }
}

impl<P: Protocol> Connection<RuntimeState> for ClientConnection<P> {
    fn opened(&mut self, socket: &mut BufferedStream, context: &mut Context) -> ConnectionFlow {
        context.shared.scheduler.counters().client_connections_accepted += 1;
        self.protocol.opened(socket);
        ConnectionFlow::Continue
    }

    fn received(&mut self, socket: &mut BufferedStream, context: &mut Context) -> ConnectionFlow {
        match self.protocol.received(&mut self.session, socket, context) {
            Ok(flow) => {
                if flow == ConnectionFlow::Finish {
                    self.session.timers.begin_close(context.now);
                }
                flow
            }
            Err(error) => self.fail(error, socket, context),
        }
    }

    fn reject_incomplete_message(
        &mut self,
        socket: &mut BufferedStream,
        context: &mut Context,
    ) -> ConnectionFlow {
        context.shared.scheduler.counters().client_messages_rejected += 1;
        let result = self
            .protocol
            .reject_incomplete_message(&mut self.session, socket, context);
        match result {
            Ok(()) => ConnectionFlow::Continue,
            Err(error) => self.fail(error, socket, context),
        }
    }

    fn flushed(&mut self, socket: &mut BufferedStream, context: &mut Context) -> ConnectionFlow {
        self.protocol.flushed(&mut self.session, socket, context);
        ConnectionFlow::Continue
    }

    fn timer_expired(&mut self, socket: &mut BufferedStream, context: &mut Context) -> ConnectionFlow {
        if self.session.timers.message_timed_out(context.now) {
            return self.fail(P::MESSAGE_TIMED_OUT, socket, context);
        }
        if self.session.timed_out(context.now, self.protocol.idle_timeout()) {
            return ConnectionFlow::Close;
        }
        ConnectionFlow::Continue
    }

    fn deadline(&self) -> Option<Time> {
        self.session.next_timer(self.protocol.idle_timeout())
    }

    fn closed(&mut self, socket: &BufferedStream, cause: CloseCause, context: &mut Context) {
        self.session.close(cause, socket, context);
        context.shared.scheduler.client_closed(socket.id());
    }

    fn idle_since(&self) -> Option<Time> {
        self.session.idle_since()
    }

    fn is_client(&self) -> bool {
        true
    }

    fn fail_open_requests(&mut self, socket: &mut BufferedStream, context: &mut Context) -> ConnectionFlow {
        for (stream, open_request) in self.session.fail_all(socket, context) {
            self.protocol
                .respond(stream, open_request, &FAILED_RESPONSE, socket);
        }
        self.protocol.notify_failed(socket);
        self.session.timers.begin_close(context.now);
        ConnectionFlow::Finish
    }
}

/// A client connection of either protocol.
pub(super) trait Client {
    /// Sends the response to the request on a stream, unless the client has cancelled the request.
    fn deliver(
        &mut self,
        stream: StreamId,
        response: &Response,
        socket: &mut BufferedStream,
        context: &mut Context,
    );

    /// Notifies the client that the server is draining; see [`Protocol::notify_draining`].
    fn notify_draining(&mut self, socket: &mut BufferedStream);
}

impl<P: Protocol> Client for ClientConnection<P> {
    fn deliver(
        &mut self,
        stream: StreamId,
        response: &Response,
        socket: &mut BufferedStream,
        context: &mut Context,
    ) {
        if let Some(open_request) = self.session.complete(stream, context.now) {
            self.protocol.respond(stream, open_request, response, socket);
        }
    }

    fn notify_draining(&mut self, socket: &mut BufferedStream) {
        self.protocol.notify_draining(socket);
    }
}
