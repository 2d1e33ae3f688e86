//! Tests of which events the watch accepts from its connection and from the configuration.

use super::{Watch, empty_delta, listen};
use crate::discovery::Discovery;
use crate::discovery::tests::{delta, snapshot};
use crate::model::Time;
use std::io::Write;

#[test]
fn known_events_are_accepted_if_complete_or_next() {
    let mut watch = Watch::new(None);
    let next_change = |watch: &mut Watch| watch.discovery.next_change().is_some();
    watch.discovery.merge_known_events(vec![delta(2, vec![])]);
    assert!(!next_change(&mut watch), "event 1 is missing");
    watch.discovery.merge_known_events(vec![snapshot(2, vec![])]);
    assert!(
        next_change(&mut watch),
        "a snapshot does not require the event before it"
    );
    let repeated = vec![snapshot(1, vec![]), snapshot(2, vec![]), delta(2, vec![])];
    watch.discovery.merge_known_events(repeated);
    assert!(!next_change(&mut watch), "already received");
    watch
        .discovery
        .merge_known_events(vec![delta(3, vec![]), delta(4, vec![]), delta(6, vec![])]);
    assert_eq!(watch.discovery.last_offset(), 4);
    assert!(next_change(&mut watch) && next_change(&mut watch));
    assert!(!next_change(&mut watch), "event 5 is missing");
}

#[test]
fn all_known_events_are_accepted_at_startup() {
    let known_events = vec![snapshot(3, vec![]), delta(7, vec![])];
    let mut discovery = Discovery::new(None, known_events, Vec::new(), Time(0));
    assert_eq!(discovery.last_offset(), 7);
    assert!(discovery.next_change().is_some());
    assert!(discovery.next_change().is_some());
    assert!(discovery.next_change().is_none());
}

#[test]
fn repeated_events_are_dropped() {
    let (listener, address) = listen();
    let mut watch = Watch::new(Some(address));
    watch.discovery.merge_known_events(vec![snapshot(5, vec![])]);
    assert!(watch.discovery.next_change().is_some());
    watch.poll(watch.reactor.now());
    let (mut stream, offset) = watch.run_until_accepted(&listener);
    assert_eq!(offset, 5);
    stream
        .write_all(&[empty_delta(5), empty_delta(6), empty_delta(6)].concat())
        .unwrap();
    drop(stream);
    watch.run_until_disconnected();
    assert_eq!(watch.discovery.last_offset(), 6);
    assert!(watch.discovery.next_change().is_some());
    assert!(watch.discovery.next_change().is_none());
}

#[test]
fn an_undecodable_frame_closes_the_connection_and_is_counted() {
    let (listener, address) = listen();
    let mut watch = Watch::new(Some(address));
    watch.poll(watch.reactor.now());
    let (mut stream, _) = watch.run_until_accepted(&listener);
    let undecodable = vec![0; 8];
    stream.write_all(&[empty_delta(1), undecodable].concat()).unwrap();
    watch.run_until_disconnected();
    assert_eq!(watch.reactor.shared.scheduler.counters().decode_errors, 1);
    assert_eq!(watch.discovery.last_offset(), 1, "frames before it are processed");
}
