//! What a run says to whoever reads it.

use crate::invariants::{Finding, Promise};
use crate::recorder::{Answer, Event, Record};
use crate::run::Outcome;
use crate::schedule::{FaultKind, PlannedFault};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Records within this time of the first finding are in its timeline.
const TIMELINE_SPAN: Duration = Duration::from_millis(2_500);
/// Lines of each log that are printed with a finding.
const LOG_LINES: usize = 12;
/// Findings that are listed one by one.
const LISTED_FINDINGS: usize = 12;

/// What was played, over all seeds.
#[derive(Debug, Default)]
pub(crate) struct Coverage {
    seeds: usize,
    requests: usize,
    answers: BTreeMap<Answer, usize>,
    kinds: BTreeMap<FaultKind, usize>,
    pairs: BTreeSet<(FaultKind, FaultKind)>,
    triples: BTreeSet<(FaultKind, FaultKind, FaultKind)>,
    findings: BTreeMap<Promise, usize>,
    failed_seeds: Vec<u64>,
}

impl Coverage {
    /// Adds a run.
    pub(crate) fn add(&mut self, seed: u64, faults: &[PlannedFault], outcome: &Outcome) {
        self.seeds += 1;
        for record in &outcome.records {
            match &record.event {
                Event::Sent { .. } => self.requests += 1,
                Event::Answered { answer, .. } => *self.answers.entry(*answer).or_default() += 1,
                _ => {}
            }
        }
        for fault in faults {
            *self.kinds.entry(fault.kind).or_default() += 1;
        }
        self.add_overlaps(faults);
        for finding in &outcome.findings {
            *self.findings.entry(finding.promise).or_default() += 1;
        }
        if !outcome.findings.is_empty() {
            self.failed_seeds.push(seed);
        }
    }

    fn add_overlaps(&mut self, faults: &[PlannedFault]) {
        for (index, first) in faults.iter().enumerate() {
            let later: Vec<&PlannedFault> = faults[index + 1..]
                .iter()
                .filter(|other| overlap(first, other))
                .collect();
            for (place, second) in later.iter().enumerate() {
                let mut pair = [first.kind, second.kind];
                pair.sort_unstable();
                self.pairs.insert(pair.into());
                for third in later[place + 1..].iter().filter(|third| overlap(second, third)) {
                    let mut triple = [first.kind, second.kind, third.kind];
                    triple.sort_unstable();
                    self.triples.insert(triple.into());
                }
            }
        }
    }

    /// Whether any promise was broken.
    pub(crate) fn has_findings(&self) -> bool {
        !self.findings.is_empty()
    }

    /// Prints the totals.
    pub(crate) fn print(&self) {
        println!(
            "seeds {} requests {} answers {:?}",
            self.seeds, self.requests, self.answers
        );
        println!(
            "faults {} of {} kinds, {} pairs and {} triples of kinds overlapped in time",
            self.kinds.values().sum::<usize>(),
            self.kinds.len(),
            self.pairs.len(),
            self.triples.len()
        );
        println!(
            "broken promises {:?}, in seeds {:?}",
            self.findings, self.failed_seeds
        );
    }
}

fn overlap(first: &PlannedFault, second: &PlannedFault) -> bool {
    second.begins_at < first.ends_at() && first.begins_at < second.ends_at()
}

/// Prints what came of one seed: a line, or the findings with the timeline round the first.
pub(crate) fn print_outcome(seed: u64, outcome: &Outcome) {
    let Some(first) = outcome.findings.first() else {
        println!("seed {seed}: kept; soak late by {:?} at most", outcome.lateness);
        return;
    };
    println!(
        "seed {seed}: {} broken promises; soak late by {:?} at most",
        outcome.findings.len(),
        outcome.lateness
    );
    for finding in outcome.findings.iter().take(LISTED_FINDINGS) {
        println!("  {}", line_of(finding));
    }
    println!("  timeline round the first:");
    for record in &outcome.records {
        if belongs_to(record, first) {
            println!("    {:9.3} {}", record.at.as_secs_f64(), text_of(&record.event));
        }
    }
    for (index, log) in outcome.logs.iter().enumerate() {
        let near = log.iter().filter(|line| is_near(line, first.at));
        let lines: Vec<&String> = near.collect();
        for line in lines.iter().rev().take(LOG_LINES).rev() {
            println!("    log of {index}: {line}");
        }
    }
}

fn text_of(event: &Event) -> String {
    match event {
        Event::Fault {
            number, text, begins, ..
        } => {
            let word = if *begins { "begins" } else { "ends" };
            format!("fault {number} {word}: {text}")
        }
        other => format!("{other:?}"),
    }
}

fn line_of(finding: &Finding) -> String {
    let request = finding.request.map(|number| format!(" request {number:x}"));
    format!(
        "{:9.3} {:?}{}: {}",
        finding.at.as_secs_f64(),
        finding.promise,
        request.unwrap_or_default(),
        finding.text
    )
}

/// Whether a record tells of the request of a finding, or of what was wrong round it.
fn belongs_to(record: &Record, finding: &Finding) -> bool {
    let of_request = |number: &u64| finding.request == Some(*number);
    match &record.event {
        Event::Sent { request, .. }
        | Event::Answered { request, .. }
        | Event::Left { request }
        | Event::Arrived { request, .. } => of_request(request),
        Event::ConnectionEnded { .. } | Event::LoadArrived { .. } => false,
        Event::Fault { .. } | Event::Process { .. } | Event::Draining { .. } | Event::Ready { .. } => {
            record.at.abs_diff(finding.at) < TIMELINE_SPAN
        }
    }
}

/// Whether a line of a log, which begins with its time, was read near a time.
fn is_near(line: &str, at: Duration) -> bool {
    let time = line.split(' ').next().and_then(|word| word.parse::<f64>().ok());
    time.is_some_and(|time| (time - at.as_secs_f64()).abs() < TIMELINE_SPAN.as_secs_f64())
}
