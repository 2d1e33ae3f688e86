//! Batches of JSON-RPC requests, which are answered with one line each.

use serde_json::Value;
use std::collections::BTreeMap;

/// A batch of requests on this connection.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct BatchId(pub(super) u64);

/// A batch of which some responses are still to come.
struct OpenBatch {
    pending_parts: usize,
    responses: Vec<Value>,
}

/// The batches of which some responses are still to come.
#[derive(Default)]
pub(super) struct Batches {
    open: BTreeMap<BatchId, OpenBatch>,
}

impl Batches {
    /// Begins a batch to which so many responses are due. [`Batches::mark_requests_handled`] is to follow.
    pub(super) fn begin(&mut self, id: BatchId, responses: usize) {
        // One more is missing until all requests have been handled, as some are answered while they are.
        let batch = OpenBatch {
            pending_parts: 1 + responses,
            responses: Vec::new(),
        };
        self.open.insert(id, batch);
    }

    /// All requests of a batch have been handled. Gives its responses if it is complete and has any.
    pub(super) fn mark_requests_handled(&mut self, id: BatchId) -> Option<Value> {
        self.complete_part(id)
    }

    /// Keeps a response until its batch is complete. Gives all its responses then.
    pub(super) fn add_response(&mut self, id: BatchId, response: Value) -> Option<Value> {
        self.open.get_mut(&id)?.responses.push(response);
        self.complete_part(id)
    }

    fn complete_part(&mut self, id: BatchId) -> Option<Value> {
        let batch = self.open.get_mut(&id)?;
        batch.pending_parts -= 1;
        if batch.pending_parts > 0 {
            return None;
        }
        let responses = self.open.remove(&id)?.responses;
        (!responses.is_empty()).then_some(Value::Array(responses))
    }
}
