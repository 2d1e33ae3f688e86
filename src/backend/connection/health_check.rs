//! What the health checks on a connection say of its worker.

use crate::model::Time;
use crate::scheduler::HealthCheckId;

/// What the last health check on a connection says.
///
/// This is no [`Phase`](super::phase::Phase): a health check may wait, and expire, also on a connection that is still
/// being established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::backend) enum HealthCheckState {
    /// No health check is outstanding, and nothing speaks against the connection.
    Responsive,
    /// The response to a health check is awaited.
    Outstanding {
        /// The health check.
        check: HealthCheckId,
        /// When it is no longer awaited.
        deadline: Time,
    },
    /// A health check got no response in time, and nothing has arrived since. A connection through a network
    /// partition stays established and silent, and is slow to recover after the partition. New commands take a new
    /// connection instead: if it is refused, this proves that nothing ran.
    Unresponsive,
}

impl HealthCheckState {
    /// Notes that something has arrived from the worker. A health check stays outstanding until its own response.
    pub(in crate::backend) fn record_input(&mut self) {
        if *self == HealthCheckState::Unresponsive {
            *self = HealthCheckState::Responsive;
        }
    }

    /// Ends the outstanding health check if its time has come, and returns it: the worker is unresponsive.
    pub(in crate::backend) fn expire(&mut self, now: Time) -> Option<HealthCheckId> {
        match *self {
            HealthCheckState::Outstanding { check, deadline } if deadline <= now => {
                *self = HealthCheckState::Unresponsive;
                Some(check)
            }
            _ => None,
        }
    }

    /// When the outstanding health check is no longer awaited.
    pub(in crate::backend) fn deadline(&self) -> Option<Time> {
        match self {
            HealthCheckState::Outstanding { deadline, .. } => Some(*deadline),
            HealthCheckState::Responsive | HealthCheckState::Unresponsive => None,
        }
    }
}
