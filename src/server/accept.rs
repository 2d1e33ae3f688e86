//! Accepts clients within the connection limits.

use super::accept_wait::AcceptWait;
use super::jsonrpc_listener::{JsonRpcListener, JsonRpcUpdate};
use super::limits::ClientLimits;
use crate::config::JsonRpcConfig;
use crate::frontend::{FrameConnection, JsonRpcConnection};
use crate::model::{ConnectionId, Span, Time};
use crate::net::{ListenerId, Stream};
use crate::runtime::Reactor;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use tracing::warn;

/// Delay before accepting again after an accept failed or no descriptor was free.
const RETRY_DELAY: Span = Span::from_millis(50);
/// Number of consecutive failures after which accepting is suspended for [`RETRY_DELAY`].
const MAX_CONSECUTIVE_FAILURES: u32 = 8;

/// Maximum number of clients accepted from a listener in one turn of the event loop.
const MAX_ACCEPTED_PER_TURN: u32 = 32;

/// Accepts clients from all listeners.
#[derive(Debug)]
pub(super) struct Acceptor {
    limits: ClientLimits,
    jsonrpc: Option<JsonRpcListener>,
    /// Connections of the JSON-RPC frontend. Closed ones are removed when its next client is accepted.
    jsonrpc_clients: BTreeSet<ConnectionId>,
    /// Since when clients may have been waiting at each listener.
    waits: BTreeMap<ListenerId, AcceptWait>,
    /// Time at which to accept again from all listeners. The listeners are edge-triggered: a waiting client
    /// is reported only once.
    retry_at: Option<Time>,
}

impl Acceptor {
    /// Creates an acceptor with the given limits.
    pub(super) fn new(limits: ClientLimits, jsonrpc: Option<JsonRpcListener>) -> Acceptor {
        Acceptor {
            limits,
            jsonrpc,
            jsonrpc_clients: BTreeSet::new(),
            waits: BTreeMap::new(),
            retry_at: None,
        }
    }

    /// Returns the time at which [`Acceptor::retry`] is due.
    pub(super) fn next_timer(&self) -> Option<Time> {
        self.retry_at
    }

    /// Replaces the limits. Connected clients are not affected.
    pub(super) fn set_limits(&mut self, limits: ClientLimits) {
        self.limits = limits;
    }

    /// Acquires what a new configuration of the JSON-RPC frontend needs, without replacing the current
    /// listener.
    ///
    /// # Errors
    ///
    /// Returns the error of [`JsonRpcUpdate::prepare`].
    pub(super) fn prepare_jsonrpc(
        &self,
        config: Option<&JsonRpcConfig>,
        reactor: &mut Reactor,
    ) -> io::Result<JsonRpcUpdate> {
        JsonRpcUpdate::prepare(self.jsonrpc.as_ref(), config, reactor)
    }

    /// Applies an update made by [`Acceptor::prepare_jsonrpc`].
    pub(super) fn apply_jsonrpc(&mut self, update: JsonRpcUpdate, reactor: &mut Reactor) {
        update.apply(&mut self.jsonrpc, reactor);
    }

    /// Accepts from all listeners once the delay after a failure has passed.
    pub(super) fn retry(&mut self, now: Time, reactor: &mut Reactor) {
        if self.retry_at.take_if(|at| *at <= now).is_none() {
            return;
        }
        for listener in reactor.listener_ids() {
            self.accept(listener, reactor);
        }
    }

    /// Accepts the clients that are waiting at a listener, up to [`MAX_ACCEPTED_PER_TURN`]. More are accepted in
    /// the next turn.
    ///
    /// An accepted client may already have sent a request, so it must not be dropped for lack of
    /// descriptors: it is accepted only while a descriptor is free for its connection, even if only to
    /// reject its requests.
    pub(super) fn accept(&mut self, listener: ListenerId, reactor: &mut Reactor) {
        let mut failures = 0;
        let mut accepted = 0;
        while accepted < MAX_ACCEPTED_PER_TURN {
            if !self.may_accept(reactor) {
                return self.schedule_retry(listener, "no descriptors left", reactor);
            }
            match reactor.accept(listener) {
                Ok(None) => {
                    return self.wait(listener).record_empty();
                }
                Ok(Some(stream)) => {
                    failures = 0;
                    accepted += 1;
                    self.add_client(listener, stream, reactor);
                }
                // A failure that is sporadic or concerns a single client must not delay the other waiting
                // clients by RETRY_DELAY. The limit keeps persistent failures from blocking the event loop.
                Err(_) if failures < MAX_CONSECUTIVE_FAILURES => failures += 1,
                Err(error) => {
                    return self.schedule_retry(listener, &error.to_string(), reactor);
                }
            }
        }
        let now = reactor.now();
        self.wait(listener).record_interruption(now);
        self.retry_at = Some(now);
    }

