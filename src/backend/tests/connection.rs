//! Tests of a connection's phases and of the state of its health checks.

use crate::backend::connection::health_check::HealthCheckState;
use crate::backend::connection::phase::Phase;
use crate::model::{Span, Time};
use crate::net::PartialMessage;
use crate::scheduler::HealthCheckId;

const START: Time = Time(1_000);
const LINE_TIMEOUT: Span = Span::from_millis(300);
const CHECK: HealthCheckId = HealthCheckId(4);

fn outstanding() -> HealthCheckState {
    HealthCheckState::Outstanding {
        check: CHECK,
        deadline: START,
    }
}

#[test]
fn a_connecting_connection_has_only_its_connect_deadline() {
    let mut phase = Phase::Connecting { deadline: START };
    phase.record_activity(Time(1));
    phase.track_line(PartialMessage::Begun, Time(1));
    assert_eq!(phase, Phase::Connecting { deadline: START });
    assert!(phase.is_connecting());
    assert_eq!((phase.deadline(), phase.last_activity()), (Some(START), None));
}

#[test]
fn an_established_connection_is_active_from_its_start() {
    let mut phase = Phase::established(START);
    assert!(!phase.is_connecting());
    assert_eq!((phase.deadline(), phase.last_activity()), (None, Some(START)));
    phase.record_activity(START + Span(1));
    assert_eq!(phase.last_activity(), Some(START + Span(1)));
}

#[test]
fn the_deadline_of_a_line_runs_from_its_first_input() {
    let mut phase = Phase::established(START);
    phase.track_line(PartialMessage::Continued, START);
    assert_eq!(phase.deadline(), Some(START + LINE_TIMEOUT));
    phase.track_line(PartialMessage::Continued, START + Span(1));
    assert_eq!(
        phase.deadline(),
        Some(START + LINE_TIMEOUT),
        "more of the same line"
    );
    phase.track_line(PartialMessage::Begun, START + Span(2));
    assert_eq!(
        phase.deadline(),
        Some(START + Span(2) + LINE_TIMEOUT),
        "the next line"
    );
    phase.track_line(PartialMessage::None, START + Span(3));
    assert_eq!(phase.deadline(), None, "no part of a line is left");
}

#[test]
fn an_expired_health_check_makes_a_connection_unresponsive_until_the_next_input() {
    let mut state = outstanding();
    assert_eq!(state.deadline(), Some(START));
    assert_eq!(state.expire(Time(START.0 - 1)), None);
    assert_eq!(state.expire(START), Some(CHECK));
    assert_eq!((state, state.deadline()), (HealthCheckState::Unresponsive, None));
    assert_eq!(state.expire(START), None, "a health check expires only once");
    state.record_input();
    assert_eq!(state, HealthCheckState::Responsive);
}

#[test]
fn other_input_leaves_a_health_check_outstanding() {
    let mut state = outstanding();
    state.record_input();
    assert_eq!(state, outstanding());
}
