//! The reader of a scheduler's log: it keeps the last lines and recognises the reports of violations and panics.

use super::Scheduler;
use crate::recorder::{HealthProblem, Incarnation, ProcessEvent};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::ChildStderr;

/// Lines that are kept.
pub(super) const MAX_LINES: usize = 400;
/// How the log reports that an invariant is violated, or that the code has panicked.
const VIOLATION_MARKERS: [&str; 2] = ["violation kind=", "panic "];

/// The last lines of a log, each with the time at which it was read.
#[derive(Debug, Default)]
pub(super) struct LogTail {
    lines: Mutex<VecDeque<String>>,
}

impl LogTail {
    /// Appends a line, and drops the first one if there are too many.
    pub(super) fn push(&self, line: String) {
        let mut lines = self.lock();
        if lines.len() >= MAX_LINES {
            lines.pop_front();
        }
        lines.push_back(line);
    }

    /// The lines, in order.
    pub(super) fn lines(&self) -> Vec<String> {
        self.lock().iter().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<String>> {
        self.lines.lock().expect("no task panics while it holds the lock")
    }
}

impl Scheduler {
    /// Reads the log of a process to its end.
    pub(super) async fn read_log(self: Arc<Scheduler>, incarnation: Incarnation, log: ChildStderr) {
        let mut lines = BufReader::new(log).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            self.log_stall.wait_until_off().await;
            if reports_violation(&line) {
                let log_line = line.clone();
                let problem = HealthProblem::ReportedViolation { log_line };
                self.record_for(incarnation, ProcessEvent::Unhealthy(problem));
            }
            let seconds = self.recorder.now().as_secs_f64();
            self.log_tail.push(format!("{seconds:.3} {line}"));
        }
    }
}

/// Whether a line of a log reports a violation or a panic.
pub(super) fn reports_violation(line: &str) -> bool {
    VIOLATION_MARKERS.iter().any(|marker| line.contains(marker))
}
