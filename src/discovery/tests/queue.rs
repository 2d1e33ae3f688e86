//! The queue between a watch connection and the endpoint list.

use super::snapshot;
use crate::discovery::watch_connection::WatchQueue;
use crate::model::{Time, WatchStatus};
use std::collections::VecDeque;

/// Guards against a discovery service that sends events faster than they are applied, without an end: neither the
/// events nor their status changes, which are reported only after them, may take unbounded memory.
#[test]
fn nothing_more_is_read_while_many_events_or_status_changes_wait() {
    const MANY: usize = 64;
    let mut queue = WatchQueue::new(VecDeque::new(), 0);
    assert!(!queue.is_full());
    for _ in 0..MANY {
        queue.record_status(Time(1), WatchStatus::EventReceived);
    }
    assert!(queue.is_full());
    queue.status_changes.clear();
    for offset in 1..=MANY as u64 {
        queue.push(snapshot(offset, vec![]));
    }
    assert!(queue.is_full());
    queue.events.clear();
    assert!(!queue.is_full());
}
