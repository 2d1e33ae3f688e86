//! Actions: what the policy wants done.

use super::{FunctionId, RequestId, Span, WorkerId};

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionCause {
    /// The workers could not serve it in time.
    NotServed,
    /// The endpoint list is stale, and no worker is confirmed to take new work.
    NoConfirmedWorker,
}

/// What the policy decides on: the border between the policy and its host, which is the scheduler on real sockets or
/// the adapter to the simulator. The host executes actions in the order in which the policy gives them.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt to a worker. The attempts of a request are numbered from 0, in the order of these
    /// actions.
    Send {
        /// The request.
        id: RequestId,
        /// The worker.
        worker: WorkerId,
        /// Time limit of the attempt.
        timeout: Span,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u16,
    },
    /// Give the final response: rejected, and a retry is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client should wait before it retries; zero for no advice.
        retry_after: Span,
        /// Why it is rejected.
        cause: RejectionCause,
    },
    /// Give the final response: failed, and the request may have run.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Have a worker hold at least `instances` loaded instances of a function.
    Load {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// How many instances.
        instances: u8,
    },
    /// Have a worker unload the idle instances of a function.
    Unload {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
    },
    /// Check whether a worker is healthy.
    HealthCheck {
        /// The worker.
        worker: WorkerId,
    },
    /// Send [`Event::TimerFired`](super::Event::TimerFired) after a delay.
    SetTimer {
        /// The delay, from now.
        delay: Span,
    },
    /// Subscribe to changes of the endpoint list.
    Subscribe,
}

impl Action {
    /// The action that has a worker hold a loaded instance of a function.
    pub fn load_one(worker: WorkerId, function: FunctionId) -> Action {
        Action::Load {
            worker,
            function,
            instances: 1,
        }
    }
}
