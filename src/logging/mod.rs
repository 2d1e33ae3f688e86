//! The log of the process: one line an event on standard error, written so that the event loop never waits for it.
//!
//! Events are those of the [`tracing`] crate. Each line begins with `function-scheduler: `, then come the message and
//! the fields as `name=value`. The environment variable [`LEVEL_VARIABLE`] names the least severe level that is
//! logged, `info` where it is absent or no level.
//!
//! A line is handed to a thread of its own. If that thread stands in a write, because nobody reads the log, lines
//! beyond a bounded queue are dropped; if the write fails, because the disk is full or the reader has gone, the line
//! is lost. Both are counted, and neither ends or stops the process.

mod line_format;
mod line_writer;
#[cfg(test)]
pub(crate) mod tests;

pub use line_writer::{log_lines_dropped, log_lines_failed};

use line_format::LineFormat;
use line_writer::LineWriter;
use std::panic;
use std::time::Duration;
use tracing_subscriber::filter::LevelFilter;
use tracing_subscriber::fmt;

/// The environment variable that names the least severe level that is logged: `error`, `warn`, `info`, `debug` or
/// `trace`.
pub const LEVEL_VARIABLE: &str = "FUNCTION_SCHEDULER_LOG";

/// How long the end of the process waits for lines that are not yet written, at most.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// The process's log, open until it is dropped. Dropping it waits a moment for the lines that are not yet written.
#[derive(Debug)]
pub struct Log {
    writer: LineWriter,
}

impl Log {
    /// Sends the events of the whole process, and the message of every panic, to standard error. To be called once,
    /// at the start.
    pub fn open() -> Log {
        let writer = LineWriter::to_standard_error();
        let subscriber = fmt()
            .with_max_level(configured_level())
            .event_format(LineFormat)
            .with_writer(writer.clone())
            .finish();
        // An embedding program's own subscriber stays.
        let _ = tracing::subscriber::set_global_default(subscriber);
        panic::set_hook(Box::new(|panic| {
            tracing::error!(cause = ?panic.to_string(), "panic");
        }));
        Log { writer }
    }
}

impl Drop for Log {
    fn drop(&mut self) {
        self.writer.wait_until_written(CLOSE_TIMEOUT);
    }
}

fn configured_level() -> LevelFilter {
    let name = std::env::var(LEVEL_VARIABLE).unwrap_or_default();
    if name.is_empty() {
        return LevelFilter::INFO;
    }
    name.parse().unwrap_or(LevelFilter::INFO)
}
