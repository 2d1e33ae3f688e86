//! The event log of a run: what clients, workers and processes observed, in the order in which it happened.

use crate::request::{ConnectionId, RequestClass, RequestId, ResponseStatus};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// One process of a scheduler: the scheduler's index, and how often it has been started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Incarnation {
    pub(crate) scheduler: usize,
    pub(crate) generation: u32,
}

/// An observation.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// A client has written a whole request.
    RequestSent {
        request: RequestId,
        class: RequestClass,
        timeout: Duration,
        connection: ConnectionId,
        incarnation: Incarnation,
    },
    /// A client has received a response.
    ResponseReceived {
        request: RequestId,
        status: ResponseStatus,
        body_matches: bool,
    },
    /// A client has cancelled a request, or closed the connection with the request in flight.
    RequestCancelled { request: RequestId },
    /// A scheduler has closed a connection.
    ConnectionClosed { connection: ConnectionId },
    /// A worker has received a whole attempt of a request.
    AttemptReceived {
        request: RequestId,
        worker: usize,
        time_limit: Duration,
        is_executed: bool,
        /// No fault of the network or the worker delays it, so that it arrives when it is sent.
        is_undelayed: bool,
    },
    /// A worker has received a load order.
    LoadOrderReceived { worker: usize, is_undelayed: bool },
    /// From now on the endpoint list has a worker as draining.
    WorkerDraining { worker: usize },
    /// From now on the endpoint list has a worker as ready, as a new process at its old address.
    WorkerReady { worker: usize },
    /// A fault starts or ends.
    Fault {
        number: usize,
        description: String,
        phase: FaultPhase,
        discovery_effect: DiscoveryEffect,
    },
    /// The state of a scheduler's process has changed.
    Process {
        incarnation: Incarnation,
        event: ProcessEvent,
    },
}

/// What a fault does to the updates of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DiscoveryEffect {
    None,
    /// While it lasts, and for some time after, a scheduler may not know of changes.
    DelaysUpdates,
    /// The discovery service is out of reach of every scheduler.
    Outage,
}

/// Whether a fault starts or ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultPhase {
    Started,
    Ended,
}

/// A change of state of a scheduler's process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ProcessEvent {
    Started,
    Ready,
    /// It was sent SIGTERM.
    Terminated,
    /// It was sent SIGKILL.
    Killed,
    Exited {
        success: bool,
        was_requested: bool,
    },
    Unhealthy(HealthProblem),
}

/// What is wrong with a scheduler's process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum HealthProblem {
    NotReadyInTime,
    NotGoneInTime {
        after_sigterm: Duration,
    },
    /// It holds too much at rest.
    TooManyResources {
        descriptors: usize,
        threads: usize,
    },
    /// It does not watch the endpoint list.
    NoWatch,
    /// It has logged a violation or a panic.
    ReportedViolation {
        log_line: String,
    },
}

/// An event and when it was observed, since the start of the run.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) at: Duration,
    pub(crate) event: Event,
}

/// Collects the events of all tasks.
#[derive(Debug)]
pub(crate) struct Recorder {
    start: Instant,
    records: Mutex<Vec<Record>>,
}

impl Recorder {
    pub(crate) fn new() -> Recorder {
        Recorder {
            start: Instant::now(),
            records: Mutex::new(Vec::new()),
        }
    }

    /// When the run started.
    pub(crate) fn start(&self) -> Instant {
        self.start
    }

    /// The time since the start of the run.
    pub(crate) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Records an event that is observed now.
    pub(crate) fn record(&self, event: Event) {
        let mut records = self.records.lock().expect("no task panics while it records");
        // Read under the lock, so that the records are in the order of their times.
        let at = self.now();
        records.push(Record { at, event });
    }

    /// All records so far, in order.
    pub(crate) fn records(&self) -> Vec<Record> {
        let records = self.records.lock().expect("no task panics while it records");
        records.clone()
    }
}
