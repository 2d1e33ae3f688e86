//! What clients, workers and the processes saw, in the order in which it happened.

use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The number of a request, the same on both sides of a scheduler.
pub(crate) type RequestNumber = u64;

/// One life of a scheduler: its index and how often it was started before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Incarnation {
    pub(crate) scheduler: usize,
    pub(crate) generation: u32,
}

/// Something that was seen.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// A client has written a request completely.
    Sent {
        request: RequestNumber,
        class: RequestClass,
        allowed: Duration,
        connection: u64,
        incarnation: Incarnation,
    },
    /// A client has received an answer.
    Answered {
        request: RequestNumber,
        answer: Answer,
        body_is_right: bool,
    },
    /// A client no longer waits for a request.
    Left { request: RequestNumber },
    /// A connection has been ended by its scheduler.
    ConnectionEnded { connection: u64 },
    /// A request has come whole to a worker.
    Arrived {
        request: RequestNumber,
        worker: usize,
        time_limit: Duration,
        runs: bool,
        /// Nothing between the scheduler and the worker delays or cuts what is sent.
        is_prompt: bool,
    },
    /// An order to load has come to a worker.
    LoadArrived { worker: usize, is_prompt: bool },
    /// The list says from now on that a worker takes no new work.
    Draining { worker: usize },
    /// The list says from now on that a worker is ready, a new process at its old address.
    Ready { worker: usize },
    /// A fault begins or ends.
    Fault {
        number: usize,
        text: String,
        begins: bool,
        /// While it lasts, and some time after, a scheduler may not have been told of what the list says.
        delays_list: bool,
    },
    /// A scheduler was started, is ready, was told to end, was killed, has ended, or was found in a broken state.
    Process {
        incarnation: Incarnation,
        event: ProcessEvent,
    },
}

/// What became of a scheduler's process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ProcessEvent {
    Started,
    Ready,
    Terminated,
    Killed,
    Ended {
        success: bool,
        was_asked: bool,
    },
    /// It is not ready in time, has not ended in time, or says of itself that a promise is broken.
    Broken(String),
}

/// What a class permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum RequestClass {
    Idempotent,
    Keyed,
    NonIdempotent,
}

/// The code of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Answer {
    Served,
    Rejected,
    Failed,
}

/// An event and when it was seen.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) at: Duration,
    pub(crate) event: Event,
}

/// Collects records of all tasks.
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

    /// When the records begin.
    pub(crate) fn start(&self) -> Instant {
        self.start
    }

    /// The time since the start.
    pub(crate) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Records an event that is seen now.
    pub(crate) fn record(&self, event: Event) {
        let mut records = self.records.lock().expect("no task panics while it records");
        let at = self.start.elapsed();
        records.push(Record { at, event });
    }

    /// All records so far, in order.
    pub(crate) fn records(&self) -> Vec<Record> {
        self.records
            .lock()
            .expect("no task panics while it records")
            .clone()
    }
}
