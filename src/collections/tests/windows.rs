//! Tests of logs and counters over time windows.

use crate::collections::{BucketClock, EventLog, SlidingWindowCounter};
use crate::model::{Span, Time};

#[test]
fn an_event_log_counts_and_weighs_recent_events() {
    let mut log = EventLog::default();
    assert_eq!(log.last(), None);
    for (at, weight) in [(10, 1.0), (20, 2.0), (30, 4.0)] {
        log.record(Time(at), weight);
    }
    assert_eq!((log.count_since(Time(20)), log.count_after(Time(20))), (2, 1));
    assert_eq!(log.weight_since(Time(20)), 6.0);
    log.drop_before(Time(20));
    assert_eq!((log.count_since(Time(0)), log.last()), (2, Some(Time(30))));
    log.drop_before(Time(31));
    assert_eq!(log.last(), None);
}

#[test]
fn a_sliding_window_forgets_its_oldest_bucket() {
    let mut counter = SlidingWindowCounter::default();
    counter.increment();
    counter.increment();
    assert_eq!((counter.current(), counter.total()), (2, 2));
    counter.advance(3);
    counter.increment();
    assert_eq!((counter.current(), counter.total()), (1, 3));
    counter.advance(3);
    counter.advance(3);
    assert_eq!((counter.current(), counter.total()), (0, 1));
}

#[test]
fn a_bucket_clock_measures_the_bucket_and_the_window() {
    let mut clock = BucketClock::new(Time(10));
    assert_eq!(
        (clock.bucket_length(Time(15)), clock.window_length(Time(15))),
        (Span(5), Span(5))
    );
    clock.advance(Time(20), 3);
    clock.advance(Time(30), 3);
    assert_eq!(
        (clock.bucket_length(Time(35)), clock.window_length(Time(35))),
        (Span(5), Span(25))
    );
    clock.advance(Time(40), 3);
    assert_eq!(
        clock.window_length(Time(45)),
        Span(25),
        "the first bucket has left the window"
    );
}
