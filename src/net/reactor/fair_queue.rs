//! The order in which connections handle their input.
//!
//! A deficit round robin over the time that messages take. As in FQ-CoDel (RFC 8290), connections whose input has
//! just arrived, the sparse ones, wait in a queue of their own, so that a client that sends now and then is not
//! delayed by those that always have more. The two queues take turns: connections that are sparse again and again,
//! such as those of peers that reconnect for ever, do not keep the others waiting.
//!
//! A connection that waits therefore has its turn after a bounded number of turns of others, whoever they are: see
//! the tests.

use super::input_credit::InputCredit;
use crate::model::{ConnectionId, Span};
use std::collections::{HashMap, VecDeque};

/// The queue in which a connection waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    /// It had no input left before.
    Sparse,
    /// It had input left after its last turn, or has been served as sparse before those that had.
    Backlogged,
}

impl Standing {
    fn other(self) -> Standing {
        match self {
            Standing::Sparse => Standing::Backlogged,
            Standing::Backlogged => Standing::Sparse,
        }
    }
}

/// A connection whose turn it is. It must be passed to [`FairQueue::end_turn`].
#[derive(Debug)]
#[must_use]
pub(super) struct InputTurn {
    pub(super) id: ConnectionId,
    standing: Standing,
}

/// What is known of a connection.
#[derive(Debug, Default)]
struct Member {
    credit: InputCredit,
    is_queued: bool,
    /// Whether it has input. One without keeps its place after a turn as sparse.
    has_input: bool,
}

/// Connections that have or had input, and the order of the turns of those that wait.
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    members: HashMap<ConnectionId, Member>,
    sparse: VecDeque<ConnectionId>,
    backlogged: VecDeque<ConnectionId>,
    /// The queue that had the last turn.
    last: Option<Standing>,
}

impl FairQueue {
    /// Returns whether no connection waits.
    pub(super) fn is_empty(&self) -> bool {
        self.sparse.is_empty() && self.backlogged.is_empty()
    }

    /// Adds a connection that has input, unless it waits already.
    pub(super) fn join(&mut self, id: ConnectionId) {
        let member = self.members.entry(id).or_default();
        member.has_input = true;
        if !member.is_queued {
            member.is_queued = true;
            self.sparse.push_back(id);
        }
    }

    /// Forgets a connection that has closed.
    pub(super) fn remove(&mut self, id: ConnectionId) {
        if self.members.remove(&id).is_some_and(|member| member.is_queued) {
            self.sparse.retain(|queued| *queued != id);
            self.backlogged.retain(|queued| *queued != id);
        }
    }

    /// Grants a quantum to each connection in turn, up to the first that has credit, and returns that one.
    pub(super) fn next_turn(&mut self) -> Option<InputTurn> {
        loop {
            let turn = self.pop()?;
            let Some(member) = self.members.get_mut(&turn.id) else {
                continue;
            };
            if !member.has_input {
                member.is_queued = false;
                continue;
            }
            self.last = Some(turn.standing);
            member.credit.grant();
            if member.credit.is_positive() {
                return Some(turn);
            }
            self.backlogged.push_back(turn.id);
        }
    }

    /// Charges a connection for the time that it has used. Returns whether it may use more in this turn.
    pub(super) fn charge(&mut self, id: ConnectionId, used: Span) -> bool {
        self.members.get_mut(&id).is_some_and(|member| {
            member.credit.charge(used);
            member.credit.is_positive()
        })
    }

    /// Ends the turn of a connection, which waits again if it has input left. One without input left is not sparse
    /// again before the others in the queue have had their turn.
    pub(super) fn end_turn(&mut self, turn: InputTurn, has_input: bool) {
        let must_wait = turn.standing == Standing::Sparse && !self.backlogged.is_empty();
        if let Some(member) = self.members.get_mut(&turn.id) {
            member.has_input = has_input;
            member.is_queued = has_input || must_wait;
            if member.is_queued {
                self.backlogged.push_back(turn.id);
            }
        }
    }

    /// Removes the first connection of the queue whose turn it is.
    fn pop(&mut self) -> Option<InputTurn> {
        let standing = self.last.map_or(Standing::Sparse, Standing::other);
        self.pop_from(standing)
            .or_else(|| self.pop_from(standing.other()))
    }

    fn pop_from(&mut self, standing: Standing) -> Option<InputTurn> {
        let queue = match standing {
            Standing::Sparse => &mut self.sparse,
            Standing::Backlogged => &mut self.backlogged,
        };
        queue.pop_front().map(|id| InputTurn { id, standing })
    }
}
