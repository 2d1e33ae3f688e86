//! Actions: the output of the policy.

use super::{FunctionId, RequestId, Span, WorkerId};

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionCause {
    /// The workers could not serve the request in time.
    NotServed,
    /// The endpoint list is stale, and no worker is confirmed to accept new work.
    NoConfirmedWorker,
}

/// An action that the policy orders its host to execute.
///
/// The host is either the scheduler on real sockets or the adapter to the simulator. It executes actions in
/// the order in which the policy returns them.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends an attempt to a worker. The attempts of a request are numbered from 0 in the order of these
    /// actions.
    Send {
        /// Request that the attempt belongs to.
        id: RequestId,
        /// Worker that receives the attempt.
        worker: WorkerId,
        /// Time limit of the attempt.
        timeout: Span,
    },
    /// Cancels an attempt.
    Cancel {
        /// Request that the attempt belongs to.
        id: RequestId,
        /// Number of the attempt within its request.
        attempt: u16,
    },
    /// Sends the final response that the request is rejected and may safely be retried.
    Reject {
        /// Request to reject.
        id: RequestId,
        /// How long the client should wait before it retries; zero gives no advice.
        retry_after: Span,
        /// Why the request is rejected.
        cause: RejectionCause,
    },
    /// Sends the final response that the request failed and may have run.
    Fail {
        /// Request that failed.
        id: RequestId,
    },
    /// Orders a worker to hold at least `instances` loaded instances of a function.
    Load {
        /// Worker that receives the load order.
        worker: WorkerId,
        /// Function to load.
        function: FunctionId,
        /// Number of instances.
        instances: u8,
    },
    /// Orders a worker to unload the idle instances of a function.
    Unload {
        /// Worker that unloads the instances.
        worker: WorkerId,
        /// Function whose idle instances are unloaded.
        function: FunctionId,
    },
    /// Checks whether a worker is alive.
    HealthCheck {
        /// Worker to check.
        worker: WorkerId,
    },
    /// Requests an [`Event::TimerFired`](super::Event::TimerFired) after a delay.
    SetTimer {
        /// The delay, from now.
        delay: Span,
    },
    /// Subscribes to changes of the endpoint list.
    Subscribe,
}

impl Action {
    /// Returns the action that orders a worker to hold at least one loaded instance of a function.
    pub fn load_one(worker: WorkerId, function: FunctionId) -> Action {
        Action::Load {
            worker,
            function,
            instances: 1,
        }
    }
}
