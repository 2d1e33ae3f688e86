//! Tests of the endpoint list.

use super::{address, delta, endpoint, record, snapshot, started_endpoint};
use crate::discovery::endpoint_list::{AddressChange, EndpointChange, EndpointList};
use crate::model::{Endpoint, EndpointState, EndpointUpdateKind, WorkerId};

fn assigned(endpoint: Endpoint, port: u16) -> AddressChange {
    AddressChange::Assigned {
        worker: endpoint.worker,
        address: address(port),
        started_at: endpoint.started_at,
    }
}

fn removed(worker: u64) -> AddressChange {
    AddressChange::Removed(WorkerId(worker))
}

/// Returns the entry of a worker whose address another worker has taken over.
fn replaced(worker: u64) -> Endpoint {
    Endpoint {
        worker: WorkerId(worker),
        state: EndpointState::Gone,
        ..Endpoint::default()
    }
}

#[test]
fn a_snapshot_removes_the_workers_that_it_omits() {
    let (first, second) = (
        endpoint(1, EndpointState::Ready),
        endpoint(2, EndpointState::Ready),
    );
    let mut list = EndpointList::new(Vec::new());
    list.apply_watch_event(snapshot(1, vec![record(first, 81), record(second, 82)]));
    let change = list.apply_watch_event(snapshot(2, vec![record(second, 82)]));
    let expected = EndpointChange {
        kind: EndpointUpdateKind::Snapshot,
        endpoints: vec![second],
        address_changes: vec![removed(1), assigned(second, 82)],
    };
    assert_eq!(change, expected);
}

#[test]
fn a_snapshot_keeps_the_configured_workers() {
    let (configured, listed) = (
        endpoint(7, EndpointState::Ready),
        endpoint(1, EndpointState::Ready),
    );
    let mut list = EndpointList::new(vec![configured]);
    let change = list.apply_watch_event(snapshot(1, vec![record(listed, 81)]));
    assert_eq!(change.endpoints, [listed, configured]);
    assert_eq!(change.address_changes, [assigned(listed, 81)]);
}

#[test]
fn a_delta_changes_the_workers_that_it_names() {
    let (first, second) = (
        endpoint(1, EndpointState::Ready),
        endpoint(2, EndpointState::Ready),
    );
    let mut list = EndpointList::new(vec![endpoint(7, EndpointState::Ready)]);
    list.apply_watch_event(snapshot(1, vec![record(first, 81), record(second, 82)]));
    let (draining, gone) = (
        endpoint(1, EndpointState::Draining),
        endpoint(2, EndpointState::Gone),
    );
    let change = list.apply_watch_event(delta(2, vec![record(draining, 81), record(gone, 82)]));
    let expected = EndpointChange {
        kind: EndpointUpdateKind::Delta,
        endpoints: vec![draining, gone],
        address_changes: vec![assigned(draining, 81), removed(2)],
    };
    assert_eq!(change, expected);
}

#[test]
fn a_later_process_takes_over_the_address_of_an_earlier_one() {
    let (earlier, later) = (started_endpoint(1, 10), started_endpoint(2, 20));
    let mut list = EndpointList::new(Vec::new());
    list.apply_watch_event(delta(1, vec![record(earlier, 81)]));
    let change = list.apply_watch_event(delta(2, vec![record(later, 81)]));
    assert_eq!(change.endpoints, [replaced(1), later]);
    assert_eq!(change.address_changes, [removed(1), assigned(later, 81)]);
}

#[test]
fn of_two_processes_without_a_known_start_the_one_listed_last_has_the_address() {
    let (first, second) = (
        endpoint(1, EndpointState::Ready),
        endpoint(2, EndpointState::Ready),
    );
    let mut list = EndpointList::new(Vec::new());
    let change = list.apply_watch_event(snapshot(1, vec![record(first, 81), record(second, 81)]));
    assert_eq!(change.endpoints, [first, replaced(1), second]);
    assert_eq!(
        change.address_changes,
        [assigned(first, 81), removed(1), assigned(second, 81)]
    );
}

#[test]
fn an_earlier_process_does_not_take_back_its_address() {
    let (later, earlier) = (started_endpoint(2, 20), started_endpoint(1, 10));
    let mut list = EndpointList::new(Vec::new());
    list.apply_watch_event(delta(1, vec![record(later, 81)]));
    let change = list.apply_watch_event(delta(2, vec![record(earlier, 81)]));
    let gone = Endpoint {
        state: EndpointState::Gone,
        ..earlier
    };
    assert_eq!(change.endpoints, [gone]);
    assert_eq!(change.address_changes, [removed(1)]);
}

#[test]
fn a_draining_worker_takes_over_no_address() {
    let (ready, draining) = (
        endpoint(1, EndpointState::Ready),
        endpoint(2, EndpointState::Draining),
    );
    let mut list = EndpointList::new(Vec::new());
    list.apply_watch_event(delta(1, vec![record(ready, 81)]));
    let change = list.apply_watch_event(delta(2, vec![record(draining, 81)]));
    assert_eq!(change.endpoints, [draining]);
    assert_eq!(change.address_changes, [assigned(draining, 81)]);
}

#[test]
fn an_address_is_free_once_its_worker_is_gone() {
    let (first, second) = (started_endpoint(1, 20), started_endpoint(2, 10));
    let mut list = EndpointList::new(Vec::new());
    list.apply_watch_event(delta(1, vec![record(first, 81)]));
    list.apply_watch_event(delta(2, vec![record(endpoint(1, EndpointState::Gone), 81)]));
    let change = list.apply_watch_event(delta(3, vec![record(second, 81)]));
    assert_eq!(change.endpoints, [second]);
    assert_eq!(change.address_changes, [assigned(second, 81)]);
}

#[test]
fn configured_workers_are_the_whole_list_at_the_start() {
    let configured = endpoint(7, EndpointState::Ready);
    let expected = EndpointChange {
        kind: EndpointUpdateKind::Snapshot,
        endpoints: vec![configured],
        address_changes: vec![],
    };
    assert_eq!(
        EndpointList::new(vec![configured]).initial_change(),
        Some(expected)
    );
    assert_eq!(EndpointList::new(Vec::new()).initial_change(), None);
}

#[test]
fn a_configured_worker_that_is_left_out_of_a_reload_is_gone() {
    let (kept, left_out) = (
        endpoint(7, EndpointState::Ready),
        endpoint(8, EndpointState::Ready),
    );
    let mut list = EndpointList::new(vec![left_out, kept]);
    let gone = Endpoint {
        state: EndpointState::Gone,
        ..left_out
    };
    let expected = EndpointChange {
        kind: EndpointUpdateKind::Delta,
        endpoints: vec![gone, kept],
        address_changes: vec![removed(8)],
    };
    assert_eq!(list.set_configured_workers(vec![kept]), Some(expected));
    assert!(list.set_configured_workers(Vec::new()).is_some());
    assert_eq!(list.set_configured_workers(Vec::new()), None);
}

#[test]
fn a_worker_that_becomes_configured_no_longer_holds_its_watched_address() {
    let (worker, other) = (started_endpoint(1, 20), started_endpoint(2, 10));
    let mut list = EndpointList::new(Vec::new());
    list.apply_watch_event(delta(1, vec![record(worker, 81)]));
    list.set_configured_workers(vec![worker]);
    let change = list.apply_watch_event(delta(2, vec![record(other, 81)]));
    assert_eq!(change.endpoints, [other]);
}
