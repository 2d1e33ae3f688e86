//! The open requests of a client's connection and its timers, alike for both protocols.

use super::connection_timers::ConnectionTimers;
use super::limits::MAX_OPEN_REQUESTS;
use crate::model::{Span, StreamId, Time};
use crate::net::{BufferedStream, CloseCause};
use crate::runtime::Context;
use crate::scheduler::{ClientRequest, RequestOrigin, Violation};
use std::collections::BTreeMap;

/// The open requests of a client's connection and its timers.
///
/// `R` is what the protocol keeps of a request until its response.
pub(crate) struct ClientSession<R> {
    /// By the streams under which the scheduler knows them.
    open_requests: BTreeMap<StreamId, R>,
    pub(super) timers: ConnectionTimers,
}

impl<R> ClientSession<R> {
    /// The session of a connection that was accepted at `now`.
    pub(super) fn new(now: Time) -> ClientSession<R> {
        ClientSession {
            open_requests: BTreeMap::new(),
            timers: ConnectionTimers::new(now),
        }
    }

    /// Whether a further request may be open.
    pub(super) fn has_capacity(&self) -> bool {
        self.open_requests.len() < MAX_OPEN_REQUESTS
    }

    /// The stream of an open request for which the protocol keeps something that matches.
    pub(super) fn find(&self, matches: impl Fn(&R) -> bool) -> Option<StreamId> {
        let mut open_requests = self.open_requests.iter();
        let (stream, _) = open_requests.find(|(_, open_request)| matches(open_request))?;
        Some(*stream)
    }

    /// Passes a request to the scheduler; it is open from now on.
    pub(super) fn submit(&mut self, request: ClientRequest, open_request: R, context: &mut Context) {
        self.open_requests.insert(request.origin.stream, open_request);
        context.shared.scheduler.submit(context.now, request);
    }

    /// Cancels a request of the client, if it is open.
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

    /// Ends a request that has its response; none if the client has cancelled it.
    pub(super) fn complete(&mut self, stream: StreamId, now: Time) -> Option<R> {
        let open_request = self.open_requests.remove(&stream)?;
        self.timers.record_activity(now);
        Some(open_request)
    }

    /// Ends all requests because the connection can't go on. Each of them is owed a response, that it has failed.
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

    /// Ends all requests because the connection is closed. If it is not the client that has ended it, they should have
    /// had their responses before.
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

    /// Since when nothing has happened; none while requests are open or the connection is closing.
    pub(super) fn idle_since(&self) -> Option<Time> {
        if self.open_requests.is_empty() {
            self.timers.idle_since()
        } else {
            None
        }
    }

    /// When the first of the timers expires.
    pub(super) fn next_timer(&self, idle_timeout: Span) -> Option<Time> {
        self.timers.next(self.effective_idle_timeout(idle_timeout))
    }

    /// Whether the connection has been idle or closing for too long.
    pub(super) fn timed_out(&self, now: Time, idle_timeout: Span) -> bool {
        self.timers
            .connection_timed_out(now, self.effective_idle_timeout(idle_timeout))
    }

    /// The idle timeout, which does not count while requests are open.
    fn effective_idle_timeout(&self, idle_timeout: Span) -> Option<Span> {
        self.open_requests.is_empty().then_some(idle_timeout)
    }
}

/// Where a request of this connection comes from.
pub(super) fn origin(socket: &BufferedStream, stream: StreamId) -> RequestOrigin {
    RequestOrigin {
        connection: socket.id(),
        stream,
    }
}

/// Cancels requests of a connection whose client no longer waits for them.
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
