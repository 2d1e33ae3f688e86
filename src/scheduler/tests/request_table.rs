//! The table of open requests.

use super::*;
use crate::model::{Idempotency, RequestId};
use crate::scheduler::request_table::OpenRequest;

const MEMORY_LIMIT: usize = 900;
const MAX_BODY_BYTES: usize = MEMORY_LIMIT * 2 / 9;
const BODY_BYTES: usize = 60;
const MAX_OPEN: usize = 2;

fn open_request(stream: u64) -> OpenRequest {
    let payload = RequestPayload {
        correlation_id: format!("{stream:016x}"),
        class: IDEMPOTENT_CLASS.into(),
        function: FUNCTION,
        key: None,
        body: vec![0; BODY_BYTES],
    };
    OpenRequest::new(origin(stream), payload, Idempotency::Idempotent, DEADLINE)
}

#[test]
fn a_removed_request_frees_all_that_it_occupied() {
    let mut requests = RequestTable::new();
    let id = requests.insert(open_request(1));
    assert_eq!(requests.id_at(origin(1)), Some(id));
    assert!(requests.has_correlation_id("0000000000000001"));

    assert_eq!(requests.remove(id).unwrap().origin, origin(1));
    assert!(requests.remove(id).is_none(), "only once");
    assert_eq!(requests.id_at(origin(1)), None);
    assert!(!requests.has_correlation_id("0000000000000001"));
    assert!(!requests.contains(id));
    assert_eq!(requests.len(), 0);
}

#[test]
fn ids_are_not_reused() {
    let mut requests = RequestTable::new();
    let first = requests.insert(open_request(1));
    requests.remove(first);
    let second = requests.insert(open_request(1));
    assert_eq!((first, second), (RequestId(0), RequestId(1)));
}

#[test]
fn bodies_may_take_two_ninths_of_the_memory_limit() {
    let mut requests = RequestTable::new();
    requests.set_memory_limit(MEMORY_LIMIT);
    let (first, second) = (ConnectionId(1), ConnectionId(2));
    assert!(requests.has_capacity(first, MAX_BODY_BYTES, MAX_OPEN));
    assert!(!requests.has_capacity(first, MAX_BODY_BYTES + 1, MAX_OPEN));

    let id = requests.insert(open_request(1));
    assert!(!requests.has_capacity(first, 1, MAX_OPEN), "it has its body");
    assert!(requests.has_capacity(second, MAX_BODY_BYTES - BODY_BYTES, MAX_OPEN));
    assert!(!requests.has_capacity(second, MAX_BODY_BYTES - BODY_BYTES + 1, MAX_OPEN));
    requests.remove(id);
    assert!(requests.has_capacity(first, MAX_BODY_BYTES, MAX_OPEN));
}

#[test]
fn open_requests_are_limited() {
    let mut requests = RequestTable::new();
    requests.insert(open_request(1));
    assert!(requests.has_capacity(ConnectionId(1), 0, MAX_OPEN));
    requests.insert(open_request(2));
    assert!(!requests.has_capacity(ConnectionId(1), 0, MAX_OPEN));
}

#[test]
fn the_first_write_is_kept_until_its_own_attempt_retracts_it() {
    let mut request = open_request(1);
    request.record_write(0, at_millis(5));
    request.record_write(1, at_millis(9));
    assert_eq!(request.first_written_at(), Some(at_millis(5)));
    request.retract_write(1);
    assert_eq!(request.first_written_at(), Some(at_millis(5)));
    request.retract_write(0);
    assert_eq!(request.first_written_at(), None);
}

#[test]
fn attempts_are_numbered_from_zero() {
    let mut request = open_request(1);
    assert_eq!([request.start_attempt(), request.start_attempt()], [0, 1]);
}
