//! The state of each worker on the endpoint list.

use super::*;
use crate::scheduler::endpoint_states::EndpointStates;

#[test]
fn only_a_snapshot_removes_the_workers_that_it_lacks() {
    let ready = |n| endpoint_in_state(WorkerId(n), EndpointState::Ready);
    let cases = [
        (EndpointUpdateKind::Delta, true),
        (EndpointUpdateKind::Failed, true),
        (EndpointUpdateKind::Snapshot, false),
        (EndpointUpdateKind::CachedSnapshot, false),
    ];
    for (kind, is_kept) in cases {
        let mut states = EndpointStates::default();
        states.apply(EndpointUpdateKind::Snapshot, &[ready(1), ready(2)]);
        states.apply(kind, &[ready(2)]);
        assert_eq!(states.is_ready(WorkerId(1)), is_kept, "{kind:?}");
        assert!(states.is_ready(WorkerId(2)), "{kind:?}");
    }
}

#[test]
fn a_worker_is_ready_only_while_it_is_listed_as_ready() {
    let mut states = EndpointStates::default();
    let worker = WorkerId(1);
    assert!(!states.is_ready(worker), "unknown");
    for (state, is_ready) in [
        (EndpointState::Ready, true),
        (EndpointState::Draining, false),
        (EndpointState::Ready, true),
        (EndpointState::Gone, false),
    ] {
        states.apply(EndpointUpdateKind::Delta, &[endpoint_in_state(worker, state)]);
        assert_eq!(states.is_ready(worker), is_ready, "{state:?}");
    }
}
