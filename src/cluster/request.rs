//! Requests and their attempts.

use crate::model::{
    Action, AttemptOutcome, AttemptStatus, Endpoint, FunctionId, IncomingRequest, InstanceState, RequestId,
    Span, Time, WorkerId,
};

/// A request that still needs its final response.
pub(crate) struct Request {
    /// The requested function.
    pub(crate) function: FunctionId,
    /// Index of the request's class in the settings.
    pub(crate) class: usize,
    /// When the request was received.
    pub(crate) received_at: Time,
    /// The latency objective of the class, or the client's own time limit if that is shorter.
    pub(crate) latency_objective: Span,
    /// When the client stops waiting.
    pub(crate) deadline: Time,
    /// Whether the request waits for a load order to end.
    pub(crate) awaits_load: bool,
    /// Workers that would most likely fail the request again immediately.
    pub(crate) failed_workers: Vec<WorkerId>,
    /// Number of attempts begun, whether or not they have left this process.
    begun: u16,
    /// Number of attempts that never left this process.
    unsent: u16,
    consecutive_unsent: u16,
    in_flight: Option<u16>,
    first_run: Option<Attempt>,
}

/// Identifier of an attempt: its request and its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    /// Request that the attempt belongs to.
    pub(crate) request: RequestId,
    /// Number of the attempt within its request, from 0.
    pub(crate) number: u16,
}

/// An attempt that was sent to a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    /// When the attempt was sent.
    pub(crate) sent_at: Time,
    /// Endpoint list entry of the worker when the attempt was sent.
    pub(crate) endpoint: Endpoint,
    /// The function of the request.
    pub(crate) function: FunctionId,
    /// Index of the request's class in the settings.
    pub(crate) class: usize,
    /// The latency objective of the request.
    pub(crate) latency_objective: Span,
    /// Whether an instance was expected to be loaded on the worker.
    pub(crate) expected_warm: bool,
}

impl AttemptId {
    /// Returns the action that cancels the attempt.
    pub(crate) fn cancel(self) -> Action {
        Action::Cancel {
            id: self.request,
            attempt: self.number,
        }
    }
}

impl Attempt {
    /// Returns whether an already loaded instance served the attempt, as far as is known.
    pub(crate) fn found_loaded(&self, outcome: &AttemptOutcome) -> bool {
        match outcome.instance_state {
            InstanceState::Loaded => true,
            InstanceState::Unknown => self.expected_warm,
            InstanceState::LoadStarted | InstanceState::LoadAwaited | InstanceState::LoadFailed => false,
        }
    }
}

impl Request {
    /// Creates the record of a request that was just received.
    pub(crate) fn new(incoming: &IncomingRequest, latency_objective: Span, now: Time) -> Request {
        Request {
            function: incoming.function,
            class: usize::from(incoming.class.0),
            received_at: now,
            latency_objective,
            deadline: now + incoming.remaining,
            awaits_load: false,
            failed_workers: Vec::new(),
            begun: 0,
            unsent: 0,
            consecutive_unsent: 0,
            in_flight: None,
            first_run: None,
        }
    }

    /// Returns how many attempts have left this process or may still do so.
    pub(crate) fn attempts(&self) -> u16 {
        self.begun - self.unsent
    }

    /// Returns how many attempts in a row, up to the latest one, never left this process.
    pub(crate) fn consecutive_unsent(&self) -> u16 {
        self.consecutive_unsent
    }

    /// Returns the number of the attempt in flight.
    pub(crate) fn in_flight(&self) -> Option<u16> {
        self.in_flight
    }

    /// Returns the first attempt that may have run.
    pub(crate) fn first_run(&self) -> Option<Attempt> {
        self.first_run
    }

    /// Returns whether the request cannot have run in any attempt.
    pub(crate) fn never_ran(&self) -> bool {
        self.first_run.is_none() && self.in_flight.is_none()
    }

    /// Records that another attempt is sent and returns its number.
    pub(crate) fn begin_attempt(&mut self) -> u16 {
        let number = self.begun;
        self.begun += 1;
        self.in_flight = Some(number);
        number
    }

    /// Records the end of an attempt that did not serve the request.
    pub(crate) fn end_attempt(&mut self, attempt: Attempt, status: AttemptStatus) {
        self.in_flight = None;
        if !status.never_ran() {
            self.first_run.get_or_insert(attempt);
        }
        if status == AttemptStatus::NotSent {
            self.unsent += 1;
            self.consecutive_unsent += 1;
        } else {
            self.consecutive_unsent = 0;
        }
    }
}
