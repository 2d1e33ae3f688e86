//! Tests of the phases of a graceful shutdown.

use crate::model::{Span, Time};
use crate::server::shutdown_phases::{PendingWork, Shutdown, ShutdownPhase};

const BEGAN_AT: Time = Time(1_000_000_000);
const LONGEST_DEADLINE: Span = Span::from_millis(3_000);
const IDLE: PendingWork = PendingWork {
    open_requests: 0,
    has_unsent_output: false,
    last_poll_was_empty: true,
};
const ONE_REQUEST: PendingWork = PendingWork {
    open_requests: 1,
    ..IDLE
};
const UNSENT_OUTPUT: PendingWork = PendingWork {
    has_unsent_output: true,
    ..IDLE
};
const BUSY_SOCKETS: PendingWork = PendingWork {
    last_poll_was_empty: false,
    ..IDLE
};

/// Returns the time this many milliseconds after the start of the shutdown.
fn after(milliseconds: u64) -> Time {
    BEGAN_AT + Span::from_millis(milliseconds)
}

fn flushing_until(milliseconds: u64) -> ShutdownPhase {
    ShutdownPhase::Flushing {
        deadline: after(milliseconds),
    }
}

/// Advances the shutdown until its phase no longer changes, and returns the phases entered.
fn advance(shutdown: &mut Shutdown, milliseconds: u64, pending_work: PendingWork) -> Vec<ShutdownPhase> {
    std::iter::from_fn(|| shutdown.advance(after(milliseconds), pending_work)).collect()
}

#[test]
fn clients_are_notified_again_and_nothing_ends_before_the_grace_period() {
    let mut shutdown = Shutdown::new(BEGAN_AT, LONGEST_DEADLINE);
    assert_eq!(advance(&mut shutdown, 0, IDLE), []);
    assert_eq!(advance(&mut shutdown, 699, IDLE), []);
    assert_eq!(advance(&mut shutdown, 700, IDLE), [ShutdownPhase::LateRequests]);
    assert_eq!(advance(&mut shutdown, 1_199, IDLE), []);
    let phases = [
        ShutdownPhase::Draining,
        flushing_until(1_700),
        ShutdownPhase::Complete,
    ];
    assert_eq!(advance(&mut shutdown, 1_200, IDLE), phases);
}

#[test]
fn a_late_advance_enters_every_phase_in_order() {
    let phases = [
        ShutdownPhase::LateRequests,
        ShutdownPhase::Draining,
        flushing_until(1_700),
        ShutdownPhase::Complete,
    ];
    let mut shutdown = Shutdown::new(BEGAN_AT, LONGEST_DEADLINE);
    advance(&mut shutdown, 0, IDLE);
    assert_eq!(advance(&mut shutdown, 1_300, IDLE), phases);
}

#[test]
fn open_requests_are_waited_for_without_limit() {
    let mut shutdown = Shutdown::new(BEGAN_AT, LONGEST_DEADLINE);
    advance(&mut shutdown, 750, ONE_REQUEST);
    assert_eq!(
        advance(&mut shutdown, 1_200, ONE_REQUEST),
        [ShutdownPhase::Draining]
    );
    assert_eq!(advance(&mut shutdown, 60_000, ONE_REQUEST), []);
    let phases = [flushing_until(60_600), ShutdownPhase::Complete];
    assert_eq!(advance(&mut shutdown, 60_100, IDLE), phases);
}

#[test]
fn unsent_output_is_waited_for_until_the_flush_timeout() {
    let mut shutdown = Shutdown::new(BEGAN_AT, LONGEST_DEADLINE);
    advance(&mut shutdown, 1_200, ONE_REQUEST);
    assert_eq!(
        advance(&mut shutdown, 2_000, UNSENT_OUTPUT),
        [flushing_until(2_500)]
    );
    assert_eq!(advance(&mut shutdown, 2_499, UNSENT_OUTPUT), []);
    assert_eq!(
        advance(&mut shutdown, 2_500, UNSENT_OUTPUT),
        [ShutdownPhase::Complete]
    );
}

#[test]
fn the_flush_timeout_counts_from_the_end_of_the_grace_period_at_the_earliest() {
    let mut shutdown = Shutdown::new(BEGAN_AT, LONGEST_DEADLINE);
    advance(&mut shutdown, 100, UNSENT_OUTPUT);
    let phases = [
        ShutdownPhase::LateRequests,
        ShutdownPhase::Draining,
        flushing_until(1_700),
    ];
    assert_eq!(advance(&mut shutdown, 1_300, UNSENT_OUTPUT), phases);
}

