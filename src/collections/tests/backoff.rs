//! Tests of exponential backoff and its timer.

use crate::collections::{BackoffTimer, ExponentialBackoff};
use crate::model::{Span, Time};

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
    assert!(timer.is_active(Time(199)), "the current backoff continues");
    let mut extended = timer;
    extended.extend(Time(0), BACKOFF);
    assert!(extended.is_active(Time(199)));
    assert_eq!(extended.failures(), 1);
    timer.restart(Time(0), BACKOFF);
    assert!(!timer.is_active(Time(100)));
}

#[test]
fn a_backoff_begins_only_if_none_is_active() {
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
fn a_backoff_can_be_extended_without_a_failure() {
    let mut timer = BackoffTimer::default();
    timer.extend_until(Time(50));
    timer.extend_until(Time(20));
    assert!(timer.is_active(Time(49)) && !timer.is_active(Time(50)));
    assert_eq!(timer.failures(), 0);
}
