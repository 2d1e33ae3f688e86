use super::*;

fn at(millis: u64) -> Time {
    Time(0) + Span::from_millis(millis)
}

#[test]
fn a_message_keeps_its_deadline_until_it_is_complete_or_another_begins() {
    let mut deadline = MessageDeadline::new(Span::from_millis(300));
    assert_eq!(deadline.get(), None);
    deadline.track(PartialMessage::Continued, at(100));
    assert!(deadline.began_at(at(100)));
    deadline.track(PartialMessage::Continued, at(250));
    assert!(!deadline.began_at(at(250)));
    assert_eq!(deadline.get(), Some(at(400)));
    deadline.track(PartialMessage::Begun, at(350));
    assert_eq!(deadline.get(), Some(at(650)));
    deadline.track(PartialMessage::None, at(360));
    assert_eq!(deadline.get(), None);
}

#[test]
fn a_message_has_only_begun_if_another_was_completed_before_it() {
    assert_eq!(PartialMessage::after_read(false, false), PartialMessage::None);
    assert_eq!(PartialMessage::after_read(false, true), PartialMessage::None);
    assert_eq!(PartialMessage::after_read(true, true), PartialMessage::Begun);
    assert_eq!(PartialMessage::after_read(true, false), PartialMessage::Continued);
}
