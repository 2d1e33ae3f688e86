//! Since when a client may have waited to be accepted.

use crate::model::{Span, Time};
use crate::server::accept_wait::AcceptWait;

fn at(milliseconds: u64) -> Time {
    Time(0) + Span::from_millis(milliseconds)
}

#[test]
fn a_client_has_waited_since_the_first_interruption() {
    let mut wait = AcceptWait::default();
    assert_eq!(wait.record_accepted(), None);
    wait.record_interruption(at(10));
    wait.record_interruption(at(60));
    assert_eq!(wait.record_accepted(), Some(at(10)));
    wait.record_interruption(at(70));
    assert_eq!(wait.record_accepted(), Some(at(10)));
    wait.record_empty();
    assert_eq!(wait.record_accepted(), None);
}

/// Guards against requests of new clients that are dated long before they connected, and refused as overdue, while
/// bad clients connect without a pause (second review, "Seen, and no case").
#[test]
fn a_client_has_not_waited_for_longer_than_a_full_queue() {
    let mut wait = AcceptWait::default();
    let mut since = None;
    for turn in 0..1_000 {
        for _ in 0..32 {
            since = wait.record_accepted();
        }
        wait.record_interruption(at(turn));
    }
    // 4,096 clients are 128 turns.
    let turns_ago = at(999) - since.expect("clients have waited since the first turn");
    assert!(turns_ago >= Span::from_millis(128), "{turns_ago:?}");
    assert!(turns_ago <= Span::from_millis(131), "{turns_ago:?}");
}
