//! Scheduling of the handling of input: how long connections handle it in a turn of the event loop.
//!
//! A readable connection joins a [`FairQueue`], which decides whose turn it is. A turn of the event loop handles
//! input for a limited time, and the rest waits for the next one. Workers and discovery have a queue and a time of
//! their own, which come first: their input ends requests, and that of clients begins them.

use super::Reactor;
use super::fair_queue::FairQueue;
use super::managed_connection::ManagedConnection;
use super::polling::MAX_INPUT_AGE;
use crate::model::{ConnectionId, Span};
use crate::net::SharedState;

/// Time in a turn for the input of workers and discovery, and the same again for that of clients.
const INPUT_BUDGET: Span = Span::from_millis(3);

/// The queues of connections with input.
#[derive(Debug, Default)]
pub(super) struct InputQueues {
    clients: FairQueue,
    others: FairQueue,
}

/// The connections that one of the [`InputQueues`] holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PeerKind {
    Client,
    Other,
}

impl PeerKind {
    pub(super) fn of<S>(managed: &ManagedConnection<S>) -> PeerKind {
        if managed.is_client {
            PeerKind::Client
        } else {
            PeerKind::Other
        }
    }
}

impl InputQueues {
    pub(super) fn queue(&mut self, kind: PeerKind) -> &mut FairQueue {
        match kind {
            PeerKind::Client => &mut self.clients,
            PeerKind::Other => &mut self.others,
        }
    }

    /// Returns whether no connection waits.
    pub(super) fn is_empty(&self) -> bool {
        self.clients.is_empty() && self.others.is_empty()
    }
}

impl<S: SharedState + 'static> Reactor<S> {
    /// Adds a connection to its queue if it has input to handle and is in no queue yet.
    pub(super) fn queue_input(&mut self, id: ConnectionId) {
        if let Some(managed) = self.connections.get_mut(&id)
            && managed.has_unhandled_input()
        {
            self.input_queues.queue(PeerKind::of(managed)).join(id);
        }
    }

    /// Handles the input that waits, within the time that a turn has for it.
    pub(super) fn handle_waiting_input(&mut self) {
        self.handle_queue(PeerKind::Other);
        if !self.clients_paused {
            self.handle_queue(PeerKind::Client);
        }
    }

    fn handle_queue(&mut self, kind: PeerKind) {
        let budget = self.time_budget(INPUT_BUDGET);
        while let Some(turn) = self.input_queues.queue(kind).next_turn() {
            self.use_credit(turn.id, kind);
            let has_input = self.has_unhandled_input(turn.id);
            self.input_queues.queue(kind).end_turn(turn, has_input);
            if budget.is_spent() {
                return;
            }
        }
    }

    /// Lets a connection handle its input as long as it has credit.
    fn use_credit(&mut self, id: ConnectionId, kind: PeerKind) {
        let mut now = self.clock.now();
        let mut has_credit = true;
        while has_credit && self.has_unhandled_input(id) {
            self.run_callback(id, ManagedConnection::handle_input);
            let ended_at = self.clock.now();
            has_credit = self.input_queues.queue(kind).charge(id, ended_at - now);
            now = ended_at;
        }
    }

    fn has_unhandled_input(&self, id: ConnectionId) -> bool {
        let managed = self.connections.get(&id);
        managed.is_some_and(ManagedConnection::has_unhandled_input)
    }

    /// Returns whether all input of a connection that arrived before the last [`MAX_INPUT_AGE`] has been handled.
    /// Reads the connection again if the last poll is older. Input that waits for its turn is left there.
    /// A peer that leaves its output unread is not read either; no write waits for its input.
    pub(super) fn is_input_current(&mut self, id: ConnectionId) -> bool {
        let is_outdated = self.is_input_outdated();
        if !is_outdated && !self.has_unhandled_input(id) {
            return true;
        }
        if is_outdated {
            self.shared.connection_rechecked();
            self.read_unreported_input(id);
        }
        let now = self.clock.now();
        let is_current = |managed: &ManagedConnection<S>| {
            !managed.has_unhandled_input() || now - managed.input.unhandled_since() <= MAX_INPUT_AGE
        };
        self.connections.get(&id).is_none_or(is_current)
    }
}
