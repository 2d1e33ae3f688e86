//! The table of open requests, which still await their final response.

use super::body_memory::BodyMemory;
use super::open_request_share::OpenRequestShare;
use super::{RequestOrigin, RequestPayload};
use crate::model::{ConnectionId, Idempotency, RequestId, Span, Time};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;

/// Time after a request's deadline at which the scheduler fails the request if the policy has not ended it.
/// The client is guaranteed a final response whatever the policy does, and allows 50 ms beyond the deadline.
const OVERDUE_GRACE: Span = Span::from_millis(20);

/// Memory limit in bytes until [`RequestTable::set_memory_limit`] is called.
const DEFAULT_MEMORY_LIMIT: usize = 192 << 20;

/// An open request, which still awaits its final response.
#[derive(Debug)]
pub(super) struct OpenRequest {
    /// The connection and stream that the final response goes to.
    pub(super) origin: RequestOrigin,
    /// The content that each attempt sends.
    pub(super) payload: Rc<RequestPayload>,
    /// Whether the request may be sent again once it may have run.
    pub(super) idempotency: Idempotency,
    /// When the client stops waiting.
    pub(super) deadline: Time,
    attempts_started: u16,
    /// Number and write time of the first attempt that may have run.
    first_write: Option<(u16, Time)>,
}

impl OpenRequest {
    /// Creates a request without attempts.
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

    /// Returns when the scheduler fails the request if the policy has not ended it.
    pub(super) fn overdue_at(&self) -> Time {
        self.deadline + OVERDUE_GRACE
    }

    /// Returns when the first attempt that may have run was written.
    pub(super) fn first_written_at(&self) -> Option<Time> {
        self.first_write.map(|(_, written_at)| written_at)
    }

    /// Counts a new attempt and returns its number.
    pub(super) fn start_attempt(&mut self) -> u16 {
        let number = self.attempts_started;
        self.attempts_started += 1;
        number
    }

    /// Records that an attempt has been written completely; the request may have run from then on.
    pub(super) fn record_write(&mut self, number: u16, now: Time) {
        self.first_write.get_or_insert((number, now));
    }

    /// Reverts [`record_write`](Self::record_write) for an attempt that turned out never to have run.
    pub(super) fn retract_write(&mut self, number: u16) {
        self.first_write.take_if(|(written, _)| *written == number);
    }
}

/// A request whose deadline has been limited, and when the scheduler fails it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LimitedRequest {
    pub(super) id: RequestId,
    /// The former time of [`OpenRequest::overdue_at`].
    pub(super) former_overdue_at: Time,
    /// The time of [`OpenRequest::overdue_at`] now.
    pub(super) overdue_at: Time,
}

/// The open requests by id and by origin, with the correlation ids and the memory that they occupy.
#[derive(Debug)]
pub(super) struct RequestTable {
    next_id: RequestId,
    requests: BTreeMap<RequestId, OpenRequest>,
    ids_by_origin: HashMap<RequestOrigin, RequestId>,
    correlation_ids: HashSet<String>,
    share: OpenRequestShare,
    bodies: BodyMemory,
}

impl RequestTable {
    /// Creates an empty table with the default memory limit.
    pub(super) fn new() -> RequestTable {
        RequestTable {
            next_id: RequestId(0),
            requests: BTreeMap::new(),
            ids_by_origin: HashMap::new(),
            correlation_ids: HashSet::new(),
            share: OpenRequestShare::default(),
            bodies: BodyMemory::new(DEFAULT_MEMORY_LIMIT),
        }
    }

    /// Sets the memory limit of the process, in bytes. Bodies of open requests may take a fraction of it.
    pub(super) fn set_memory_limit(&mut self, bytes: usize) {
        self.bodies.set_memory_limit(bytes);
    }

    /// Sets the number of open requests that the client connections share.
    pub(super) fn set_shared_limit(&mut self, limit: usize) {
        self.share.set_limit(limit);
    }

    /// Records that a request of a connection was served.
    pub(super) fn record_served(&mut self, connection: ConnectionId) {
        self.share.record_served(connection);
    }

    /// Records that a worker has answered an attempt of a request with an error.
    pub(super) fn record_error(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get(&id) {
            self.share.record_error(request.origin.connection);
        }
    }

    /// Forgets a connection that has closed.
    pub(super) fn forget_connection(&mut self, connection: ConnectionId) {
        self.share.forget(connection);
    }

    /// Returns whether the share of this connection allows another open request.
    pub(super) fn share_allows(&self, connection: ConnectionId) -> bool {
        self.share.allows(connection)
    }

    /// Returns the number of open requests.
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of bytes of the bodies of all open requests.
    pub(super) fn body_bytes(&self) -> usize {
        self.bodies.bytes()
    }

    /// Returns whether another request fits that a connection sends with a body of this size.
    pub(super) fn has_capacity(
        &self,
        connection: ConnectionId,
        body_bytes: usize,
        max_open_requests: usize,
    ) -> bool {
        self.requests.len() < max_open_requests && self.bodies.allows(connection, body_bytes)
    }

    /// Returns whether an open request has this correlation id.
    pub(super) fn has_correlation_id(&self, correlation_id: &str) -> bool {
        self.correlation_ids.contains(correlation_id)
    }

    /// Returns the id of the open request from this origin.
    pub(super) fn id_at(&self, origin: RequestOrigin) -> Option<RequestId> {
        self.ids_by_origin.get(&origin).copied()
    }

    /// Returns whether this request is open.
    pub(super) fn contains(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    /// Returns an open request.
    pub(super) fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.requests.get(&id)
    }

    /// Returns a mutable reference to an open request.
    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.requests.get_mut(&id)
    }

    /// Limits the deadlines of all requests to `deadline`. Returns the requests whose deadlines have changed.
    pub(super) fn limit_deadlines(&mut self, deadline: Time) -> Vec<LimitedRequest> {
        let later = self
            .requests
            .iter_mut()
            .filter(|(_, request)| request.deadline > deadline);
        let limit = |(id, request): (&RequestId, &mut OpenRequest)| {
            let former_overdue_at = request.overdue_at();
            request.deadline = deadline;
            LimitedRequest {
                id: *id,
                former_overdue_at,
                overdue_at: request.overdue_at(),
            }
        };
        later.map(limit).collect()
    }

    /// Adds a request and returns its new id.
    pub(super) fn insert(&mut self, request: OpenRequest) -> RequestId {
        let id = self.next_id;
        self.next_id = RequestId(id.0.wrapping_add(1));
        self.bodies
            .add(request.origin.connection, request.payload.body.len());
        self.correlation_ids
            .insert(request.payload.correlation_id.clone());
        self.ids_by_origin.insert(request.origin, id);
        self.share.open(request.origin.connection);
        self.requests.insert(id, request);
        id
    }

    /// Removes a request and frees its correlation id, origin and memory.
    pub(super) fn remove(&mut self, id: RequestId) -> Option<OpenRequest> {
        let request = self.requests.remove(&id)?;
        self.bodies
            .remove(request.origin.connection, request.payload.body.len());
        self.correlation_ids.remove(&request.payload.correlation_id);
        self.ids_by_origin.remove(&request.origin);
        self.share.close(request.origin.connection);
        Some(request)
    }
}
