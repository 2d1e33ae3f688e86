use super::*;

fn at_millis(millis: u64) -> Time {
    Time(0) + Span::from_millis(millis)
}

#[test]
fn a_long_turn_is_reported_with_the_part_that_took_the_most_time() {
    let mut times = TurnTimes::default();
    assert_eq!(times.end_turn(at_millis(0)), None, "no turn has begun");
    times.begin_turn_unless_begun(at_millis(0));
    times.record_part(TurnPart::Input, Span::from_millis(60));
    times.record_part(TurnPart::Input, Span::from_millis(30));
    times.record_part(TurnPart::Commands, Span::from_millis(80));
    let long = times.end_turn(at_millis(200)).expect("the turn was long");
    assert_eq!(long.duration, Span::from_millis(200));
    assert_eq!(long.longest_part, (TurnPart::Input, Span::from_millis(90)));
    times.begin_turn_unless_begun(at_millis(300));
    assert_eq!(times.end_turn(at_millis(301)), None);
}

#[test]
fn durations_are_summarized_over_the_turns_in_which_the_part_ran() {
    let mut times = TurnTimes::default();
    for turn in 0..100 {
        times.begin_turn_unless_begun(at_millis(100 * turn));
        if turn == 50 {
            times.record_part(TurnPart::DueWrites, Span::from_millis(7));
        }
        times.end_turn(at_millis(100 * turn + 1 + turn / 99 * 49));
    }
    let turns = times.turns();
    assert_eq!((turns.count, turns.p50_micros / 100), (100, 10));
    assert!((50_000..51_000).contains(&turns.max_micros), "{turns:?}");
    let due_writes = times.part(TurnPart::DueWrites);
    assert_eq!((due_writes.count, due_writes.max_micros / 100), (1, 70));
    assert_eq!(times.part(TurnPart::Accept).count, 0);
}
