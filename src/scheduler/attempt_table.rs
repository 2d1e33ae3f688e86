//! The table of attempts that have not ended: in flight, or waiting to be written.

use super::AttemptId;
use crate::model::{AttemptOutcome, AttemptStatus, InstanceState, Time, WorkerId};
use std::collections::BTreeMap;

/// An attempt from the policy's decision to its end.
#[derive(Debug)]
pub(super) struct Attempt {
    /// The worker it goes to.
    pub(super) worker: WorkerId,
    /// When its response is no longer waited for.
    pub(super) deadline: Time,
    /// When it was admitted to be written, and its time limit was encoded.
    pub(super) write_began_at: Option<Time>,
    started_at: Time,
    /// The load report that came with the response; empty without one.
    load_report: Vec<f32>,
}

impl Attempt {
    /// An attempt that the policy has just decided on.
    pub(super) fn new(worker: WorkerId, started_at: Time, deadline: Time) -> Attempt {
        Attempt {
            worker,
            deadline,
            write_began_at: None,
            started_at,
            load_report: Vec::new(),
        }
    }

    /// The attempt's end, as the policy is notified of it.
    pub(super) fn into_outcome(
        self,
        now: Time,
        id: AttemptId,
        status: AttemptStatus,
        request_finished: bool,
    ) -> AttemptOutcome {
        AttemptOutcome {
            id: id.request,
            attempt: id.number,
            status,
            latency: now - self.started_at,
            request_finished,
            instance_state: InstanceState::Unknown,
            function_in_flight: 0,
            load_report: self.load_report,
        }
    }
}

/// The attempts that have not ended.
#[derive(Debug, Default)]
pub(super) struct AttemptTable {
    attempts: BTreeMap<AttemptId, Attempt>,
}

impl AttemptTable {
    /// How many attempts have not ended.
    pub(super) fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Whether this attempt has not ended.
    pub(super) fn contains(&self, id: AttemptId) -> bool {
        self.attempts.contains_key(&id)
    }

    /// An attempt that has not ended.
    pub(super) fn get(&self, id: AttemptId) -> Option<&Attempt> {
        self.attempts.get(&id)
    }

    /// Adds an attempt.
    pub(super) fn insert(&mut self, id: AttemptId, attempt: Attempt) {
        self.attempts.insert(id, attempt);
    }

    /// Removes an attempt that has ended.
    pub(super) fn remove(&mut self, id: AttemptId) -> Option<Attempt> {
        self.attempts.remove(&id)
    }

    /// Records that an attempt is being written from now on.
    pub(super) fn begin_write(&mut self, now: Time, id: AttemptId) {
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.write_began_at = Some(now);
        }
    }

    /// Keeps the load report that came with an attempt's response until the attempt ends.
    pub(super) fn record_load_report(&mut self, id: AttemptId, load_report: Vec<f32>) {
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.load_report = load_report;
        }
    }
}
