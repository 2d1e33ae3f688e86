//! B5: a draining worker gets no new attempts or load orders.

use super::history::{Dispatch, Drain, RunHistory};
use super::{Invariant, SOCKET_TOLERANCE, Violation};
use crate::environment::settings::DRAIN_GRACE;
use crate::recorder::FaultPhase;
use crate::timer_lag::TimerLag;
use std::time::Duration;

/// The maximum notification delay. When this time has passed since a change, a scheduler counts as notified
/// of the change, even if discovery fails (page TERMS).
const MAX_NOTIFICATION_DELAY: Duration = Duration::from_secs(4);

/// The time that a change takes to reach every scheduler that watches the endpoint list. An outage that
/// begins within this time after a change may prevent the notification.
const DELIVERY_TIME: Duration = Duration::from_millis(50);
/// The time that the schedulers take to reconnect to discovery after an outage.
const RECONNECT_TIME: Duration = Duration::from_millis(600);

pub(super) fn check(history: &RunHistory, timer_lag: &TimerLag) -> Vec<Violation> {
    let mut violations = Vec::new();
    for dispatch in &history.dispatches {
        let drains = history.drains.get(&dispatch.worker).into_iter().flatten();
        let violated = drains.filter(|drain| is_violation(dispatch, drain, history, timer_lag));
        violations.extend(violated.map(|drain| {
            let details = format!("worker {} drains since {:?}", dispatch.worker, drain.started_at);
            Violation::new(Invariant::Draining, dispatch.at, details)
        }));
    }
    violations
}

fn is_violation(dispatch: &Dispatch, drain: &Drain, history: &RunHistory, timer_lag: &TimerLag) -> bool {
    let notified_at = notified_at(history, drain.started_at, dispatch.at);
    let limit = notified_at + DRAIN_GRACE + SOCKET_TOLERANCE + timer_lag.max_near(dispatch.at);
    let was_ready_again = drain.ready_at.is_some_and(|ready_at| dispatch.at >= ready_at);
    dispatch.is_undelayed && dispatch.at > limit && !was_ready_again
}

/// Returns when every scheduler counts as notified of a change of the endpoint list, in view of the faults up
/// to a dispatch.
///
/// For a change that is published during an outage, [`MAX_NOTIFICATION_DELAY`] counts from the start of the
/// outage. If it has passed when the change is published, the schedulers count as notified at once.
fn notified_at(history: &RunHistory, changed_at: Duration, dispatched_at: Duration) -> Duration {
    let mut outages = history.outages.iter().rev();
    let outage = outages.find(|outage| {
        outage.includes(changed_at, RECONNECT_TIME)
            || outage.includes(changed_at + DELIVERY_TIME, Duration::ZERO)
    });
    match outage {
        Some(outage) => changed_at.max(outage.started_at + MAX_NOTIFICATION_DELAY),
        None if is_delayed(history, changed_at, dispatched_at) => changed_at + MAX_NOTIFICATION_DELAY,
        None => changed_at,
    }
}

/// Returns whether a fault other than an outage may delay the notification of a change of the endpoint list.
fn is_delayed(history: &RunHistory, changed_at: Duration, dispatched_at: Duration) -> bool {
    let mut active_faults = 0;
    for fault in &history.endpoint_update_faults {
        if fault.at > dispatched_at {
            break;
        }
        match fault.phase {
            FaultPhase::Started => active_faults += 1,
            FaultPhase::Ended => active_faults -= 1,
        }
        if fault.at + MAX_NOTIFICATION_DELAY > changed_at {
            return true;
        }
    }
    active_faults > 0
}
