//! Tests of AIMD limits, hysteresis, burst counters and liveness.

use crate::collections::{AimdBounds, AimdLimit, BurstCounter, Hysteresis, Liveness};
use crate::model::{Span, Time};

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
fn a_limit_increases_while_it_is_used_up_to_its_maximum() {
    let mut limit = AimdLimit::default();
    limit.increase(2, &LIMIT);
    assert_eq!(limit.value(&LIMIT), 4.0, "more than the headroom is free");
    limit.increase(3, &LIMIT);
    assert_eq!(limit.value(&LIMIT), 5.5);
    limit.increase(5, &LIMIT);
    assert_eq!(limit.value(&LIMIT), 6.0);
}

#[test]
fn a_limit_decreases_once_per_interval_down_to_its_minimum() {
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
fn a_hysteresis_switches_after_consecutive_observations_only() {
    let mut switch = Hysteresis::default();
    assert!(!switch.observe(true, 2) && !switch.observe(false, 2) && !switch.observe(true, 2));
    assert!(!switch.is_on());
    assert!(switch.observe(true, 2) && switch.is_on());
    assert!(!switch.observe(true, 2) && !switch.observe(false, 2) && switch.is_on());
    assert!(switch.observe(false, 2) && !switch.is_on());
}

#[test]
fn a_burst_of_events_counts_once() {
    let mut counter = BurstCounter::default();
    let mut reaches_two = |at| counter.record(Time(at), Span(30), 2);
    assert!(!reaches_two(100) && !reaches_two(120));
    assert!(
        !reaches_two(130),
        "an event 30 after the counted one belongs to its burst"
    );
    assert!(reaches_two(131));
    assert!(!reaches_two(140), "the burst continues after the count was reset");
    assert!(!reaches_two(200), "one");
    assert!(reaches_two(300), "two");
    assert!(!reaches_two(400));
    counter.reset();
    assert!(!counter.record(Time(500), Span(30), 2), "one again after a reset");
}

#[test]
fn only_one_check_is_pending_at_a_time_and_consecutive_unanswered_checks_are_counted() {
    let mut liveness = Liveness::default();
    assert!(liveness.begin_check() && !liveness.begin_check());
    assert_eq!(liveness.end_check(false, Time(10)), 1);
    assert!(liveness.begin_check(), "the check has ended");
    assert_eq!(liveness.end_check(false, Time(20)), 2);
    assert_eq!(liveness.last_response_at(), Time(0));
    assert_eq!(liveness.end_check(true, Time(30)), 0);
    assert_eq!(liveness.last_response_at(), Time(30));
    assert_eq!(liveness.end_check(false, Time(40)), 1);
    liveness.record_response(Time(50));
    assert_eq!(liveness.end_check(false, Time(60)), 1);
}
