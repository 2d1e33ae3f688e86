//! A client's connection: how it begins and ends, and what becomes of its open requests, alike for both protocols.

use super::session::ClientSession;
use crate::model::{Span, StreamId, Time};
use crate::net::{BufferedStream, CloseCause, Connection, ConnectionFlow};
use crate::runtime::{Context, RuntimeState};
use crate::scheduler::{Outcome, Response};

/// The response to requests that fail with their connection.
const FAILED_RESPONSE: Response = Response {
    outcome: Outcome::Failed,
    expired: false,
};

/// What a client speaks on its connection.
pub(crate) trait Protocol: Sized + 'static {
    /// What is kept of a request until its response.
    type OpenRequest: 'static;
    /// Why a connection can't go on.
    type Error;
    /// The error of a message that has not been completed in time.
    const MESSAGE_TIMED_OUT: Self::Error;

    /// The connection is accepted.
    fn opened(&mut self, _socket: &BufferedStream) {}

    /// Handles new input. After [`ConnectionFlow::Finish`], the client has some time to read the rest.
    ///
    /// # Errors
    ///
    /// Those after which nothing more can be read.
    fn received(
        &mut self,
        session: &mut ClientSession<Self::OpenRequest>,
        socket: &mut BufferedStream,
        context: &mut Context,
    ) -> Result<ConnectionFlow, Self::Error>;

    /// All output has been written.
    fn flushed(
        &mut self,
        _session: &mut ClientSession<Self::OpenRequest>,
        _socket: &mut BufferedStream,
        _context: &mut Context,
    ) {
    }

    /// How long a connection without open requests may be idle.
    fn idle_timeout(&self) -> Span;

    /// Reports an error after which the connection can't go on.
    fn report_error(&mut self, error: Self::Error, socket: &mut BufferedStream, context: &mut Context);

    /// Sends the response to a request.
    fn respond(
        &mut self,
        stream: StreamId,
        open_request: Self::OpenRequest,
        response: &Response,
        socket: &mut BufferedStream,
    );

    /// Notifies the client that the connection has failed, after the responses to its requests.
    fn notify_failed(&mut self, _socket: &mut BufferedStream) {}

    /// Notifies the client that the server is draining, so that it sends no new request on this connection, where the
    /// protocol has a message for that.
    fn notify_draining(&mut self, _socket: &mut BufferedStream) {}
}

/// A client's connection that speaks `P`.
pub(crate) struct ClientConnection<P: Protocol> {
    protocol: P,
    session: ClientSession<P::OpenRequest>,
}

impl<P: Protocol> ClientConnection<P> {
    /// A connection that was accepted at `now`.
    pub(super) fn with_protocol(protocol: P, now: Time) -> ClientConnection<P> {
        ClientConnection {
            protocol,
            session: ClientSession::new(now),
        }
    }

    /// Reports an error to the client; the connection ends once that has been written.
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

/// A client's connection, whatever it speaks.
pub(super) trait Client {
    /// Sends the response to the request of this stream. A client that has cancelled its request is owed none.
    fn deliver(
        &mut self,
        stream: StreamId,
        response: &Response,
        socket: &mut BufferedStream,
        context: &mut Context,
    );

    /// See [`Protocol::notify_draining`].
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
