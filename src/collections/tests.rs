//! The data structures, by their own rules.

use super::{
    BackoffTimer, BurstCounter, EventLog, ExponentialBackoff, Hysteresis, SlidingWindowCounter, TimerQueue,
    Versioned, mix64, weighted_rendezvous_order,
};
use crate::model::{Span, Time};
use std::collections::BTreeSet;

const BACKOFF: ExponentialBackoff = ExponentialBackoff::new(Span(100), 3);

#[test]
fn a_backoff_doubles_up_to_its_limit() {
    let delays: Vec<u64> = (0..6).map(|failures| BACKOFF.delay(failures).0).collect();
    assert_eq!(delays, [100, 200, 400, 800, 800, 800]);
}

#[test]
fn a_restarted_backoff_may_end_earlier_and_an_extended_one_may_not() {
    let mut timer = BackoffTimer::default();
    assert!(!timer.is_active(Time(0)));
    timer.restart(Time(0), BACKOFF);
    timer.restart(Time(0), BACKOFF);
    assert_eq!(timer.failures(), 2);
    assert!(timer.is_active(Time(199)) && !timer.is_active(Time(200)));
    timer.reset_failures();
    assert!(timer.is_active(Time(199)), "the wait under way stands");
    let mut extended = timer;
    extended.extend(Time(0), BACKOFF);
    assert!(extended.is_active(Time(199)));
    assert_eq!(extended.failures(), 1);
    timer.restart(Time(0), BACKOFF);
    assert!(!timer.is_active(Time(100)));
}

#[test]
fn a_wait_can_be_extended_without_a_failure() {
    let mut timer = BackoffTimer::default();
    timer.extend_until(Time(50));
    timer.extend_until(Time(20));
    assert!(timer.is_active(Time(49)) && !timer.is_active(Time(50)));
    assert_eq!(timer.failures(), 0);
}

#[test]
fn a_burst_of_events_counts_once() {
    let mut counter = BurstCounter::default();
    assert_eq!(counter.record(Time(100), Span(30)), 1);
    assert_eq!(counter.record(Time(120), Span(30)), 1);
    assert_eq!(counter.record(Time(130), Span(30)), 1, "30 after the counted one is still its burst");
    assert_eq!(counter.record(Time(131), Span(30)), 2);
    counter.reset();
    assert_eq!(counter.record(Time(140), Span(30)), 0, "the burst goes on after a reset");
    assert_eq!(counter.record(Time(200), Span(30)), 1);
}

#[test]
fn an_event_log_counts_and_weighs_what_is_recent() {
    let mut log = EventLog::default();
    assert_eq!(log.last(), None);
    for (at, weight) in [(10, 1.0), (20, 2.0), (30, 4.0)] {
        log.record(Time(at), weight);
    }
    assert_eq!((log.count_since(Time(20)), log.count_after(Time(20))), (2, 1));
    assert_eq!(log.weight_since(Time(20)), 6.0);
    log.forget_before(Time(20));
    assert_eq!((log.count_since(Time(0)), log.last()), (2, Some(Time(30))));
    log.forget_before(Time(31));
    assert_eq!(log.last(), None);
}

#[test]
fn a_hysteresis_turns_after_steady_observations_only() {
    let mut switch = Hysteresis::default();
    assert!(!switch.observe(true, 2) && !switch.observe(false, 2) && !switch.observe(true, 2));
    assert!(!switch.is_on());
    assert!(switch.observe(true, 2) && switch.is_on());
    assert!(!switch.observe(true, 2) && !switch.observe(false, 2) && switch.is_on());
    assert!(switch.observe(false, 2) && !switch.is_on());
}

#[test]
fn a_sliding_window_forgets_its_oldest_bucket() {
    let mut counter = SlidingWindowCounter::<3>::default();
    counter.increment();
    counter.increment();
    assert_eq!((counter.current(), counter.total()), (2, 2));
    counter.advance();
    counter.increment();
    assert_eq!((counter.current(), counter.total()), (1, 3));
    counter.advance();
    counter.advance();
    assert_eq!((counter.current(), counter.total()), (0, 1));
}

#[test]
fn timers_come_out_in_order_and_only_when_due() {
    let mut queue = TimerQueue::new();
    assert!(queue.is_empty() && queue.pop_due(Time(100)).is_none());
    for (at, timer) in [(20, 'b'), (10, 'c'), (20, 'a'), (20, 'a')] {
        queue.schedule(Time(at), timer);
    }
    assert_eq!(queue.pop_due(Time(9)), None);
    let due: Vec<char> = std::iter::from_fn(|| queue.pop_due(Time(20))).collect();
    assert_eq!(due, ['c', 'a', 'b'], "the same timer at the same time stands once");
    assert!(queue.is_empty());
}

#[test]
fn a_wake_up_is_asked_for_once_unless_an_earlier_timer_comes() {
    let mut queue = TimerQueue::new();
    assert_eq!(queue.next_wake_up(Time(0)), None);
    queue.schedule(Time(50), 'a');
    assert_eq!(queue.next_wake_up(Time(10)), Some(Span(40)));
    assert_eq!(queue.next_wake_up(Time(10)), None);
    queue.schedule(Time(60), 'b');
    assert_eq!(queue.next_wake_up(Time(10)), None);
    queue.schedule(Time(30), 'c');
    assert_eq!(queue.next_wake_up(Time(10)), Some(Span(20)));
    queue.woken_up();
    assert_eq!(queue.next_wake_up(Time(30)), Some(Span(0)));
}

#[test]
fn a_versioned_value_is_computed_once_for_each_version() {
    let mut cached = Versioned::<u32>::default();
    assert_eq!(*cached.get_or_compute(0, || 7), 0, "version 0 is the default value's");
    assert_eq!(*cached.get_or_compute(1, || 7), 7);
    assert_eq!(*cached.get_or_compute(1, || 8), 7);
    assert_eq!(*cached.get_or_compute(2, || 9), 9);
}

fn nodes(weights: &[f64]) -> impl Iterator<Item = (usize, u64, f64)> {
    weights.iter().enumerate().map(|(node, weight)| (node, node as u64, *weight))
}

#[test]
fn a_rendezvous_order_holds_each_node_and_keeps_the_others_when_one_leaves() {
    for key in 0..100 {
        let order = weighted_rendezvous_order(key, nodes(&[1.0; 8]));
        assert_eq!(order.iter().copied().collect::<BTreeSet<_>>().len(), 8);
        let without_last = weighted_rendezvous_order(key, nodes(&[1.0; 7]));
        let expected: Vec<usize> = order.into_iter().filter(|node| *node != 7).collect();
        assert_eq!(without_last, expected, "key {key}");
    }
}

#[test]
fn a_node_of_twice_the_weight_comes_first_twice_as_often() {
    let first = |key| weighted_rendezvous_order(mix64(key), nodes(&[2.0, 1.0, 1.0]))[0];
    let heavy = (0..4000).filter(|key| first(*key) == 0).count();
    assert!((1800..2200).contains(&heavy), "{heavy} of 4000, half expected");
}
