//! Requests, worker responses and final responses that frontends, scheduler and backend exchange.
//!
//! A *request* ends once, with an [`Outcome`] that its client receives in a [`Response`]. A request has any
//! number of *attempts*, including none. Each attempt ends with a [`WorkerResponse`] or a failure, which the
//! policy receives as an [`AttemptOutcome`](crate::model::AttemptOutcome).

use super::RequestOrigin;
use crate::model::{AttemptStatus, FunctionId, LoadStatus, Span, Time};

/// The parameters of a client's request.
#[derive(Clone, Debug)]
pub struct RequestParameters {
    /// Name of the request class.
    pub class: String,
    /// The requested function.
    pub function: FunctionId,
    /// Idempotency key, for keyed classes only. All of a client's retries of one request carry the same key.
    pub key: Option<String>,
    /// Memory that one loaded instance takes, in MB.
    pub memory_mb: f64,
    /// Number of requests that one instance runs at a time.
    pub concurrency: f64,
    /// Typical time to load the function, if known.
    pub load_time: Option<Span>,
    /// When the client stops waiting.
    pub deadline: Time,
    /// Request body, which workers receive unchanged.
    pub body: Vec<u8>,
}

impl RequestParameters {
    /// Creates parameters without an idempotency key, for a function whose memory, concurrency and load time
    /// are not known.
    pub fn new(class: &str, function: FunctionId, deadline: Time, body: Vec<u8>) -> RequestParameters {
        RequestParameters {
            class: class.to_owned(),
            function,
            key: None,
            memory_mb: 0.0,
            concurrency: 1.0,
            load_time: None,
            deadline,
            body,
        }
    }
}

/// A request that a client connection submits.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Where the final response goes.
    pub origin: RequestOrigin,
    /// The client's id for this request, passed to workers unchanged.
    pub correlation_id: String,
    /// The parameters of the request.
    pub parameters: RequestParameters,
}

/// The part of a request that each attempt sends to a worker.
#[derive(Debug)]
pub struct RequestPayload {
    /// The client's id for this request.
    pub correlation_id: String,
    /// Name of the request class.
    pub class: String,
    /// The requested function.
    pub function: FunctionId,
    /// Idempotency key, for keyed classes only.
    pub key: Option<String>,
    /// Request body for the worker.
    pub body: Vec<u8>,
}

/// A worker's response to an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerResponse {
    /// Success, with the response body.
    Ok(Vec<u8>),
    /// The function is not loaded on the worker; the request never ran.
    Miss,
    /// Rejected for lack of capacity; the request never ran.
    AtCapacity,
    /// An error; the request may have run.
    Error,
    /// The request expired before it ran.
    Expired,
}

impl WorkerResponse {
    /// Returns the status of an attempt that received this response.
    pub fn attempt_status(&self) -> AttemptStatus {
        match self {
            WorkerResponse::Ok(_) => AttemptStatus::Ok,
            WorkerResponse::Miss => AttemptStatus::Miss,
            WorkerResponse::AtCapacity => AttemptStatus::AtCapacity,
            WorkerResponse::Error => AttemptStatus::Error,
            WorkerResponse::Expired => AttemptStatus::Expired,
        }
    }

    /// Returns the status of a load order that received this response.
    ///
    /// The protocol defines neither a miss nor an expiry for load orders. A miss counts as a missing
    /// response, and an expiry does not count against the worker.
    pub fn load_status(&self) -> LoadStatus {
        match self {
            WorkerResponse::Ok(_) => LoadStatus::Ok,
            WorkerResponse::Miss => LoadStatus::Timeout,
            WorkerResponse::AtCapacity => LoadStatus::AtCapacity,
            WorkerResponse::Error => LoadStatus::Error,
            WorkerResponse::Expired => LoadStatus::NotSent,
        }
    }
}

/// One value of the load report in a worker's response.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportedMetric {
    /// The name of the metric in the settings.
    pub name: String,
    /// The value, finite and not negative.
    pub value: f32,
}

/// The result of a load order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadResult {
    /// The status that the order ended with.
    pub status: LoadStatus,
    /// Number of instances loaded after the order.
    pub instances: u32,
}

impl LoadResult {
    /// Creates the result of an order after which no instance is known to be loaded.
    pub(super) fn without_instances(status: LoadStatus) -> LoadResult {
        LoadResult { status, instances: 0 }
    }
}

/// The outcome of a request, as reported to its client. The outcome of a single attempt is an
/// [`AttemptOutcome`](crate::model::AttemptOutcome).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served, with a worker's response body.
    Served(Vec<u8>),
    /// Not executed; the client may safely retry after `retry_after`.
    Rejected {
        /// Time that the client should wait before a retry; zero gives no advice.
        retry_after: Span,
    },
    /// Failed; the request may or may not have run.
    Failed,
}

impl Outcome {
    /// Returns the name of the outcome in log lines.
    pub(super) fn name(&self) -> &'static str {
        match self {
            Outcome::Served(_) => "served",
            Outcome::Rejected { .. } => "rejected",
            Outcome::Failed => "failed",
        }
    }
}

/// The final response to a request: its outcome and what else the frontend needs to encode it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The outcome of the request.
    pub outcome: Outcome,
    /// Whether the request ended because its deadline had passed.
    pub expired: bool,
}
