//! The reader of a scheduler's log, which keeps the last lines and detects reports of violations and panics.

use super::Scheduler;
use crate::recorder::{HealthProblem, Incarnation, ProcessEvent};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::ChildStderr;

/// Maximum number of lines in a [`LogTail`].
pub(super) const MAX_LINES: usize = 400;
/// Substrings of log lines that report a violated invariant or a panic.
const VIOLATION_MARKERS: [&str; 2] = ["violation kind=", "panic "];

/// The last lines of a scheduler's log.
#[derive(Debug, Default)]
pub(super) struct LogTail {
    lines: Mutex<VecDeque<String>>,
}

impl LogTail {
    /// Appends a line, after dropping the oldest line if there are already [`MAX_LINES`].
    pub(super) fn push(&self, line: String) {
        let mut lines = self.lock();
        if lines.len() >= MAX_LINES {
            lines.pop_front();
        }
        lines.push_back(line);
    }

    /// Returns the lines, oldest first.
    pub(super) fn lines(&self) -> Vec<String> {
        self.lock().iter().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<String>> {
        self.lines.lock().expect("no task panics while it holds the lock")
    }
}

impl Scheduler {
    /// Reads the log of a process to its end, and pauses while the switch `log_stall` is on.
    ///
    /// Each kept line is prefixed with the time at which it was read, in seconds since the start of the run.
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

/// Returns whether a log line reports a violation or a panic.
pub(super) fn reports_violation(line: &str) -> bool {
    VIOLATION_MARKERS.iter().any(|marker| line.contains(marker))
}
