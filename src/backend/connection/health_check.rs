//! The state of the health checks on a connection.

use crate::model::Time;
use crate::scheduler::HealthCheckId;

/// The state of the health checks on a connection.
///
/// It is separate from [`Phase`](super::phase::Phase), because a health check can also be queued, and expire,
/// while the connection is still being established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::backend) enum HealthCheckState {
    /// No health check is outstanding, and none has expired since input last arrived.
    Responsive,
    /// A health check is waiting for its response.
    Outstanding {
        /// Id by which the result of the health check is reported.
        check: HealthCheckId,
        /// Time at which the health check expires.
        deadline: Time,
    },
    /// A health check expired, and nothing has been received since. During a network partition, a connection
    /// stays established without delivering anything, and it recovers slowly afterwards. New commands
    /// therefore use a new connection: if that one is refused, the command has certainly not been executed.
    Unresponsive,
}

impl HealthCheckState {
    /// Records that input has arrived from the worker. An outstanding health check still waits for its own
    /// response.
    pub(in crate::backend) fn record_input(&mut self) {
        if *self == HealthCheckState::Unresponsive {
            *self = HealthCheckState::Responsive;
        }
    }

    /// Ends the outstanding health check and returns it if its deadline has passed. The connection is then
    /// [`Unresponsive`](HealthCheckState::Unresponsive).
    pub(in crate::backend) fn expire(&mut self, now: Time) -> Option<HealthCheckId> {
        match *self {
            HealthCheckState::Outstanding { check, deadline } if deadline <= now => {
                *self = HealthCheckState::Unresponsive;
                Some(check)
            }
            _ => None,
        }
    }

    /// Returns when the outstanding health check expires.
    pub(in crate::backend) fn deadline(&self) -> Option<Time> {
        match self {
            HealthCheckState::Outstanding { deadline, .. } => Some(*deadline),
            HealthCheckState::Responsive | HealthCheckState::Unresponsive => None,
        }
    }
}
