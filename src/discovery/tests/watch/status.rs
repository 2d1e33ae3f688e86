//! Tests of the status changes that the watch reports, which determine the age of the endpoint list.

use super::{Watch, empty_delta, encode_frame, listen};
use crate::discovery::tests::snapshot;
use crate::model::WatchStatus;
use std::io::Write;

const HEARTBEAT: u8 = 0;

/// Returns the statuses that have not been reported yet.
fn statuses(watch: &mut Watch) -> Vec<WatchStatus> {
    let changes = std::iter::from_fn(|| watch.discovery.next_status_change());
    changes.map(|change| change.status).collect()
}

#[test]
fn without_a_discovery_service_there_is_nothing_to_report() {
    let mut watch = Watch::new(None);
    watch.poll(watch.reactor.now());
    assert_eq!(statuses(&mut watch), []);
}

/// A repeated event is not reported, nor is a heartbeat of a service that lacks events or has not sent all of
/// them: neither shows that the endpoint list is complete.
#[test]
fn heartbeats_and_new_events_are_reported() {
    let (listener, address) = listen();
    let mut watch = Watch::new(Some(address));
    watch.discovery.merge_known_events(vec![snapshot(5, vec![])]);
    assert_eq!(statuses(&mut watch), [WatchStatus::Requested], "at the start");
    watch.poll(watch.reactor.now());
    let (mut stream, _) = watch.run_until_accepted(&listener);
    let frames = [
        encode_frame(5, HEARTBEAT),
        empty_delta(5),
        encode_frame(4, HEARTBEAT),
        encode_frame(7, HEARTBEAT),
        empty_delta(6),
        encode_frame(6, HEARTBEAT),
    ];
    stream.write_all(&frames.concat()).unwrap();
    drop(stream);
    watch.run_until_disconnected();
    let expected = [
        WatchStatus::Requested,
        WatchStatus::Confirmed,
        WatchStatus::EventReceived,
        WatchStatus::Confirmed,
        WatchStatus::Disconnected,
    ];
    assert_eq!(statuses(&mut watch), expected);
}

#[test]
fn after_an_address_change_the_old_connection_reports_nothing() {
    let (old_listener, old_address) = listen();
    let (_new_listener, new_address) = listen();
    let mut watch = Watch::new(Some(old_address));
    watch.poll(watch.reactor.now());
    let (mut stream, _) = watch.run_until_accepted(&old_listener);
    statuses(&mut watch);
    stream.write_all(&encode_frame(0, HEARTBEAT)).unwrap();
    assert!(watch.discovery.set_address(Some(new_address)));
    watch.restart(watch.reactor.now());
    assert_eq!(statuses(&mut watch), [WatchStatus::Disconnected]);
    assert!(watch.discovery.set_address(None));
    watch.restart(watch.reactor.now());
    assert_eq!(statuses(&mut watch), [WatchStatus::Disabled]);
}
