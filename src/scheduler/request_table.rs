//! The table of open requests: those that are owed a final response.

use super::{RequestOrigin, RequestPayload};
use crate::model::{Idempotency, RequestId, Span, Time};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;

/// How long after its deadline the scheduler itself fails a request that the policy has not ended. The final
/// response is owed whatever the policy does, and clients allow 50 ms beyond their deadline.
const OVERDUE_GRACE: Span = Span::from_millis(20);

/// Bodies of open requests may take this fraction of the memory limit, given as its divisor.
const BODY_MEMORY_DIVISOR: usize = 6;

/// The memory limit until one is configured, in bytes.
const DEFAULT_MEMORY_LIMIT: usize = 192 << 20;

/// An open request: it is owed a final response.
#[derive(Debug)]
pub(super) struct OpenRequest {
    /// Where the final response goes.
    pub(super) origin: RequestOrigin,
    /// What each attempt carries.
    pub(super) payload: Rc<RequestPayload>,
    /// Whether it may be attempted again after it may have run.
    pub(super) idempotency: Idempotency,
    /// When the client stops waiting.
    pub(super) deadline: Time,
    attempts_started: u16,
    /// The first attempt that may have run: its number, and when it was written.
    first_write: Option<(u16, Time)>,
}

impl OpenRequest {
    /// A request without attempts.
    pub(super) fn new(
        origin: RequestOrigin,
        payload: RequestPayload,
        idempotency: Idempotency,
        deadline: Time,
    ) -> OpenRequest {
        OpenRequest {
            origin,
            payload: Rc::new(payload),
            idempotency,
            deadline,
            attempts_started: 0,
            first_write: None,
        }
    }

    /// When the scheduler fails the request if the policy has not ended it.
    pub(super) fn overdue_at(&self) -> Time {
        self.deadline + OVERDUE_GRACE
    }

    /// When the first attempt that may have run was written.
    pub(super) fn first_written_at(&self) -> Option<Time> {
        self.first_write.map(|(_, written_at)| written_at)
    }

    /// The number of the next attempt, which is counted as started.
    pub(super) fn start_attempt(&mut self) -> u16 {
        let number = self.attempts_started;
        self.attempts_started += 1;
        number
    }

    /// The attempt of this number has been written completely: from now on the request may have run.
    pub(super) fn record_write(&mut self, number: u16, now: Time) {
        self.first_write.get_or_insert((number, now));
    }

    /// The attempt of this number turned out never to have run.
    pub(super) fn retract_write(&mut self, number: u16) {
        self.first_write.take_if(|(written, _)| *written == number);
    }
}

/// The open requests, found by id or by origin, with what they occupy: correlation ids and memory.
#[derive(Debug)]
pub(super) struct RequestTable {
    next_id: RequestId,
    requests: BTreeMap<RequestId, OpenRequest>,
    ids_by_origin: HashMap<RequestOrigin, RequestId>,
    correlation_ids: HashSet<String>,
    body_bytes: usize,
    max_body_bytes: usize,
}

impl RequestTable {
    /// A table without requests, under the default memory limit.
    pub(super) fn new() -> RequestTable {
        RequestTable {
            next_id: RequestId(0),
            requests: BTreeMap::new(),
            ids_by_origin: HashMap::new(),
            correlation_ids: HashSet::new(),
            body_bytes: 0,
            max_body_bytes: DEFAULT_MEMORY_LIMIT / BODY_MEMORY_DIVISOR,
        }
    }

    /// Sets the memory limit of the process, in bytes; bodies of open requests get a fraction of it.
    pub(super) fn set_memory_limit(&mut self, bytes: usize) {
        self.max_body_bytes = bytes / BODY_MEMORY_DIVISOR;
    }

    /// How many requests are open.
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether one more request with a body of this size fits.
    pub(super) fn has_capacity(&self, body_bytes: usize, max_open_requests: usize) -> bool {
        self.requests.len() < max_open_requests && self.body_bytes + body_bytes <= self.max_body_bytes
    }

    /// Whether an open request has this correlation id.
    pub(super) fn has_correlation_id(&self, correlation_id: &str) -> bool {
        self.correlation_ids.contains(correlation_id)
    }

    /// The open request from this origin.
    pub(super) fn id_at(&self, origin: RequestOrigin) -> Option<RequestId> {
        self.ids_by_origin.get(&origin).copied()
    }

    /// Whether this request is open.
    pub(super) fn contains(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    /// An open request.
    pub(super) fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.requests.get(&id)
    }

    /// An open request, to be changed.
    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.requests.get_mut(&id)
    }

    /// Adds a request under a new id.
    pub(super) fn insert(&mut self, request: OpenRequest) -> RequestId {
        let id = self.next_id;
        self.next_id = RequestId(id.0.wrapping_add(1));
        self.body_bytes += request.payload.body.len();
        self.correlation_ids
            .insert(request.payload.correlation_id.clone());
        self.ids_by_origin.insert(request.origin, id);
        self.requests.insert(id, request);
        id
    }

    /// Removes a request with all that it occupied.
    pub(super) fn remove(&mut self, id: RequestId) -> Option<OpenRequest> {
        let request = self.requests.remove(&id)?;
        self.body_bytes -= request.payload.body.len();
        self.correlation_ids.remove(&request.payload.correlation_id);
        self.ids_by_origin.remove(&request.origin);
        Some(request)
    }
}
