use super::*;

const IDLE_TIMEOUT: Span = Span::from_millis(5_000);

fn at(millis: u64) -> Time {
    Time(0) + Span::from_millis(millis)
}

#[test]
fn a_connection_is_idle_since_its_last_activity() {
    let mut timers = ConnectionTimers::new(at(0));
    timers.record_activity(at(100));
    assert_eq!(timers.idle_since(), Some(at(100)));
    assert_eq!(timers.next(Some(IDLE_TIMEOUT)), Some(at(5_100)));
    assert!(!timers.connection_timed_out(at(5_099), Some(IDLE_TIMEOUT)));
    assert!(timers.connection_timed_out(at(5_100), Some(IDLE_TIMEOUT)));
    assert_eq!(timers.next(None), None, "requests are open");
    assert!(!timers.connection_timed_out(at(5_100), None), "requests are open");
}

#[test]
fn a_message_keeps_its_deadline_until_the_next_one_begins() {
    let mut timers = ConnectionTimers::new(at(0));
    timers.track_message(PartialMessage::Continued, at(100));
    assert!(timers.message_began_at(at(100)));
    timers.track_message(PartialMessage::Continued, at(900));
    assert!(!timers.message_began_at(at(900)));
    assert!(!timers.message_timed_out(at(2_099)));
    assert!(timers.message_timed_out(at(2_100)));
    timers.track_message(PartialMessage::Begun, at(1_000));
    assert_eq!(timers.next(None), Some(at(3_000)));
    timers.track_message(PartialMessage::None, at(1_100));
    assert_eq!(timers.next(None), None);
}

#[test]
fn a_closing_connection_lingers_and_has_no_message_deadline() {
    let mut timers = ConnectionTimers::new(at(0));
    timers.track_message(PartialMessage::Begun, at(0));
    timers.begin_close(at(1_000));
    assert!(!timers.message_timed_out(at(2_500)));
    assert_eq!(timers.idle_since(), None);
    assert_eq!(timers.next(None), Some(at(3_000)));
    assert!(timers.connection_timed_out(at(3_000), None));
}
