//! Requests and their attempts.

use crate::model::{
    Action, AttemptOutcome, AttemptStatus, Endpoint, FunctionId, IncomingRequest, InstanceState, RequestId,
    Span, Time, WorkerId,
};

/// A request that is owed its final response.
pub(crate) struct Request {
    /// The function called.
    pub(crate) function: FunctionId,
    /// Place of its class in the settings.
    pub(crate) class: usize,
    /// When it came in.
    pub(crate) received_at: Time,
    /// The class's latency objective, or the client's own time limit where that is shorter.
    pub(crate) latency_objective: Span,
    /// When its client stops waiting.
    pub(crate) deadline: Time,
    /// Whether it waits for a load order to end.
    pub(crate) awaits_load: bool,
    /// Workers that would most likely fail it again, and at once.
    pub(crate) failed_workers: Vec<WorkerId>,
    /// Attempts begun, whether they have left this process or not.
    begun: u16,
    /// Those that never left this process.
    unsent: u16,
    consecutive_unsent: u16,
    in_flight: Option<u16>,
    first_run: Option<Attempt>,
}

/// Which attempt of which request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    /// The request.
    pub(crate) request: RequestId,
    /// The attempt's number, from 0.
    pub(crate) number: u16,
}

/// An attempt that was sent to a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    /// When it was sent.
    pub(crate) sent_at: Time,
    /// The worker, as it was listed then.
    pub(crate) endpoint: Endpoint,
    /// The request's function.
    pub(crate) function: FunctionId,
    /// The request's class.
    pub(crate) class: usize,
    /// The request's latency objective.
    pub(crate) latency_objective: Span,
    /// Whether an instance was expected loaded there.
    pub(crate) expected_warm: bool,
}

impl AttemptId {
    /// The action that cancels the attempt.
    pub(crate) fn cancel(self) -> Action {
        Action::Cancel {
            id: self.request,
            attempt: self.number,
        }
    }
}

impl Attempt {
    /// Whether an instance served it that had been loaded before, as far as is known.
    pub(crate) fn found_loaded(&self, outcome: &AttemptOutcome) -> bool {
        match outcome.instance_state {
            InstanceState::Loaded => true,
            InstanceState::Unknown => self.expected_warm,
            InstanceState::LoadStarted | InstanceState::LoadAwaited | InstanceState::LoadFailed => false,
        }
    }
}

impl Request {
    /// A request that has just come in.
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

    /// How many attempts have left this process, or may still do so.
    pub(crate) fn attempts(&self) -> u16 {
        self.begun - self.unsent
    }

    /// Attempts in a row, the last one among them, that never left this process.
    pub(crate) fn consecutive_unsent(&self) -> u16 {
        self.consecutive_unsent
    }

    /// The number of the attempt in flight.
    pub(crate) fn in_flight(&self) -> Option<u16> {
        self.in_flight
    }

    /// The first attempt that may have run.
    pub(crate) fn first_run(&self) -> Option<Attempt> {
        self.first_run
    }

    /// Whether no attempt can have run.
    pub(crate) fn never_ran(&self) -> bool {
        self.first_run.is_none() && self.in_flight.is_none()
    }

    /// Another attempt is sent; returns its number.
    pub(crate) fn begin_attempt(&mut self) -> u16 {
        let number = self.begun;
        self.begun += 1;
        self.in_flight = Some(number);
        number
    }

    /// An attempt has ended that did not serve the request.
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
