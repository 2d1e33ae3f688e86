//! Totals over the runs of all seeds: the faults that were injected and the invariants that were violated.

use crate::faults::{FaultKind, PlannedFault};
use crate::invariants::{Invariant, OutageRequestCounts, count_outage_requests};
use crate::recorder::Event;
use crate::request::ResponseStatus;
use crate::run::RunResult;
use std::collections::{BTreeMap, BTreeSet};

/// The totals over the runs of all seeds.
#[derive(Debug, Default)]
pub(crate) struct Coverage {
    seeds: usize,
    requests: usize,
    responses: BTreeMap<ResponseStatus, usize>,
    faults: BTreeMap<FaultKind, usize>,
    /// The pairs of fault kinds that were active at the same time.
    overlapping_pairs: BTreeSet<[FaultKind; 2]>,
    /// The triples of fault kinds that were active at the same time.
    overlapping_triples: BTreeSet<[FaultKind; 3]>,
    outage_requests: OutageRequestCounts,
    violations: BTreeMap<Invariant, usize>,
    violating_seeds: Vec<u64>,
}

impl Coverage {
    /// Adds the result of a run to the totals.
    pub(crate) fn add(&mut self, seed: u64, schedule: &[PlannedFault], result: &RunResult) {
        self.seeds += 1;
        for record in &result.records {
            match &record.event {
                Event::RequestSent { .. } => self.requests += 1,
                Event::ResponseReceived { status, .. } => *self.responses.entry(*status).or_default() += 1,
                _ => {}
            }
        }
        for fault in schedule {
            *self.faults.entry(fault.kind).or_default() += 1;
        }
        let outage_requests = count_outage_requests(&result.records);
        self.outage_requests.sent += outage_requests.sent;
        self.outage_requests.served += outage_requests.served;
        self.add_overlaps(schedule);
        for violation in &result.violations {
            *self.violations.entry(violation.invariant).or_default() += 1;
        }
        if !result.violations.is_empty() {
            self.violating_seeds.push(seed);
        }
    }

    /// Adds the pairs and triples of fault kinds that are active at the same time.
    fn add_overlaps(&mut self, schedule: &[PlannedFault]) {
        for (index, first) in schedule.iter().enumerate() {
            let overlapping: Vec<&PlannedFault> = schedule[index + 1..]
                .iter()
                .filter(|other| first.overlaps(other))
                .collect();
            for (second_index, second) in overlapping.iter().enumerate() {
                let pair = sorted([first.kind, second.kind]);
                self.overlapping_pairs.insert(pair);
                let third_candidates = overlapping[second_index + 1..].iter();
                for third in third_candidates.filter(|third| second.overlaps(third)) {
                    let triple = sorted([first.kind, second.kind, third.kind]);
                    self.overlapping_triples.insert(triple);
                }
            }
        }
    }

    /// Returns whether any invariant was violated.
    pub(crate) fn has_violations(&self) -> bool {
        !self.violations.is_empty()
    }

    /// Prints the totals.
    pub(crate) fn print(&self) {
        println!(
            "seeds {} requests {} responses {:?}",
            self.seeds, self.requests, self.responses
        );
        println!(
            "faults {} of {} kinds, {} pairs and {} triples of kinds overlapped in time",
            self.faults.values().sum::<usize>(),
            self.faults.len(),
            self.overlapping_pairs.len(),
            self.overlapping_triples.len()
        );
        println!(
            "of {} requests sent late in long discovery outages, {} were served",
            self.outage_requests.sent, self.outage_requests.served
        );
        println!(
            "violated invariants {:?}, in seeds {:?}",
            self.violations, self.violating_seeds
        );
    }
}

fn sorted<const N: usize>(mut kinds: [FaultKind; N]) -> [FaultKind; N] {
    kinds.sort_unstable();
    kinds
}
