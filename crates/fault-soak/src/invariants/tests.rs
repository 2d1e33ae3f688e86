//! Tests of the test oracle, which must find each kind of violation, and none in a correct run.

use super::{Invariant, check, check_recovery};
use crate::recorder::{DiscoveryEffect, Event, FaultPhase, HealthProblem, Incarnation, ProcessEvent, Record};
use crate::request::{ConnectionId, RequestClass, RequestId, ResponseStatus};
use crate::timer_lag::TimerLag;
use std::time::Duration;

const REQUEST: RequestId = RequestId(7);
const CONNECTION: ConnectionId = ConnectionId(3);
const INCARNATION: Incarnation = Incarnation {
    scheduler: 0,
    generation: 1,
};
/// The end of every run in these tests.
const END: Duration = Duration::from_secs(20);

fn at(milliseconds: u64, event: Event) -> Record {
    Record {
        at: Duration::from_millis(milliseconds),
        event,
    }
}

/// Returns the record of a sent request with a timeout of one second.
fn sent_at(milliseconds: u64, request: RequestId, class: RequestClass) -> Record {
    let event = Event::RequestSent {
        request,
        class,
        timeout: Duration::from_millis(1_000),
        connection: CONNECTION,
        incarnation: INCARNATION,
    };
    at(milliseconds, event)
}

fn sent(class: RequestClass) -> Record {
    sent_at(1_000, REQUEST, class)
}

fn response(milliseconds: u64, status: ResponseStatus, body_matches: bool) -> Record {
    let event = Event::ResponseReceived {
        request: REQUEST,
        status,
        body_matches,
    };
    at(milliseconds, event)
}

fn attempt(milliseconds: u64, time_limit_ms: u64) -> Record {
    let event = Event::AttemptReceived {
        request: REQUEST,
        worker: 2,
        time_limit: Duration::from_millis(time_limit_ms),
        is_executed: true,
        is_undelayed: true,
    };
    at(milliseconds, event)
}

fn cancelled(milliseconds: u64) -> Record {
    at(milliseconds, Event::RequestCancelled { request: REQUEST })
}

fn process(milliseconds: u64, event: ProcessEvent) -> Record {
    let incarnation = INCARNATION;
    at(milliseconds, Event::Process { incarnation, event })
}

fn exited(milliseconds: u64, success: bool, was_requested: bool) -> Record {
    let event = ProcessEvent::Exited {
        success,
        was_requested,
    };
    process(milliseconds, event)
}

fn violated(records: &[Record]) -> Vec<Invariant> {
    let violations = check(records, END, &TimerLag::default());
    violations
        .into_iter()
        .map(|violation| violation.invariant)
        .collect()
}

#[test]
fn a_correct_run_violates_no_invariant() {
    let served = [
        sent(RequestClass::NonIdempotent),
        attempt(1_010, 995),
        response(1_050, ResponseStatus::Served, true),
    ];
    assert_eq!(violated(&served), []);
    let abandoned = [sent(RequestClass::Idempotent), cancelled(1_200)];
    assert_eq!(violated(&abandoned), []);
    let killed = [
        sent(RequestClass::Idempotent),
        process(1_300, ProcessEvent::Killed),
        exited(1_301, false, true),
    ];
    assert_eq!(violated(&killed), []);
    let connection = CONNECTION;
    let sent_before_close = [
        sent(RequestClass::Idempotent),
        at(1_030, Event::ConnectionClosed { connection }),
    ];
    assert_eq!(violated(&sent_before_close), []);
}

#[test]
fn a_partially_sent_request_needs_no_response() {
    assert_eq!(violated(&[attempt(1_010, 990)]), []);
    let many_attempts: Vec<Record> = (1..=5).map(|n| attempt(1_000 + n, 990)).collect();
    assert_eq!(violated(&many_attempts), [Invariant::AttemptLimit]);
}

#[test]
fn missing_late_duplicate_and_wrong_responses_are_violations() {
    let idempotent = || sent(RequestClass::Idempotent);
    let connection = CONNECTION;
    let closed = at(1_300, Event::ConnectionClosed { connection });
    let late = response(2_600, ResponseStatus::Failed, true);
    let served = || [attempt(1_010, 990), response(1_050, ResponseStatus::Served, true)];
    let [executed, first_response] = served();
    let duplicate = first_response.clone();
    let not_executed = response(1_050, ResponseStatus::Served, true);
    let wrong_body = response(1_050, ResponseStatus::Served, false);
    let cases = [
        (vec![idempotent()], Invariant::FinalResponse),
        (vec![idempotent(), closed], Invariant::FinalResponse),
        (vec![idempotent(), late], Invariant::ResponseDeadline),
        (
            vec![idempotent(), executed, first_response, duplicate],
            Invariant::SingleResponse,
        ),
        (vec![idempotent(), not_executed], Invariant::ResponseBody),
        (
            vec![idempotent(), attempt(1_010, 990), wrong_body],
            Invariant::ResponseBody,
        ),
    ];
    for (records, expected) in cases {
        assert_eq!(violated(&records), [expected], "{records:?}");
    }
}