    fn wait(&mut self, listener: ListenerId) -> &mut AcceptWait {
        self.waits.entry(listener).or_default()
    }

    /// Returns whether one more client can be accepted, even if only to reject its requests. Closes an idle
    /// connection if that is necessary.
    fn may_accept(&self, reactor: &mut Reactor) -> bool {
        reactor.connection_count() < self.limits.shedding || reactor.close_longest_idle()
    }

    /// Returns whether a newly accepted client can be served: it is within the guaranteed number, or a
    /// descriptor is free for it, if necessary after closing an idle connection.
    fn may_serve(&self, reactor: &mut Reactor) -> bool {
        reactor.client_count() < self.limits.guaranteed
            || reactor.connection_count() < self.limits.connections
            || reactor.close_longest_idle()
    }

    fn schedule_retry(&mut self, listener: ListenerId, cause: &str, reactor: &mut Reactor) {
        let now = reactor.now();
        if reactor.shared.scheduler.admits_log_line(now) {
            warn!(cause, "accept failed");
        }
        self.wait(listener).record_interruption(now);
        self.retry_at = Some(now + RETRY_DELAY);
    }

    fn add_client(&mut self, listener: ListenerId, stream: Stream, reactor: &mut Reactor) {
        let waited_since = self.wait(listener).record_accepted();
        let is_jsonrpc = |jsonrpc: &JsonRpcListener| jsonrpc.id() == listener;
        let client = if self.jsonrpc.as_ref().is_some_and(is_jsonrpc) {
            self.add_jsonrpc_client(stream, reactor)
        } else {
            self.add_frame_client(stream, reactor)
        };
        // Less time is left for what a client has sent while it waited.
        if let (Some(client), Some(since)) = (client, waited_since) {
            reactor.queue_pending_input(client, since);
        }
    }

    fn add_frame_client(&self, stream: Stream, reactor: &mut Reactor) -> Option<ConnectionId> {
        let connection = if self.may_serve(reactor) {
            FrameConnection::new(reactor.now())
        } else {
            reactor.shared.scheduler.counters().clients_shed += 1;
            FrameConnection::shedding(reactor.now())
        };
        let limits = FrameConnection::buffer_limits();
        reactor.add_connected(stream, Box::new(connection), limits)
    }

    fn add_jsonrpc_client(&mut self, stream: Stream, reactor: &mut Reactor) -> Option<ConnectionId> {
        let jsonrpc = self.jsonrpc.as_ref()?;
        let max_line = jsonrpc.config().max_line_bytes;
        let max_clients = jsonrpc.config().max_clients;
        let now = reactor.now();
        if !self.ensure_jsonrpc_capacity(max_clients, reactor) {
            if reactor.shared.scheduler.admits_log_line(now) {
                warn!(cause = "max_clients", "client dropped");
            }
            return None;
        }
        let connection = Box::new(JsonRpcConnection::new(now, max_line));
        let limits = JsonRpcConnection::buffer_limits(max_line);
        let client = reactor.add_connected(stream, connection, limits);
        self.jsonrpc_clients.extend(client);
        client
    }

    /// Makes room for one more JSON-RPC client, if necessary by closing the client that has been idle for
    /// longest. Returns false if all are busy.
    fn ensure_jsonrpc_capacity(&mut self, max_clients: usize, reactor: &mut Reactor) -> bool {
        self.jsonrpc_clients
            .retain(|client| reactor.has_connection(*client));
        if self.jsonrpc_clients.len() >= max_clients
            && let Some(idle) = self.longest_idle_jsonrpc_client(reactor)
            && reactor.close_if_idle(idle)
        {
            self.jsonrpc_clients.remove(&idle);
        }
        self.jsonrpc_clients.len() < max_clients
    }

    fn longest_idle_jsonrpc_client(&self, reactor: &Reactor) -> Option<ConnectionId> {
        let idle = |client: &ConnectionId| reactor.idle_since(*client).map(|since| (since, *client));
        self.jsonrpc_clients
            .iter()
            .filter_map(idle)
            .min()
            .map(|(_, client)| client)
    }
}
