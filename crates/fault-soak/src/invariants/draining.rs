//! B5: a draining worker gets no new work.

use super::history::{Dispatch, Drain, RunHistory};
use super::{Invariant, SOCKET_TOLERANCE, Violation};
use crate::environment::settings::DRAIN_GRACE;
use crate::recorder::FaultPhase;
use crate::timer_lag::TimerLag;
use std::time::Duration;

/// A scheduler counts as notified of a change this long after it, whatever is wrong with discovery (page TERMS).
const MAX_NOTIFICATION_DELAY: Duration = Duration::from_secs(4);

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
    let notified_at = drain.started_at + notification_delay(history, drain.started_at, dispatch.at);
    let limit = notified_at + DRAIN_GRACE + SOCKET_TOLERANCE + timer_lag.around(dispatch.at);
    let was_ready_again = drain.ready_at.is_some_and(|ready_at| dispatch.at >= ready_at);
    dispatch.is_undelayed && dispatch.at > limit && !was_ready_again
}

/// How long after a change of the endpoint list every scheduler counts as notified, at the time of a dispatch.
fn notification_delay(history: &RunHistory, changed_at: Duration, dispatched_at: Duration) -> Duration {
    let mut active_faults = 0;
    for fault in &history.endpoint_update_faults {
        if fault.at > dispatched_at {
            break;
        }
        match fault.phase {
            FaultPhase::Started => active_faults += 1,
            FaultPhase::Ended => active_faults -= 1,
        }
        let is_recent = fault.at + MAX_NOTIFICATION_DELAY > changed_at;
        if is_recent {
            return MAX_NOTIFICATION_DELAY;
        }
    }
    if active_faults > 0 {
        MAX_NOTIFICATION_DELAY
    } else {
        Duration::ZERO
    }
}
