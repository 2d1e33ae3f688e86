//! Outcomes: how attempts, load orders and health checks ended.

use super::{FunctionId, RequestId, Span, WorkerId};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    /// The worker served the request.
    Ok,
    /// The worker reported an error; the request may have run.
    Error,
    /// The worker rejected the request for lack of capacity; the request never ran.
    AtCapacity,
    /// There was no response in time; the request may have run or may still run.
    Timeout,
    /// No connection was established; the request never ran.
    ConnectFailed,
    /// The connection broke; the request may have run.
    Reset,
    /// The policy cancelled the attempt; the request may have run.
    Cancelled,
    /// The attempt reached its worker, or the simulator, after the request had ended or its time had
    /// passed; the request never ran.
    Expired,
    /// The attempt never left this process, because it was no longer admitted or no connection could be
    /// started. This says nothing about the worker.
    NotSent,
    /// The worker does not hold the function and is not loading it; the request never ran.
    Miss,
}

impl AttemptStatus {
    /// Returns whether this status proves that the request never ran in this attempt.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            AttemptStatus::AtCapacity
                | AttemptStatus::ConnectFailed
                | AttemptStatus::Expired
                | AttemptStatus::NotSent
                | AttemptStatus::Miss
        )
    }

    /// Returns whether the worker itself responded, which shows that it runs.
    pub fn is_response(self) -> bool {
        matches!(
            self,
            AttemptStatus::Ok | AttemptStatus::Error | AttemptStatus::AtCapacity | AttemptStatus::Miss
        )
    }
}

/// How a load order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadStatus {
    /// The instances are loaded.
    Ok,
    /// A load failed.
    Error,
    /// The worker has no memory for all instances, has too many loads queued, or is draining.
    AtCapacity,
    /// There was no response in time, or none that was usable.
    Timeout,
    /// No connection was established.
    ConnectFailed,
    /// The connection broke; the order may still be carried out.
    Reset,
    /// The load order never left this process. This says nothing about the worker.
    NotSent,
}

impl LoadStatus {
    /// Returns whether the worker itself responded.
    pub fn is_response(self) -> bool {
        matches!(self, LoadStatus::Ok | LoadStatus::Error | LoadStatus::AtCapacity)
    }
}

/// How a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthCheckStatus {
    /// The worker responded that it is alive.
    Alive,
    /// There was no response in time.
    Timeout,
    /// The worker could not be reached, or its response was not usable.
    Failed,
}

/// What a response says about the instance that served the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceState {
    /// The response does not say.
    Unknown,
    /// An instance was already loaded.
    Loaded,
    /// The request started a load.
    LoadStarted,
    /// The request waited for a load that had already been started.
    LoadAwaited,
    /// The instance could not be loaded.
    LoadFailed,
}

/// The outcome of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptOutcome {
    /// Request that the attempt belongs to.
    pub id: RequestId,
    /// Number of the attempt within its request, from 0.
    pub attempt: u16,
    /// How the attempt ended.
    pub status: AttemptStatus,
    /// Time since the attempt was sent.
    pub latency: Span,
    /// Whether the request has ended, with this attempt or earlier.
    pub request_finished: bool,
    /// What the response says about the instance.
    pub instance_state: InstanceState,
    /// Number of requests for the same function in flight at the worker when this one arrived.
    pub function_in_flight: u32,
    /// Load report of the worker, with values in the order of [`Settings::load_metrics`]; often empty.
    ///
    /// [`Settings::load_metrics`]: super::Settings::load_metrics
    pub load_report: Vec<f32>,
}

/// The outcome of a load order.
#[derive(Clone, Copy, Debug)]
pub struct LoadOutcome {
    /// Worker that received the load order.
    pub worker: WorkerId,
    /// Function that the load order was for.
    pub function: FunctionId,
    /// Number of instances that are now loaded on the worker; 0 if there was no response.
    pub instances: u32,
    /// How the load order ended.
    pub status: LoadStatus,
    /// Time since the load order was sent.
    pub latency: Span,
}
