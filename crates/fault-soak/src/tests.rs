//! Tests of the soak itself: a seed gives one schedule, and the oracle finds each broken promise.

use crate::invariants::{Promise, check};
use crate::lateness::Lateness;
use crate::recorder::{Answer, Event, Incarnation, ProcessEvent, Record, RequestClass};
use crate::schedule::{FaultKind, schedule};
use std::time::Duration;

const REQUEST: u64 = 7;
const CONNECTION: u64 = 3;
const INCARNATION: Incarnation = Incarnation {
    scheduler: 0,
    generation: 1,
};
/// When every run of these tests ends.
const END: Duration = Duration::from_secs(20);

fn at(milliseconds: u64, event: Event) -> Record {
    Record {
        at: Duration::from_millis(milliseconds),
        event,
    }
}

/// A request of a second, sent at 1 s.
fn sent(class: RequestClass) -> Record {
    let event = Event::Sent {
        request: REQUEST,
        class,
        allowed: Duration::from_millis(1_000),
        connection: CONNECTION,
        incarnation: INCARNATION,
    };
    at(1_000, event)
}

fn answered(milliseconds: u64, answer: Answer, body_is_right: bool) -> Record {
    let event = Event::Answered {
        request: REQUEST,
        answer,
        body_is_right,
    };
    at(milliseconds, event)
}

fn arrived(milliseconds: u64, time_limit_ms: u64) -> Record {
    let event = Event::Arrived {
        request: REQUEST,
        worker: 2,
        time_limit: Duration::from_millis(time_limit_ms),
        runs: true,
        is_prompt: true,
    };
    at(milliseconds, event)
}

fn process(milliseconds: u64, event: ProcessEvent) -> Record {
    let incarnation = INCARNATION;
    at(milliseconds, Event::Process { incarnation, event })
}

fn broken_promises(records: &[Record]) -> Vec<Promise> {
    let findings = check(records, END, &Lateness::default());
    findings.into_iter().map(|finding| finding.promise).collect()
}

#[test]
fn a_seed_gives_one_schedule_in_which_faults_overlap() {
    let length = Duration::from_secs(10);
    let texts = |seed| {
        schedule(seed, length, &[])
            .iter()
            .map(ToString::to_string)
            .collect::<Vec<_>>()
    };
    assert_eq!(texts(5), texts(5));
    assert_ne!(texts(5), texts(6));
    let faults = schedule(5, length, &[]);
    let overlaps = faults
        .windows(2)
        .any(|pair| pair[1].begins_at < pair[0].ends_at());
    assert!(overlaps, "{faults:?}");
    let only_kills = schedule(5, length, &[FaultKind::Kill]);
    assert!(only_kills.iter().all(|fault| fault.kind == FaultKind::Kill));
}

#[test]
fn what_is_in_order_breaks_no_promise() {
    let served = [
        sent(RequestClass::NonIdempotent),
        arrived(1_010, 995),
        answered(1_050, Answer::Served, true),
    ];
    assert_eq!(broken_promises(&served), []);
    let left = [
        sent(RequestClass::Idempotent),
        at(1_200, Event::Left { request: REQUEST }),
    ];
    assert_eq!(broken_promises(&left), []);
    let killed = [
        sent(RequestClass::Idempotent),
        process(1_300, ProcessEvent::Killed),
        process(
            1_301,
            ProcessEvent::Ended {
                success: false,
                was_asked: true,
            },
        ),
    ];
    assert_eq!(broken_promises(&killed), []);
    let connection = CONNECTION;
    let crossed = [
        sent(RequestClass::Idempotent),
        at(1_030, Event::ConnectionEnded { connection }),
    ];
    assert_eq!(broken_promises(&crossed), []);
}

