//! The open requests and the timers of a client connection, shared by both protocols.

use super::connection_timers::ConnectionTimers;
use super::limits::MAX_OPEN_REQUESTS;
use crate::model::{Span, StreamId, Time};
use crate::net::{BufferedStream, CloseCause};
use crate::runtime::Context;
use crate::scheduler::{ClientRequest, RequestOrigin, Violation};
use std::collections::BTreeMap;

/// The open requests and the timers of a client connection.
///
/// `R` is the state that the protocol keeps for a request until its response is sent.
pub(crate) struct ClientSession<R> {
    /// The open requests by the stream ids under which they were submitted to the scheduler.
    open_requests: BTreeMap<StreamId, R>,
    pub(super) timers: ConnectionTimers,
}

impl<R> ClientSession<R> {
    /// Creates the session of a connection that was accepted at `now`.
    pub(super) fn new(now: Time) -> ClientSession<R> {
        ClientSession {
            open_requests: BTreeMap::new(),
            timers: ConnectionTimers::new(now),
        }
    }

    /// Returns whether another request may be opened.
    pub(super) fn has_capacity(&self) -> bool {
        self.open_requests.len() < MAX_OPEN_REQUESTS
    }

    /// Returns the stream of the first open request whose state matches the predicate.
    pub(super) fn find(&self, matches: impl Fn(&R) -> bool) -> Option<StreamId> {
        let mut open_requests = self.open_requests.iter();
        let (stream, _) = open_requests.find(|(_, open_request)| matches(open_request))?;
        Some(*stream)
    }

    /// Submits a request to the scheduler and adds it to the open requests.
    pub(super) fn submit(&mut self, request: ClientRequest, open_request: R, context: &mut Context) {
        self.open_requests.insert(request.origin.stream, open_request);
        context.shared.scheduler.submit(context.now, request);
    }

    /// Cancels a request on behalf of the client and returns its state, if it is open.
    pub(super) fn cancel(
        &mut self,
        stream: StreamId,
        socket: &BufferedStream,
        context: &mut Context,
    ) -> Option<R> {
        let open_request = self.open_requests.remove(&stream)?;
        cancel_requests([stream], socket, context);
        Some(open_request)
    }

    /// Removes a request that is answered and returns its state, or `None` if the client has cancelled it.
    pub(super) fn complete(&mut self, stream: StreamId, now: Time) -> Option<R> {
        let open_request = self.open_requests.remove(&stream)?;
        self.timers.record_activity(now);
        Some(open_request)
    }

    /// Cancels and returns all open requests because the connection cannot continue.
    ///
    /// The caller must answer each of them as failed.
    pub(super) fn fail_all(
        &mut self,
        socket: &BufferedStream,
        context: &mut Context,
    ) -> BTreeMap<StreamId, R> {
        let failed = std::mem::take(&mut self.open_requests);
        let counters = context.shared.scheduler.counters();
        counters.requests_failed_with_connection += failed.len() as u64;
        cancel_requests(failed.keys().copied(), socket, context);
        failed
    }

    /// Cancels all open requests because the connection is closed.
    ///
    /// Unless the client closed the connection or the network failed, every request must have been answered
    /// before; an open request is then recorded as a violation.
    pub(super) fn close(&mut self, cause: CloseCause, socket: &BufferedStream, context: &mut Context) {
        let unanswered = std::mem::take(&mut self.open_requests);
        if !cause.is_remote() {
            for stream in unanswered.keys() {
                let violation = Violation::ClosedWithOpenRequest(origin(socket, *stream));
                context.shared.scheduler.record_violation(context.now, violation);
            }
        }
        cancel_requests(unanswered.into_keys(), socket, context);
    }

    /// Returns the time of the last activity, or `None` while requests are open or the connection is closing.
    pub(super) fn idle_since(&self) -> Option<Time> {
        if self.open_requests.is_empty() {
            self.timers.idle_since()
        } else {
            None
        }
    }

    /// Returns when the first timer expires.
    pub(super) fn next_timer(&self, idle_timeout: Span) -> Option<Time> {
        self.timers.next(self.effective_idle_timeout(idle_timeout))
    }

    /// Returns whether the connection has been idle or closing for too long.
    pub(super) fn timed_out(&self, now: Time, idle_timeout: Span) -> bool {
        self.timers
            .connection_timed_out(now, self.effective_idle_timeout(idle_timeout))
    }

    /// Returns the idle timeout, or `None` while requests are open.
    fn effective_idle_timeout(&self, idle_timeout: Span) -> Option<Span> {
        self.open_requests.is_empty().then_some(idle_timeout)
    }
}

/// Returns the origin of a request on this connection.
pub(super) fn origin(socket: &BufferedStream, stream: StreamId) -> RequestOrigin {
    RequestOrigin {
        connection: socket.id(),
        stream,
    }
}

/// Cancels requests in the scheduler, as its responses to them are no longer needed.
fn cancel_requests(
    streams: impl IntoIterator<Item = StreamId>,
    socket: &BufferedStream,
    context: &mut Context,
) {
    for stream in streams {
        let origin = origin(socket, stream);
        context.shared.scheduler.cancel(context.now, origin);
    }
}
