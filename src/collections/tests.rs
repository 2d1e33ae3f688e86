//! The data structures, by their own rules.

use super::{
    AimdBounds, AimdLimit, BackoffTimer, BucketClock, BurstCounter, EventLog, ExponentialBackoff, Hysteresis,
    Liveness, SlidingWindowCounter, TimerQueue, least_by_cost, mix64, retain_unless_few, take_fitting,
    weighted_rendezvous_order,
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
    assert!(timer.is_active(Time(199)), "the wait under way is kept");
    let mut extended = timer;
    extended.extend(Time(0), BACKOFF);
    assert!(extended.is_active(Time(199)));
    assert_eq!(extended.failures(), 1);
    timer.restart(Time(0), BACKOFF);
    assert!(!timer.is_active(Time(100)));
}

#[test]
fn a_backoff_begins_only_where_none_is_under_way() {
    let mut timer = BackoffTimer::default();
    timer.begin(Time(0), BACKOFF);
    timer.begin(Time(50), BACKOFF);
    assert_eq!(timer.failures(), 1);
    assert!(!timer.is_active(Time(100)));
    timer.begin(Time(100), BACKOFF);
    assert_eq!(timer.failures(), 2);
    assert!(timer.is_active(Time(299)) && !timer.is_active(Time(300)));
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
    let mut reaches_two = |at| counter.record(Time(at), Span(30), 2);
    assert!(!reaches_two(100) && !reaches_two(120));
    assert!(!reaches_two(130), "30 after the counted one is still its burst");
    assert!(reaches_two(131));
    assert!(
        !reaches_two(140),
        "the burst goes on after the count has started from zero"
    );
    assert!(!reaches_two(200), "one");
    assert!(reaches_two(300), "two");
    assert!(!reaches_two(400));
    counter.reset();
    assert!(!counter.record(Time(500), Span(30), 2), "one again after a reset");
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
fn timers_come_out_in_order_and_only_when_due() {
    let mut queue = TimerQueue::default();
    assert!(queue.is_empty() && queue.pop_expired(Time(100)).is_none());
    for (at, timer) in [(20, 'b'), (10, 'c'), (20, 'a'), (20, 'a')] {
        queue.schedule(Time(at), timer);
    }
    assert_eq!(queue.pop_expired(Time(9)), None);
    let due: Vec<char> = std::iter::from_fn(|| queue.pop_expired(Time(20))).collect();
    assert_eq!(
        due,
        ['c', 'a', 'b'],
        "the same timer at the same time is queued once"
    );
    assert!(queue.is_empty());
}

#[test]
fn a_wake_up_is_asked_for_once_unless_an_earlier_timer_comes() {
    let mut queue = TimerQueue::default();
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

fn nodes(weights: &[f64]) -> impl Iterator<Item = (usize, u64, f64)> {
    weights
        .iter()
        .enumerate()
        .map(|(node, weight)| (node, node as u64, *weight))
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

const LIMIT: AimdBounds = AimdBounds {
    initial: 4.0,
    min: 2.0,
    max: 6.0,
    increment: 1.5,
    decrease_factor: 0.5,
    decrease_interval: Span(100),
    headroom: 1.0,
};

#[test]
fn a_limit_increases_while_it_is_used_and_up_to_its_greatest_value() {
    let mut limit = AimdLimit::default();
    limit.increase(2, &LIMIT);
    assert_eq!(limit.value(&LIMIT), 4.0, "more than the headroom is free");
    limit.increase(3, &LIMIT);
    assert_eq!(limit.value(&LIMIT), 5.5);
    limit.increase(5, &LIMIT);
    assert_eq!(limit.value(&LIMIT), 6.0);
}

#[test]
fn a_limit_decreases_once_in_an_interval_and_down_to_its_least_value() {
    let mut limit = AimdLimit::default();
    limit.increase(4, &LIMIT);
    limit.decrease(Time(101), &LIMIT);
    assert_eq!(limit.value(&LIMIT), 2.75);
    limit.decrease(Time(201), &LIMIT);
    assert_eq!(limit.value(&LIMIT), 2.75, "the interval has not passed");
    limit.decrease(Time(202), &LIMIT);
    assert_eq!(limit.value(&LIMIT), 2.0);
}

#[test]
fn a_peer_is_checked_once_at_a_time_and_unanswered_checks_are_counted_in_a_row() {
    let mut liveness = Liveness::default();
    assert!(liveness.begin_check() && !liveness.begin_check());
    assert_eq!(liveness.end_check(false, Time(10)), 1);
    assert!(liveness.begin_check(), "the check has ended");
    assert_eq!(liveness.end_check(false, Time(20)), 2);
    assert_eq!(liveness.last_heard(), Time(0));
    assert_eq!(liveness.end_check(true, Time(30)), 0);
    assert_eq!(liveness.last_heard(), Time(30));
    assert_eq!(liveness.end_check(false, Time(40)), 1);
    liveness.heard(Time(50));
    assert_eq!(liveness.end_check(false, Time(60)), 1);
}

#[test]
fn items_are_left_out_unless_few_would_be_left() {
    let even = |number: &u32| number.is_multiple_of(2);
    assert_eq!(retain_unless_few(vec![1, 2, 3, 4], 0.5, even), [2, 4]);
    assert_eq!(retain_unless_few(vec![1, 2, 3], 0.5, even), [1, 2, 3]);
    assert_eq!(retain_unless_few(vec![1, 3], 0.0, even), [0; 0]);
    assert_eq!(retain_unless_few(vec![], 0.5, even), [0; 0]);
}

#[test]
fn items_are_taken_in_order_while_they_fit() {
    let size = |size: &f64| *size;
    assert_eq!(take_fitting(vec![3.0, 2.0, 1.0], 5.0, size), [3.0, 2.0]);
    assert_eq!(
        take_fitting(vec![6.0, 1.0], 5.0, size),
        [0.0; 0],
        "what comes after the first misfit is not taken"
    );
    assert_eq!(
        take_fitting(vec![1.0], f64::INFINITY, size),
        [0.0; 0],
        "no sensible capacity"
    );
    assert_eq!(take_fitting(vec![f64::NAN], 5.0, size).len(), 0);
}

#[test]
fn the_least_cost_wins_and_ties_are_broken_by_the_salt() {
    let least = |costs: &[f64], salt| {
        let items = costs.iter().copied().enumerate();
        least_by_cost(items, salt, |(index, _)| *index as u64, |(_, cost)| *cost).map(|(index, _)| index)
    };
    assert_eq!(least(&[], 1), None);
    assert_eq!(least(&[2.0, 1.0, 3.0], 1), Some(1));
    let winners: BTreeSet<_> = (0..50)
        .map(|salt| least(&[1.0, 1.0, 1.0, 2.0], mix64(salt)))
        .collect();
    assert_eq!(winners, BTreeSet::from([Some(0), Some(1), Some(2)]));
}