#[test]
fn forbidden_attempts_are_violations() {
    let rejected = response(1_300, ResponseStatus::Rejected, true);
    let failed = || response(1_900, ResponseStatus::Failed, true);
    let retried = |class, milliseconds| {
        let retry = attempt(milliseconds, 100);
        vec![sent(class), attempt(1_010, 990), retry, failed()]
    };
    let many_attempts = (1..=5).map(|n| attempt(1_000 + n, 990));
    let many_attempts = std::iter::once(sent(RequestClass::Idempotent))
        .chain(many_attempts)
        .chain([failed()]);
    let cases = [
        (
            retried(RequestClass::NonIdempotent, 1_200),
            Invariant::RetrySafety,
        ),
        (
            retried(RequestClass::IdempotencyKey, 2_700),
            Invariant::RetrySafety,
        ),
        (
            vec![sent(RequestClass::NonIdempotent), attempt(1_010, 990), rejected],
            Invariant::RetrySafety,
        ),
        (
            vec![
                sent(RequestClass::Idempotent),
                cancelled(1_200),
                attempt(1_400, 500),
            ],
            Invariant::Cancellation,
        ),
        (
            vec![sent(RequestClass::Idempotent), attempt(1_500, 990), failed()],
            Invariant::TimeLimit,
        ),
        (many_attempts.collect(), Invariant::AttemptLimit),
    ];
    for (records, expected) in cases {
        assert_eq!(violated(&records), [expected], "{records:?}");
    }
}

#[test]
fn work_for_a_draining_worker_and_unrequested_or_failed_exits_are_violations() {
    let load_order = Event::LoadOrderReceived {
        worker: 2,
        is_undelayed: true,
    };
    let draining = at(1_000, Event::WorkerDraining { worker: 2 });
    let update_fault = |milliseconds, phase| {
        let event = Event::Fault {
            number: 0,
            description: String::new(),
            phase,
            discovery_effect: DiscoveryEffect::DelaysUpdates,
        };
        at(milliseconds, event)
    };
    let fault_started = update_fault(1_200, FaultPhase::Started);
    let fault_ended = update_fault(1_400, FaultPhase::Ended);
    let load_at = |milliseconds| at(milliseconds, load_order.clone());
    assert_eq!(violated(&[draining.clone(), load_at(1_500)]), []);
    assert_eq!(
        violated(&[draining.clone(), load_at(1_600)]),
        [Invariant::Draining]
    );
    let delayed = |milliseconds| {
        [
            draining.clone(),
            fault_started.clone(),
            fault_ended.clone(),
            load_at(milliseconds),
        ]
    };
    assert_eq!(violated(&delayed(5_400)), []);
    assert_eq!(violated(&delayed(5_700)), [Invariant::Draining]);
    assert_eq!(violated(&[exited(900, false, false)]), [Invariant::ProcessExit]);
    assert_eq!(violated(&[exited(900, false, true)]), [Invariant::ProcessExit]);
    let unhealthy = ProcessEvent::Unhealthy(HealthProblem::NotReadyInTime);
    assert_eq!(violated(&[process(900, unhealthy)]), [Invariant::ProcessHealth]);
}

/// In an outage, schedulers count as notified 4 s after its start; later changes count as known at once.
#[test]
fn drain_notifications_during_an_outage_count_from_the_start_of_the_outage() {
    let outage_fault = |milliseconds, phase| {
        let event = Event::Fault {
            number: 0,
            description: String::new(),
            phase,
            discovery_effect: DiscoveryEffect::Outage,
        };
        at(milliseconds, event)
    };
    // Two overlapping faults form one outage, from 1.0 s to 11.0 s.
    let started = outage_fault(1_000, FaultPhase::Started);
    let started_again = outage_fault(2_000, FaultPhase::Started);
    let ended_once = outage_fault(3_000, FaultPhase::Ended);
    let ended = outage_fault(11_000, FaultPhase::Ended);
    let load_order = |milliseconds| {
        let event = Event::LoadOrderReceived {
            worker: 2,
            is_undelayed: true,
        };
        at(milliseconds, event)
    };
    let cases = [
        (980, 5_550),
        (1_500, 5_550),
        (4_900, 5_550),
        (7_000, 7_550),
        (11_500, 12_050),
        (13_000, 13_550),
    ];
    for (drained_at, limit) in cases {
        for (dispatched_at, is_violation) in [(limit, false), (limit + 1, true)] {
            let mut records = vec![
                started.clone(),
                started_again.clone(),
                ended_once.clone(),
                ended.clone(),
                at(drained_at, Event::WorkerDraining { worker: 2 }),
                load_order(dispatched_at),
            ];
            records.sort_by_key(|record| record.at);
            let expected = if is_violation {
                vec![Invariant::Draining]
            } else {
                vec![]
            };
            assert_eq!(violated(&records), expected, "{drained_at} {dispatched_at}");
        }
    }
}

#[test]
fn service_that_does_not_recover_is_a_violation() {
    let clients_stopped_at = Duration::from_secs(10);
    let run = |requests: u64, served: u64| -> Vec<Record> {
        let sent = (0..requests).map(|n| sent_at(8_500 + n, RequestId(n), RequestClass::Idempotent));
        let responses = (0..served).map(|n| {
            let event = Event::ResponseReceived {
                request: RequestId(n),
                status: ResponseStatus::Served,
                body_matches: true,
            };
            at(9_000 + n, event)
        });
        sent.chain(responses).collect()
    };
    let recovery_of =
        |records: &[Record]| check_recovery(records, clients_stopped_at).map(|violation| violation.invariant);
    assert_eq!(recovery_of(&run(20, 10)), None);
    assert_eq!(recovery_of(&run(20, 9)), Some(Invariant::Recovery));
    assert_eq!(recovery_of(&run(19, 19)), Some(Invariant::Recovery));
}
