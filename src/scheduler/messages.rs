//! Requests, workers' responses and final responses, as frontends, scheduler and backend exchange them.
//!
//! Ends come in two kinds. A *request* ends once, with an [`Outcome`], which its client receives within a [`Response`].
//! An *attempt* of it ends with a [`WorkerResponse`] or a failure, of which the policy is notified as an
//! [`AttemptOutcome`](crate::model::AttemptOutcome); a request may have several attempts, or none.

use super::RequestOrigin;
use crate::model::{AttemptStatus, FunctionId, LoadStatus, Span, Time};

/// What a client asks for.
#[derive(Clone, Debug)]
pub struct RequestParameters {
    /// Name of the request class.
    pub class: String,
    /// The requested function.
    pub function: FunctionId,
    /// Idempotency key, in keyed classes: the same in all of a client's retries of one request.
    pub key: Option<String>,
    /// Memory of one loaded instance, in MB.
    pub memory_mb: f64,
    /// Requests that one instance runs at a time.
    pub concurrency: f64,
    /// Usual time to load the function, where known.
    pub load_time: Option<Span>,
    /// When the client stops waiting.
    pub deadline: Time,
    /// The body.
    pub body: Vec<u8>,
}

impl RequestParameters {
    /// A request without an idempotency key, for a function of which nothing more is known.
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

/// A request as a client's connection submits it.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Where the final response goes.
    pub origin: RequestOrigin,
    /// The client's id for this request; workers get it unchanged.
    pub correlation_id: String,
    /// What is asked for.
    pub parameters: RequestParameters,
}

/// The part of a request that every attempt carries to a worker.
#[derive(Debug)]
pub struct RequestPayload {
    /// The client's id for this request.
    pub correlation_id: String,
    /// Name of the request class.
    pub class: String,
    /// The requested function.
    pub function: FunctionId,
    /// Idempotency key, in keyed classes.
    pub key: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

/// A worker's response to an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerResponse {
    /// Served, with the response body.
    Ok(Vec<u8>),
    /// The function is not loaded there; the request never ran.
    Miss,
    /// Rejected for lack of capacity; the request never ran.
    AtCapacity,
    /// Failed; the request may have run.
    Error,
    /// The request was over before it ran.
    Expired,
}

impl WorkerResponse {
    /// The status of the attempt that got this response.
    pub fn attempt_status(&self) -> AttemptStatus {
        match self {
            WorkerResponse::Ok(_) => AttemptStatus::Ok,
            WorkerResponse::Miss => AttemptStatus::Miss,
            WorkerResponse::AtCapacity => AttemptStatus::AtCapacity,
            WorkerResponse::Error => AttemptStatus::Error,
            WorkerResponse::Expired => AttemptStatus::Expired,
        }
    }

    /// The status of the load order that got this response. The protocol gives load orders neither a miss, which
    /// counts as no answer, nor an expiry, which says nothing of the worker.
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

/// One value of the load report that comes with a worker's response.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportedMetric {
    /// The metric's name, as in the settings.
    pub name: String,
    /// Its value, finite and not negative.
    pub value: f32,
}

/// A worker's response to a load order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadResult {
    /// How the order ended.
    pub status: LoadStatus,
    /// Instances that are loaded now.
    pub instances: u32,
}

impl LoadResult {
    /// The result of an order after which no instance is known to be loaded.
    pub(super) fn without_instances(status: LoadStatus) -> LoadResult {
        LoadResult { status, instances: 0 }
    }
}

/// How a request ended, as its client is to know it: not the end of one attempt, which is an
/// [`AttemptOutcome`](crate::model::AttemptOutcome).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served, with a worker's response body.
    Served(Vec<u8>),
    /// Not executed; a retry is harmless after `retry_after`.
    Rejected {
        /// How long the client should wait; zero for no advice.
        retry_after: Span,
    },
    /// Failed; the request may or may not have run.
    Failed,
}

impl Outcome {
    /// Its name in the log.
    pub(super) fn name(&self) -> &'static str {
        match self {
            Outcome::Served(_) => "served",
            Outcome::Rejected { .. } => "rejected",
            Outcome::Failed => "failed",
        }
    }
}

/// The one final response to a request: its outcome, and what else the frontend needs to encode it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// How the request ended.
    pub outcome: Outcome,
    /// Whether it ended because its deadline had come.
    pub expired: bool,
}
