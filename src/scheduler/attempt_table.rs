//! The table of attempts that are in flight or queued for writing.

use super::AttemptId;
use crate::model::{AttemptOutcome, AttemptStatus, InstanceState, Time, WorkerId};
use std::collections::BTreeMap;

/// An attempt, from the policy's decision until it ends.
#[derive(Debug)]
pub(super) struct Attempt {
    /// The worker that the attempt is sent to.
    pub(super) worker: WorkerId,
    /// When the attempt times out.
    pub(super) deadline: Time,
    /// When the write was admitted and the time limit encoded.
    pub(super) write_began_at: Option<Time>,
    started_at: Time,
    /// The load report in the response; empty if there was none.
    load_report: Vec<f32>,
}

impl Attempt {
    /// Creates an attempt that has not been written yet.
    pub(super) fn new(worker: WorkerId, started_at: Time, deadline: Time) -> Attempt {
        Attempt {
            worker,
            deadline,
            write_began_at: None,
            started_at,
            load_report: Vec::new(),
        }
    }

    /// Converts the ended attempt into the outcome that the policy is notified of.
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
    /// Returns the number of attempts that have not ended.
    pub(super) fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Returns whether this attempt is in the table, that is, has not ended.
    pub(super) fn contains(&self, id: AttemptId) -> bool {
        self.attempts.contains_key(&id)
    }

    /// Returns an attempt that has not ended.
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

    /// Records that the write of an attempt begins now.
    pub(super) fn begin_write(&mut self, now: Time, id: AttemptId) {
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.write_began_at = Some(now);
        }
    }

    /// Stores the load report of an attempt's response until the attempt ends.
    pub(super) fn record_load_report(&mut self, id: AttemptId, load_report: Vec<f32>) {
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.load_report = load_report;
        }
    }
}
