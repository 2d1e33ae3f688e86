//! Scheduling of the handling of input: which connection is read next, and for how long in a turn.
//!
//! A readable connection joins a queue. Each connection in turn handles a quantum of its input, and goes to the
//! back of the queue if it has more: a deficit round robin over the time that its messages take. A turn handles
//! input for a limited time, and the rest waits for the next turn. Workers and discovery have a queue and a time of their own, which come first:
//! their input ends requests, and that of clients begins them.

use super::Reactor;
use super::managed_connection::ManagedConnection;
use super::polling::MAX_INPUT_AGE;
use crate::model::{ConnectionId, Span};
use crate::net::SharedState;
use std::collections::VecDeque;

/// Time in a turn for the input of workers and discovery, and the same again for that of clients.
const INPUT_BUDGET: Span = Span::from_millis(3);

/// Connections whose input waits to be handled, in the order of their turns.
///
/// As in FQ-CoDel (RFC 8290), a connection that had no input left is served before those that always have more. A
/// client that sends now and then is thus not delayed by clients that send at full speed.
#[derive(Debug, Default)]
struct InputQueue {
    /// Connections whose input has just arrived.
    sparse: VecDeque<ConnectionId>,
    /// Connections that had input left after their last turn, or have been served as sparse before all of these
    /// had their turn.
    backlogged: VecDeque<ConnectionId>,
}

impl InputQueue {
    fn is_empty(&self) -> bool {
        self.sparse.is_empty() && self.backlogged.is_empty()
    }

    /// Removes and returns the connection whose turn it is, and whether it is sparse.
    fn pop(&mut self) -> Option<(ConnectionId, bool)> {
        match self.sparse.pop_front() {
            Some(id) => Some((id, true)),
            None => Some((self.backlogged.pop_front()?, false)),
        }
    }
}

/// The queues of connections with input.
#[derive(Debug, Default)]
pub(super) struct InputQueues {
    clients: InputQueue,
    others: InputQueue,
}

/// The connections that one of the [`InputQueues`] holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerKind {
    Client,
    Other,
}

impl PeerKind {
    fn of<S>(managed: &ManagedConnection<S>) -> PeerKind {
        if managed.is_client {
            PeerKind::Client
        } else {
            PeerKind::Other
        }
    }
}

impl InputQueues {
    fn queue(&mut self, kind: PeerKind) -> &mut InputQueue {
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
        let Some(managed) = self.connections.get_mut(&id) else {
            return;
        };
        if managed.has_unhandled_input() && !managed.input.is_queued {
            managed.input.is_queued = true;
            self.input_queues
                .queue(PeerKind::of(managed))
                .sparse
                .push_back(id);
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
        while let Some((id, is_sparse)) = self.input_queues.queue(kind).pop() {
            self.grant_turn(id);
            self.queue_again(id, kind, is_sparse);
            if budget.is_spent() {
                return;
            }
        }
    }

    /// Lets a connection handle one quantum of its input.
    fn grant_turn(&mut self, id: ConnectionId) {
        if let Some(managed) = self.connections.get_mut(&id) {
            managed.input.credit.grant();
            self.use_credit(id);
        }
    }

    /// Adds a connection to the end of its queue after its turn if it has input left. One without input left is
    /// not sparse again before the others in the queue have had their turn.
    fn queue_again(&mut self, id: ConnectionId, kind: PeerKind, was_sparse: bool) {
        let Some(managed) = self.connections.get_mut(&id) else {
            return;
        };
        let backlogged = &mut self.input_queues.queue(kind).backlogged;
        managed.input.is_queued = managed.has_unhandled_input() || was_sparse && !backlogged.is_empty();
        if managed.input.is_queued {
            backlogged.push_back(id);
        }
    }

    /// Lets a connection handle its input as long as it has credit.
    fn use_credit(&mut self, id: ConnectionId) {
        let mut now = self.clock.now();
        let may_continue = |managed: &ManagedConnection<S>| {
            managed.has_unhandled_input() && managed.input.credit.is_positive()
        };
        while self.connections.get(&id).is_some_and(may_continue) {
            self.run_callback(id, ManagedConnection::handle_input);
            let ended_at = self.clock.now();
            if let Some(managed) = self.connections.get_mut(&id) {
                managed.input.credit.charge(ended_at - now);
            }
            now = ended_at;
        }
    }

    /// Returns whether all input of a connection that arrived before the last [`MAX_INPUT_AGE`] has been handled.
    /// Reads the connection again if the last poll is older. Input that waits for its turn is left there.
    /// A peer that leaves its output unread is not read either; no write waits for its input.
    pub(super) fn is_input_current(&mut self, id: ConnectionId) -> bool {
        let is_outdated = self.is_input_outdated();
        let has_unhandled_input = |managed: &ManagedConnection<S>| managed.has_unhandled_input();
        if !is_outdated && !self.connections.get(&id).is_some_and(has_unhandled_input) {
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
