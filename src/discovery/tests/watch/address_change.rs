//! Tests of the watch after a change of the discovery service's address.

use super::{Watch, immediately_refused_address, listen, unused_address};
use crate::discovery::tests::{delta, endpoint, record, snapshot};
use crate::model::{EndpointState, Span, Time};
use std::io::Read;

#[test]
fn an_address_change_reconnects_at_once_and_is_not_counted_as_a_failure() {
    let (old, old_address) = listen();
    let (new, new_address) = listen();
    let mut watch = Watch::new(Some(old_address));
    let now = watch.reactor.now();
    watch.poll(now);
    let (mut stream, offset) = watch.run_until_accepted(&old);
    assert_eq!(offset, 0);
    watch.discovery.merge_known_events(vec![snapshot(5, vec![])]);
    assert!(watch.discovery.set_address(Some(new_address)));
    watch.restart(now);
    assert_eq!(
        stream.read(&mut [0; 8]).unwrap(),
        0,
        "the old connection is closed"
    );
    assert_eq!(watch.delay_after_poll(now), None, "a new connection is opened");
    let (_stream, offset) = watch.run_until_accepted(&new);
    assert_eq!(offset, 5, "it continues after the last event received");
    let queue = watch.discovery.queue.borrow();
    assert_eq!(queue.consecutive_failures, 0);
    assert!(!queue.disconnected);
}

#[test]
fn an_address_change_resets_the_failure_count() {
    let mut watch = Watch::new(Some(immediately_refused_address()));
    let now = watch.reactor.now();
    assert_eq!(watch.delay_after_poll(now), Some(Span::from_millis(200)));
    assert!(watch.discovery.set_address(Some(unused_address())));
    watch.restart(now);
    assert_eq!(watch.delay_after_poll(now), None, "a new connection is opened");
    watch.run_until_disconnected();
    assert_eq!(watch.delay_after_poll(now), Some(Span::from_millis(100)));
}

#[test]
fn pending_events_survive_an_address_change() {
    let mut watch = Watch::new(None);
    let event = delta(1, vec![record(endpoint(1, EndpointState::Ready), 81)]);
    watch.discovery.merge_known_events(vec![event]);
    watch.restart(Time(1));
    assert_eq!(watch.discovery.last_offset(), 1);
    assert!(watch.discovery.next_change().is_some());
    assert!(watch.discovery.next_change().is_none());
}

#[test]
fn an_unchanged_address_is_no_change() {
    let address = unused_address();
    let mut watch = Watch::new(Some(address));
    assert!(!watch.discovery.set_address(Some(address)));
    assert!(watch.discovery.set_address(None));
    assert!(watch.discovery.set_address(Some(address)));
}
