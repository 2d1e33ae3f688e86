//! The log of a scheduler process: its standard error, collected while the test runs.

use super::WAIT_LIMIT;
use std::io::{BufRead, BufReader, Read};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The text that follows the time in a log line with the counters.
const COUNTERS_MARKER: &str = "function-scheduler: counters";
/// The interval between two checks of the log.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The result of a reload of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReloadResult {
    Applied,
    Rejected,
}

/// A log that a background thread collects.
#[derive(Clone, Default)]
pub(super) struct ProcessLog {
    text: Arc<Mutex<String>>,
}

impl ProcessLog {
    /// Starts to collect the lines of this output, until it ends.
    pub(super) fn collect(output: impl Read + Send + 'static) -> ProcessLog {
        let log = ProcessLog::default();
        let shared = log.clone();
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                let mut text = shared.text.lock().unwrap();
                text.push_str(&line);
                text.push('\n');
            }
        });
        log
    }

    /// Returns the log so far.
    pub(super) fn text(&self) -> String {
        self.text.lock().unwrap().clone()
    }

    /// Waits until `find` returns a value for the log, and returns this value.
    pub(super) fn wait_until<T>(&self, what: &str, find: impl Fn(&str) -> Option<T>) -> T {
        let start = Instant::now();
        loop {
            let text = self.text();
            if let Some(found) = find(&text) {
                return found;
            }
            assert!(start.elapsed() < WAIT_LIMIT, "no '{what}' in the log:\n{text}");
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Calls `trigger`, which must cause a reload, and waits for the result in the log.
    pub(super) fn next_reload_result(&self, trigger: impl FnOnce()) -> ReloadResult {
        let earlier = reload_results(&self.text()).len();
        trigger();
        self.wait_until("reload", |text| {
            reload_results(text).get(earlier..)?.last().copied()
        })
    }

    /// Calls `trigger`, which must cause the process to log its counters, and waits for the line with them.
    pub(super) fn next_counters(&self, trigger: impl FnOnce()) -> String {
        let earlier = counter_lines(&self.text()).count();
        trigger();
        self.wait_until(COUNTERS_MARKER, |text| {
            counter_lines(text).skip(earlier).last().map(str::to_owned)
        })
    }
}

/// Returns the lines with counters in a log, in order.
fn counter_lines(log: &str) -> impl Iterator<Item = &str> {
    log.lines().filter(|line| line.contains(COUNTERS_MARKER))
}

/// Returns the results of all reloads in a log, in order.
fn reload_results(log: &str) -> Vec<ReloadResult> {
    let result = |line: &str| {
        if line.contains("function-scheduler: reloaded") {
            Some(ReloadResult::Applied)
        } else if line.contains("reload rejected") {
            Some(ReloadResult::Rejected)
        } else {
            None
        }
    };
    log.lines().filter_map(result).collect()
}
