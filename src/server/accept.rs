//! Accepts clients, within the limits on connections.

use super::jsonrpc_listener::{JsonRpcListener, JsonRpcUpdate};
use super::limits::ClientLimits;
use crate::config::JsonRpcConfig;
use crate::frontend::{FrameConnection, JsonRpcConnection};
use crate::model::{ConnectionId, Span, Time};
use crate::net::{ListenerId, Stream};
use crate::runtime::Reactor;
use std::collections::BTreeSet;
use std::io;
use tracing::warn;

/// Delay before clients are accepted again after the system could not accept one.
const RETRY_DELAY: Span = Span::from_millis(50);
/// Failures in a row after which a turn of accepting ends.
const MAX_CONSECUTIVE_FAILURES: u32 = 8;

/// Accepts clients from the listeners.
#[derive(Debug)]
pub(super) struct Acceptor {
    limits: ClientLimits,
    jsonrpc: Option<JsonRpcListener>,
    /// Clients of the JSON-RPC frontend, also such as have closed since the last one was accepted.
    jsonrpc_clients: BTreeSet<ConnectionId>,
    /// Since when clients may have waited, because the system or the limits let none be accepted.
    blocked_since: Option<Time>,
    /// When to accept again from all listeners: the system reports a waiting client only once.
    retry_at: Option<Time>,
}

impl Acceptor {
    /// Accepts clients within these limits.
    pub(super) fn new(limits: ClientLimits, jsonrpc: Option<JsonRpcListener>) -> Acceptor {
        Acceptor {
            limits,
            jsonrpc,
            jsonrpc_clients: BTreeSet::new(),
            blocked_since: None,
            retry_at: None,
        }
    }

    /// When [`Acceptor::retry`] has something to do.
    pub(super) fn next_timer(&self) -> Option<Time> {
        self.retry_at
    }

    /// Sets new limits for the clients that are still to come.
    pub(super) fn set_limits(&mut self, limits: ClientLimits) {
        self.limits = limits;
    }

    /// Acquires what a new configuration of the JSON-RPC frontend needs, and leaves the present one in place.
    ///
    /// # Errors
    ///
    /// Those of [`JsonRpcUpdate::prepare`].
    pub(super) fn prepare_jsonrpc(
        &self,
        config: Option<&JsonRpcConfig>,
        reactor: &mut Reactor,
    ) -> io::Result<JsonRpcUpdate> {
        JsonRpcUpdate::prepare(self.jsonrpc.as_ref(), config, reactor)
    }

    /// Applies what [`Acceptor::prepare_jsonrpc`] has acquired.
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

    /// Accepts all clients that wait at a listener. A client that has been accepted may have sent a request, so that
    /// it is not dropped for want of descriptors: it is only accepted while there is one to reject it with.
    pub(super) fn accept(&mut self, listener: ListenerId, reactor: &mut Reactor) {
        let mut failures = 0;
        loop {
            if !self.may_accept(reactor) {
                return self.schedule_retry("no descriptors left", reactor);
            }
            match reactor.accept(listener) {
                Ok(None) => {
                    self.blocked_since = None;
                    return;
                }
                Ok(Some(stream)) => {
                    failures = 0;
                    self.add_client(listener, stream, reactor);
                }
                // What fails now and then, or concerns one client alone, must not cost each client that waits a pause;
                // nor may it keep the event loop here.
                Err(_) if failures < MAX_CONSECUTIVE_FAILURES => failures += 1,
                Err(error) => {
                    return self.schedule_retry(&error.to_string(), reactor);
                }
            }
        }
    }

    /// Whether a further client can be accepted at all, be it to be rejected.
    fn may_accept(&self, reactor: &mut Reactor) -> bool {
        reactor.connection_count() < self.limits.shedding || reactor.close_longest_idle()
    }

    /// Whether a client that has just been accepted can be served: it is one of the guaranteed, or there is a
    /// descriptor for it, if need be that of an idle connection.
    fn may_serve(&self, reactor: &mut Reactor) -> bool {
        reactor.client_count() < self.limits.guaranteed
            || reactor.connection_count() < self.limits.connections
            || reactor.close_longest_idle()
    }

    fn schedule_retry(&mut self, cause: &str, reactor: &mut Reactor) {
        let now = reactor.now();
        if reactor.shared.scheduler.admits_log_line(now) {
            warn!(cause, "accept failed");
        }
        self.blocked_since.get_or_insert(now);
        self.retry_at = Some(now + RETRY_DELAY);
    }

    fn add_client(&mut self, listener: ListenerId, stream: Stream, reactor: &mut Reactor) {
        let is_jsonrpc = |jsonrpc: &JsonRpcListener| jsonrpc.id() == listener;
        if self.jsonrpc.as_ref().is_some_and(is_jsonrpc) {
            self.add_jsonrpc_client(stream, reactor);
        } else {
            self.add_frame_client(stream, reactor);
        }
    }

    fn add_frame_client(&self, stream: Stream, reactor: &mut Reactor) {
        let connection = if self.may_serve(reactor) {
            FrameConnection::new(reactor.now())
        } else {
            reactor.shared.scheduler.counters().clients_shed += 1;
            FrameConnection::shedding(reactor.now())
        };
        let limits = FrameConnection::buffer_limits();
        let client = reactor.add_connected(stream, Box::new(connection), limits);
        self.read_waiting_input(client, reactor);
    }

    /// Reads at once what a client has sent while it waited to be accepted: its requests have less time left.
    fn read_waiting_input(&self, client: Option<ConnectionId>, reactor: &mut Reactor) {
        if let (Some(client), Some(since)) = (client, self.blocked_since) {
            reactor.read_waiting_input(client, since);
        }
    }

    fn add_jsonrpc_client(&mut self, stream: Stream, reactor: &mut Reactor) {
        let Some(jsonrpc) = &self.jsonrpc else {
            return;
        };
        let max_line = jsonrpc.config().max_line_bytes;
        let max_clients = jsonrpc.config().max_clients;
        let now = reactor.now();
        if !self.ensure_jsonrpc_capacity(max_clients, reactor) {
            if reactor.shared.scheduler.admits_log_line(now) {
                warn!(cause = "max_clients", "client dropped");
            }
            return;
        }
        let connection = Box::new(JsonRpcConnection::new(now, max_line));
        let limits = JsonRpcConnection::buffer_limits(max_line);
        let client = reactor.add_connected(stream, connection, limits);
        self.read_waiting_input(client, reactor);
        self.jsonrpc_clients.extend(client);
    }

    /// Closes the JSON-RPC client that has been idle for longest if there are as many as allowed; false if
    /// none is idle.
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
