//! Tests of the order in which connections handle their input, on a virtual clock.

use super::super::fair_queue::FairQueue;
use super::super::input_credit::InputCredit;
use crate::model::{ConnectionId, Span};

/// Time that a cheap message takes, and a pause of the process that falls into a message.
const CHEAP: Span = Span::from_micros(20);
const PAUSE: Span = Span::from_millis(300);

/// Guards against a connection that pays for a pause of the process in its callback (second review, case 7).
#[test]
fn a_pause_costs_a_connection_a_bounded_number_of_turns() {
    let mut queue = FairQueue::default();
    let (paused, other) = (ConnectionId(1), ConnectionId(2));
    queue.join(paused);
    let turn = queue.next_turn().expect("it has input");
    assert!(!queue.charge(paused, PAUSE));
    queue.end_turn(turn, true);
    queue.join(other);
    let mut turns_of_other = 0;
    while let Some(turn) = queue.next_turn()
        && turn.id == other
    {
        turns_of_other += 1;
        queue.charge(other, CHEAP);
        queue.end_turn(turn, true);
    }
    assert!(
        turns_of_other <= 2 * InputCredit::MAX_GRANTS_TO_CREDIT,
        "{turns_of_other}"
    );
}
