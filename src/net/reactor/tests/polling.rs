//! Tests of what is known after a poll.

use super::*;

/// Longer than the age of a poll at which timers wait for the next one.
const SUSPENSION: Duration = Duration::from_millis(60);

/// Guards against a timer that ends a request although its client has cancelled it, or its worker has answered, while
/// the process was stopped between the poll and the timers.
#[test]
fn timers_expire_as_of_the_last_poll_if_the_process_was_stopped_since() {
    let mut reactor = reactor();
    let polled_at = reactor.now();
    reactor.poll(Some(polled_at)).unwrap();
    std::thread::sleep(SUSPENSION);
    let stopped_for = Span::from_millis(SUSPENSION.as_millis() as u64);
    assert!(reactor.timers_expire_at() < polled_at + stopped_for);
    let now = reactor.now();
    reactor.poll(Some(now)).unwrap();
    assert!(reactor.timers_expire_at() >= now);
}
