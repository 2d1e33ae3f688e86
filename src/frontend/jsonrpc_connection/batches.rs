//! Batches of JSON-RPC requests, each of which is answered with one line.

use serde_json::Value;
use std::collections::BTreeMap;

/// The id of a batch of requests; unique on its connection.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct BatchId(pub(super) u64);

/// A batch that is not completely answered.
struct OpenBatch {
    pending_parts: usize,
    responses: Vec<Value>,
}

/// The batches of a connection that are not completely answered.
#[derive(Default)]
pub(super) struct Batches {
    open: BTreeMap<BatchId, OpenBatch>,
}

impl Batches {
    /// Begins a batch that gets this number of responses.
    ///
    /// The caller must call [`Batches::mark_requests_handled`] when it has handled all requests of the batch.
    pub(super) fn begin(&mut self, id: BatchId, responses: usize) {
        // The handling of the requests counts as one more part, so that the batch is not complete before all
        // of them are handled, even if each is answered at once.
        let batch = OpenBatch {
            pending_parts: 1 + responses,
            responses: Vec::new(),
        };
        self.open.insert(id, batch);
    }

    /// Records that all requests of a batch were handled.
    ///
    /// Returns its responses if the batch is complete and has any.
    pub(super) fn mark_requests_handled(&mut self, id: BatchId) -> Option<Value> {
        self.complete_part(id)
    }

    /// Adds a response to its batch; returns all responses of the batch if it is complete.
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
