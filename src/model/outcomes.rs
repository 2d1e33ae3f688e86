//! Outcomes: how attempts, load orders and health checks ended.

use super::{FunctionId, RequestId, Span, WorkerId};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    /// The worker served it.
    Ok,
    /// The worker reported an error; the request may have run.
    Error,
    /// The worker rejected it for lack of capacity; the request never ran.
    AtCapacity,
    /// There was no response in time; the request may have run or may still run.
    Timeout,
    /// No connection was established; the request never ran.
    ConnectFailed,
    /// The connection broke; the request may have run.
    Reset,
    /// The policy cancelled it; the request may have run.
    Cancelled,
    /// It reached its worker, or the simulator, too late: the request had ended or its time had passed. The request
    /// never ran.
    Expired,
    /// It never left this process: it was no longer admitted, or no connection could be begun. This says nothing of
    /// the worker.
    NotSent,
    /// The worker does not hold the function and is not loading it; the request never ran.
    Miss,
}

impl AttemptStatus {
    /// Whether this status proves that the request never ran in this attempt.
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

    /// Whether it shows that the worker runs: the worker itself responded.
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
    /// There was no response in time, or none that could be used.
    Timeout,
    /// No connection was established.
    ConnectFailed,
    /// The connection broke; the order may still be carried out.
    Reset,
    /// It never left this process. This says nothing of the worker.
    NotSent,
}

impl LoadStatus {
    /// Whether the worker itself responded.
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
    /// The worker could not be reached, or its response could not be used.
    Failed,
}

/// What a response says about the instance that served the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceState {
    /// Nothing.
    Unknown,
    /// An instance was loaded already.
    Loaded,
    /// The request started a load.
    LoadStarted,
    /// The request waited for a load that had been started before.
    LoadAwaited,
    /// The load failed.
    LoadFailed,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptOutcome {
    /// The request.
    pub id: RequestId,
    /// The attempt's number, from 0.
    pub attempt: u16,
    /// How it ended.
    pub status: AttemptStatus,
    /// Time since it was sent.
    pub latency: Span,
    /// Whether the request has ended, with this attempt or before.
    pub request_finished: bool,
    /// What the response says about the instance.
    pub instance_state: InstanceState,
    /// Requests for the same function in flight at the worker when this one arrived.
    pub function_in_flight: u32,
    /// The worker's load report, its values in the order of [`Settings::load_metrics`]; often empty.
    ///
    /// [`Settings::load_metrics`]: super::Settings::load_metrics
    pub load_report: Vec<f32>,
}

/// The end of a load order.
#[derive(Clone, Copy, Debug)]
pub struct LoadOutcome {
    /// The worker.
    pub worker: WorkerId,
    /// The function.
    pub function: FunctionId,
    /// Instances that are loaded there now; 0 where there was no response.
    pub instances: u32,
    /// How it ended.
    pub status: LoadStatus,
    /// Time since it was sent.
    pub latency: Span,
}
