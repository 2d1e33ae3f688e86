//! Tests of the timer queue and its wake-ups.

use crate::collections::TimerQueue;
use crate::model::{Span, Time};

#[test]
fn timers_expire_in_order_and_only_when_due() {
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
fn a_wake_up_is_requested_once_unless_an_earlier_timer_is_scheduled() {
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
