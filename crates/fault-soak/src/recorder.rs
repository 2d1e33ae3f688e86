//! The event log of a run: the observations of clients, workers and processes, in chronological order.

use crate::request::{ConnectionId, RequestClass, RequestId, ResponseStatus};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// One process of a scheduler, identified by the scheduler's index and the number of its starts so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Incarnation {
    pub(crate) scheduler: usize,
    pub(crate) generation: u32,
}

/// An observed event.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// A client has written a complete request.
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
    /// A client has cancelled a request, or has closed its connection while the request was in flight.
    RequestCancelled { request: RequestId },
    /// A scheduler has closed a connection.
    ConnectionClosed { connection: ConnectionId },
    /// A worker has received a complete attempt of a request.
    AttemptReceived {
        request: RequestId,
        worker: usize,
        time_limit: Duration,
        /// Whether the worker executes the request, so that the request may have an effect.
        is_executed: bool,
        /// Whether no network or worker fault delays the attempt, so that it arrives when it is sent.
        is_undelayed: bool,
    },
    /// A worker has received a load order.
    LoadOrderReceived { worker: usize, is_undelayed: bool },
    /// The endpoint list shows a worker as draining from now on.
    WorkerDraining { worker: usize },
    /// The endpoint list shows a worker as ready from now on, with a new process at the old address.
    WorkerReady { worker: usize },
    /// A fault has started or ended.
    Fault {
        /// The index of the fault in the schedule.
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

/// The effect of a fault on endpoint updates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DiscoveryEffect {
    None,
    /// While the fault lasts, and for some time after it, a scheduler may not know of changes.
    DelaysUpdates,
    /// No scheduler can reach the discovery service.
    Outage,
}

/// Whether a fault has started or ended.
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
    /// The process was sent SIGTERM.
    Terminated,
    /// The process was sent SIGKILL.
    Killed,
    Exited {
        success: bool,
        was_requested: bool,
    },
    Unhealthy(HealthProblem),
}

/// A problem of a scheduler's process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum HealthProblem {
    /// The process has not become ready in time after its start.
    NotReadyInTime,
    /// The process has not exited in time after SIGTERM.
    NotGoneInTime { after_sigterm: Duration },
    /// The idle process holds too many file descriptors or threads.
    TooManyResources { descriptors: usize, threads: usize },
    /// The process does not watch the endpoint list.
    NoWatch,
    /// The process has logged a violation or a panic.
    ReportedViolation { log_line: String },
}

/// An event with the time at which it was observed, since the start of the run.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) at: Duration,
    pub(crate) event: Event,
}

/// Collects the events that all tasks observe.
#[derive(Debug)]
pub(crate) struct Recorder {
    start: Instant,
    records: Mutex<Vec<Record>>,
}

impl Recorder {
    /// Creates an empty recorder, whose run starts now.
    pub(crate) fn new() -> Recorder {
        Recorder {
            start: Instant::now(),
            records: Mutex::new(Vec::new()),
        }
    }

    /// Returns when the run started.
    pub(crate) fn start(&self) -> Instant {
        self.start
    }

    /// Returns the time since the start of the run.
    pub(crate) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Records an event at the current time.
    pub(crate) fn record(&self, event: Event) {
        let mut records = self.records.lock().expect("no task panics while it records");
        // The time is read under the lock so that the records are in chronological order.
        let at = self.now();
        records.push(Record { at, event });
    }

    /// Returns all records so far, in chronological order.
    pub(crate) fn records(&self) -> Vec<Record> {
        let records = self.records.lock().expect("no task panics while it records");
        records.clone()
    }
}
