//! The report of one run.

use crate::invariants::Violation;
use crate::recorder::{Event, FaultPhase, Record};
use crate::request::RequestId;
use crate::run::RunResult;
use std::time::Duration;

/// The time before and after the first violation for which the timeline shows faults, changes of state and
/// log lines.
const TIMELINE_SPAN: Duration = Duration::from_millis(2_500);
/// The maximum number of lines of each scheduler's log in the timeline.
const MAX_LOG_LINES: usize = 12;
/// The maximum number of violations that are listed individually.
const MAX_LISTED_VIOLATIONS: usize = 12;

/// Prints the result of one seed.
///
/// The report is a single line if there are no violations. Otherwise it lists the violations and the timeline
/// around the first one.
pub(crate) fn print(seed: u64, result: &RunResult) {
    let timer_lag = result.max_timer_lag;
    let Some(first) = result.violations.first() else {
        println!("seed {seed}: no violation; maximum timer lag {timer_lag:?}");
        return;
    };
    let count = result.violations.len();
    println!("seed {seed}: {count} violations; maximum timer lag {timer_lag:?}");
    for violation in result.violations.iter().take(MAX_LISTED_VIOLATIONS) {
        println!("  {}", violation_line(violation));
    }
    println!("  timeline around the first violation:");
    for record in &result.records {
        if is_relevant(record, first) {
            println!(
                "    {:9.3} {}",
                record.at.as_secs_f64(),
                event_text(&record.event)
            );
        }
    }
    for (scheduler, log_tail) in result.log_tails.iter().enumerate() {
        for line in log_lines_near(log_tail, first.at) {
            println!("    log of scheduler {scheduler}: {line}");
        }
    }
}

fn violation_line(violation: &Violation) -> String {
    let request = violation.request.map(|request| format!(" request {request}"));
    format!(
        "{:9.3} {:?}{}: {}",
        violation.at.as_secs_f64(),
        violation.invariant,
        request.unwrap_or_default(),
        violation.details
    )
}

fn event_text(event: &Event) -> String {
    match event {
        Event::Fault {
            number,
            description,
            phase,
            ..
        } => {
            let verb = match phase {
                FaultPhase::Started => "starts",
                FaultPhase::Ended => "ends",
            };
            format!("fault {number} {verb}: {description}")
        }
        other => format!("{other:?}"),
    }
}

/// Returns whether a record is relevant to a violation.
///
/// A record is relevant if it concerns the same request, or if it is a fault or a change of state of a
/// process or worker near the time of the violation.
fn is_relevant(record: &Record, violation: &Violation) -> bool {
    let is_violating_request = |request: &RequestId| violation.request == Some(*request);
    match &record.event {
        Event::RequestSent { request, .. }
        | Event::ResponseReceived { request, .. }
        | Event::RequestCancelled { request }
        | Event::AttemptReceived { request, .. } => is_violating_request(request),
        Event::ConnectionClosed { .. } | Event::LoadOrderReceived { .. } => false,
        Event::Fault { .. }
        | Event::Process { .. }
        | Event::WorkerDraining { .. }
        | Event::WorkerReady { .. } => record.at.abs_diff(violation.at) < TIMELINE_SPAN,
    }
}

/// Returns the lines of a log that were read near a time, and only the last [`MAX_LOG_LINES`] of them.
fn log_lines_near(log_tail: &[String], at: Duration) -> Vec<&String> {
    let near: Vec<&String> = log_tail.iter().filter(|line| is_near(line, at)).collect();
    let skipped = near.len().saturating_sub(MAX_LOG_LINES);
    near[skipped..].to_vec()
}

/// Returns whether a log line was read near a time.
///
/// The line begins with the time at which it was read, in seconds since the start of the run.
fn is_near(line: &str, at: Duration) -> bool {
    let time = line.split(' ').next().and_then(|word| word.parse::<f64>().ok());
    time.is_some_and(|time| (time - at.as_secs_f64()).abs() < TIMELINE_SPAN.as_secs_f64())
}
