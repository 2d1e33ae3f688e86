//! The timer queue and the timers of the scheduler.

use super::*;
use crate::model::{LoadStatus, RequestId};

const REQUEST: RequestId = RequestId(3);
const ATTEMPT: AttemptId = AttemptId {
    request: REQUEST,
    number: 0,
};

fn fired(timers: &mut TimerQueue<Timer>, now: Time) -> Vec<Timer> {
    std::iter::from_fn(|| timers.pop_expired(now)).collect()
}

#[test]
fn timers_fire_in_the_order_of_their_expiry() {
    let mut timers = TimerQueue::default();
    timers.schedule(at_millis(2), Timer::Policy);
    timers.schedule(at_millis(1), Timer::HealthCheck(HealthCheckId(1)));
    timers.schedule(at_millis(3), Timer::Request(REQUEST));
    assert_eq!(timers.next_expiry(), Some(at_millis(1)));
    assert_eq!(fired(&mut timers, at_millis(0)), []);
    assert_eq!(
        fired(&mut timers, at_millis(2)),
        [Timer::HealthCheck(HealthCheckId(1)), Timer::Policy]
    );
    assert_eq!(timers.next_expiry(), Some(at_millis(3)));
}

#[test]
fn timers_of_one_expiry_fire_by_kind() {
    let by_kind = [
        Timer::Policy,
        Timer::Request(REQUEST),
        Timer::Attempt(ATTEMPT),
        Timer::LoadOrder(LoadOrderId(8)),
        Timer::HealthCheck(HealthCheckId(7)),
    ];
    let mut timers = TimerQueue::default();
    for timer in by_kind.iter().rev() {
        timers.schedule(at_millis(1), *timer);
    }
    assert_eq!(fired(&mut timers, at_millis(1)), by_kind);
}

#[test]
fn a_cancelled_timer_does_not_fire() {
    let mut timers = TimerQueue::default();
    timers.schedule(at_millis(1), Timer::Request(REQUEST));
    timers.schedule(at_millis(1), Timer::Attempt(ATTEMPT));
    timers.cancel(at_millis(1), Timer::Request(REQUEST));
    timers.cancel(at_millis(9), Timer::Attempt(ATTEMPT));
    assert_eq!(fired(&mut timers, at_millis(1)), [Timer::Attempt(ATTEMPT)]);
    assert_eq!(timers.next_expiry(), None);
}

#[test]
fn a_timer_scheduled_twice_for_one_time_fires_once() {
    let mut timers = TimerQueue::default();
    timers.schedule(at_millis(1), Timer::Policy);
    timers.schedule(at_millis(1), Timer::Policy);
    assert_eq!(fired(&mut timers, at_millis(1)), [Timer::Policy]);
}

/// Leftover timers would wake the event loop needlessly.
#[test]
fn ended_commands_leave_no_timer_behind() {
    let mut scheduler = test_scheduler();
    let sent = sent_attempt(&submit(&mut scheduler, 1, IDEMPOTENT_CLASS));
    let order = start_load_order(&mut scheduler, at_millis(0));
    scheduler.execute_action(at_millis(0), Action::HealthCheck { worker: sent.worker });
    let Some(Command::HealthCheck { check, .. }) = scheduler.next_command() else {
        panic!("no check")
    };

    scheduler.attempt_ended(at_millis(1), sent.id, Ok(WorkerResponse::Ok(vec![])));
    let loaded = LoadResult {
        status: LoadStatus::Ok,
        instances: 1,
    };
    scheduler.load_order_ended(at_millis(1), order, Ok(loaded));
    scheduler.health_check_ended(at_millis(1), check, Ok(()));
    let timers = fired(&mut scheduler.timers, DEADLINE + Span::from_millis(60_000));
    assert!(timers.iter().all(|timer| *timer == Timer::Policy), "{timers:?}");
}

/// Guards against a late timer that turns cancelled attempts into timeouts, which count as overload: the
/// scheduler then rejected requests without need.
#[test]
fn a_late_timer_has_the_same_effect_as_a_punctual_one() {
    const TICK_MILLIS: u64 = 2;
    let punctual = counters_after_a_burst(at_millis(3000 - TICK_MILLIS));
    assert_eq!(punctual.responses_rejected, BURST);
    assert!(punctual.attempts_cancelled > 0);
    for late_millis in [0, 3, 19, 400] {
        let late = counters_after_a_burst(at_millis(3000 + late_millis));
        assert_eq!(late, punctual, "{late_millis} ms after the deadline");
    }
}

/// Number of requests in a burst without worker responses; as timeouts, so many count as overload.
const BURST: u64 = 24;

/// Submits a burst of requests, fires the timers only at `fired_at`, which is around their deadline, and then
/// submits as many requests again. Returns the counters.
fn counters_after_a_burst(fired_at: Time) -> Counters {
    let mut scheduler = test_scheduler();
    for stream in 0..BURST {
        for command in submit(&mut scheduler, stream, IDEMPOTENT_CLASS) {
            if let Command::Send { attempt, .. } = command {
                scheduler.attempt_written(at_millis(1), attempt);
            }
        }
    }
    scheduler.fire_timers(fired_at);
    for stream in BURST..2 * BURST {
        let mut request = client_request(stream, IDEMPOTENT_CLASS);
        request.parameters.deadline = fired_at + Span::from_millis(2000);
        scheduler.submit(fired_at, request);
    }
    scheduler.counters().clone()
}
