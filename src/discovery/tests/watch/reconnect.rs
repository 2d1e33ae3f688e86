//! Tests of when the watch connects: immediately, after a backoff, and after the silence timeout.

use super::{Watch, heartbeat, immediately_refused_address, listen, unused_address};
use crate::discovery::watch_connection::{WatchConnection, WatchQueue};
use crate::model::{Span, Time};
use crate::net::Connection;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::Write;
use std::rc::Rc;

#[test]
fn without_an_address_no_connection_is_scheduled() {
    let mut watch = Watch::new(None);
    let now = watch.reactor.now();
    assert_eq!(watch.delay_after_poll(now), None);
    assert_eq!(watch.reactor.connection_count(), 0);
}

#[test]
fn the_first_connection_is_begun_at_once() {
    let (_listener, address) = listen();
    let mut watch = Watch::new(Some(address));
    let now = watch.reactor.now();
    assert_eq!(
        watch.delay_after_poll(now),
        None,
        "a connection is being established"
    );
    assert_eq!(watch.reactor.connection_count(), 1);
    watch.poll(now + Span::from_millis(60_000));
    assert_eq!(watch.reactor.connection_count(), 1, "one at a time");
}

#[test]
fn delays_double_up_to_a_limit_while_connections_are_refused() {
    let mut watch = Watch::new(Some(unused_address()));
    let mut now = watch.reactor.now();
    watch.poll(now);
    for expected in [100, 200, 400, 400] {
        watch.run_until_disconnected();
        let delay = watch.delay_after_poll(now);
        assert_eq!(delay, Some(Span::from_millis(expected)));
        now = now + Span::from_millis(expected);
        assert_eq!(watch.delay_after_poll(now), None, "the next connection is opened");
    }
}

#[test]
fn a_connection_that_fails_at_once_is_retried_one_step_later() {
    let mut watch = Watch::new(Some(immediately_refused_address()));
    let mut now = watch.reactor.now();
    for expected in [200, 400, 400] {
        let delay = watch.delay_after_poll(now);
        assert_eq!(delay, Some(Span::from_millis(expected)));
        assert_eq!(watch.reactor.connection_count(), 0);
        now = now + Span::from_millis(expected);
    }
}

#[test]
fn a_frame_resets_the_failure_count() {
    let (listener, address) = listen();
    let mut watch = Watch::new(Some(immediately_refused_address()));
    let mut now = watch.reactor.now();
    for expected in [200, 400] {
        assert_eq!(watch.delay_after_poll(now), Some(Span::from_millis(expected)));
        now = now + Span::from_millis(expected);
    }
    watch.discovery.set_address(Some(address));
    watch.poll(now);
    let (mut stream, _) = watch.run_until_accepted(&listener);
    stream.write_all(&heartbeat()).unwrap();
    drop(stream);
    watch.run_until_disconnected();
    assert_eq!(watch.delay_after_poll(now), Some(Span::from_millis(100)));
}

#[test]
fn a_silent_connection_is_ended_after_its_timeout() {
    let now = Time(1_000_000_000);
    let queue = Rc::new(RefCell::new(WatchQueue::new(VecDeque::new(), 0)));
    let connection = WatchConnection::new(queue, now);
    assert_eq!(connection.deadline(), Some(now + Span::from_millis(2_500)));
}