#[test]
fn sockets_with_input_are_polled_once_more() {
    let mut shutdown = Shutdown::new(BEGAN_AT, LONGEST_DEADLINE);
    advance(&mut shutdown, 1_200, BUSY_SOCKETS);
    assert_eq!(advance(&mut shutdown, 1_201, BUSY_SOCKETS), []);
    assert_eq!(advance(&mut shutdown, 1_202, IDLE), [ShutdownPhase::Complete]);
}

#[test]
fn a_request_that_comes_while_flushing_is_drained_too() {
    let mut shutdown = Shutdown::new(BEGAN_AT, LONGEST_DEADLINE);
    advance(&mut shutdown, 1_200, UNSENT_OUTPUT);
    assert_eq!(
        advance(&mut shutdown, 1_300, ONE_REQUEST),
        [ShutdownPhase::Draining]
    );
    assert_eq!(advance(&mut shutdown, 1_900, ONE_REQUEST), []);
    assert_eq!(
        advance(&mut shutdown, 2_000, UNSENT_OUTPUT),
        [flushing_until(2_500)]
    );
}

#[test]
fn timers_follow_the_phases() {
    let mut shutdown = Shutdown::new(BEGAN_AT, LONGEST_DEADLINE);
    assert_eq!(shutdown.next_timer(after(0), false), Some(after(700)));
    advance(&mut shutdown, 750, ONE_REQUEST);
    assert_eq!(shutdown.next_timer(after(751), false), Some(after(1_200)));
    advance(&mut shutdown, 1_200, ONE_REQUEST);
    assert_eq!(
        shutdown.next_timer(after(1_201), false),
        None,
        "requests end by their own timers"
    );
    advance(&mut shutdown, 2_000, UNSENT_OUTPUT);
    assert_eq!(shutdown.next_timer(after(2_001), true), Some(after(2_500)));
    assert_eq!(
        shutdown.next_timer(after(2_001), false),
        Some(after(2_001)),
        "one more poll"
    );
}

/// The process may be killed 0.7 s after the longest deadline, which counts as at most 3 s.
#[test]
fn a_shutdown_ends_before_the_process_may_be_killed() {
    for (longest_deadline, killed_after) in [(300, 1_000), (1_000, 1_700), (3_000, 3_700), (60_000, 3_700)] {
        let mut shutdown = Shutdown::new(BEGAN_AT, Span::from_millis(longest_deadline));
        assert!(
            shutdown.late_requests_end() < after(killed_after),
            "{longest_deadline}"
        );
        // A client sends continuously, and its requests are answered immediately.
        let phases = advance(&mut shutdown, killed_after - 50, BUSY_SOCKETS);
        let last = phases.last().copied();
        let is_over = last == Some(ShutdownPhase::Complete)
            || !advance(&mut shutdown, killed_after - 49, BUSY_SOCKETS).is_empty();
        assert!(is_over, "{longest_deadline}: {phases:?}");
    }
}

#[test]
fn with_short_deadlines_the_grace_period_ends_before_the_kill() {
    let mut shutdown = Shutdown::new(BEGAN_AT, Span::from_millis(100));
    assert_eq!(shutdown.next_timer(after(0), false), Some(after(700)));
    assert_eq!(advance(&mut shutdown, 699, IDLE), []);
    let phases = [
        ShutdownPhase::LateRequests,
        ShutdownPhase::Draining,
        flushing_until(700),
        ShutdownPhase::Complete,
    ];
    assert_eq!(advance(&mut shutdown, 700, IDLE), phases);
}

/// According to the page PROTOCOL, requests come for up to 0.6 s after SIGTERM. The margin before the kill
/// must not shorten their deadlines, however short these are.
#[test]
fn requests_end_before_the_kill_and_early_ones_keep_their_deadline() {
    for longest_deadline in [50, 100, 300, 1_500, 3_000] {
        let shutdown = Shutdown::new(BEGAN_AT, Span::from_millis(longest_deadline));
        let ends_at = shutdown.requests_end();
        assert!(ends_at >= after(600 + longest_deadline), "{longest_deadline}");
        assert!(ends_at < after(700 + longest_deadline), "{longest_deadline}");
    }
    for longest_deadline in [4_000, 6_000, 8_000, 60_000] {
        let shutdown = Shutdown::new(BEGAN_AT, Span::from_millis(longest_deadline));
        assert!(shutdown.requests_end() < after(3_700), "{longest_deadline}");
    }
}