#[test]
fn answers_that_are_missing_late_double_or_wrong_are_found() {
    let idempotent = || sent(RequestClass::Idempotent);
    let connection = CONNECTION;
    let closed = at(1_300, Event::ConnectionEnded { connection });
    let late = answered(2_600, Answer::Failed, true);
    let served = || [arrived(1_010, 990), answered(1_050, Answer::Served, true)];
    let [run, answer] = served();
    let cases = [
        (vec![idempotent()], Promise::Unanswered),
        (vec![idempotent(), closed], Promise::Unanswered),
        (vec![idempotent(), late], Promise::AnsweredLate),
        (
            vec![idempotent(), run, answer.clone(), answer],
            Promise::AnsweredTwice,
        ),
        (
            vec![idempotent(), answered(1_050, Answer::Served, true)],
            Promise::WrongBody,
        ),
        (
            vec![
                idempotent(),
                arrived(1_010, 990),
                answered(1_050, Answer::Served, false),
            ],
            Promise::WrongBody,
        ),
    ];
    for (records, expected) in cases {
        assert_eq!(broken_promises(&records), [expected], "{records:?}");
    }
}

#[test]
fn attempts_that_must_not_be_are_found() {
    let refused = answered(1_300, Answer::Rejected, true);
    let failed = || answered(1_900, Answer::Failed, true);
    let repeat = |class, milliseconds| {
        vec![
            sent(class),
            arrived(1_010, 990),
            arrived(milliseconds, 100),
            failed(),
        ]
    };
    let left = at(1_200, Event::Left { request: REQUEST });
    let many = (1..=5).map(|n| arrived(1_000 + n, 990));
    let many = std::iter::once(sent(RequestClass::Idempotent))
        .chain(many)
        .chain([failed()]);
    let cases = [
        (repeat(RequestClass::NonIdempotent, 1_200), Promise::UnsafeRepeat),
        (repeat(RequestClass::Keyed, 2_700), Promise::UnsafeRepeat),
        (
            vec![sent(RequestClass::NonIdempotent), arrived(1_010, 990), refused],
            Promise::UnsafeRepeat,
        ),
        (
            vec![sent(RequestClass::Idempotent), left, arrived(1_400, 500)],
            Promise::SentAfterLeaving,
        ),
        (
            vec![sent(RequestClass::Idempotent), arrived(1_500, 990), failed()],
            Promise::TimeLimitTooLong,
        ),
        (many.collect(), Promise::TooManyAttempts),
    ];
    for (records, expected) in cases {
        assert_eq!(broken_promises(&records), [expected], "{records:?}");
    }
}

#[test]
fn what_is_sent_to_a_draining_worker_and_what_ends_unasked_is_found() {
    let load = Event::LoadArrived {
        worker: 2,
        is_prompt: true,
    };
    let draining = at(1_000, Event::Draining { worker: 2 });
    let delay = |milliseconds, begins| {
        let event = Event::Fault {
            number: 0,
            text: String::new(),
            begins,
            delays_list: true,
        };
        at(milliseconds, event)
    };
    let (begins, ends) = (delay(1_200, true), delay(1_400, false));
    let sent_at = |milliseconds| at(milliseconds, load.clone());
    assert_eq!(broken_promises(&[draining.clone(), sent_at(1_500)]), []);
    assert_eq!(
        broken_promises(&[draining.clone(), sent_at(1_600)]),
        [Promise::SentWhileDraining]
    );
    let delayed = [draining.clone(), begins.clone(), ends.clone(), sent_at(5_400)];
    assert_eq!(broken_promises(&delayed), []);
    let delayed = [draining, begins, ends, sent_at(5_700)];
    assert_eq!(broken_promises(&delayed), [Promise::SentWhileDraining]);
    let crash = ProcessEvent::Ended {
        success: false,
        was_asked: false,
    };
    assert_eq!(broken_promises(&[process(900, crash)]), [Promise::Crashed]);
    let failed_end = ProcessEvent::Ended {
        success: false,
        was_asked: true,
    };
    assert_eq!(broken_promises(&[process(900, failed_end)]), [Promise::Crashed]);
    let broken = ProcessEvent::Broken("not ready in 10 s".to_owned());
    assert_eq!(broken_promises(&[process(900, broken)]), [Promise::ProcessBroken]);
}
