//! The log of the process: one line per event on standard error, written without blocking the event loop.
//!
//! Events are those of the [`tracing`] crate. Each line starts with `function-scheduler: `, followed by the
//! message and the fields as `name=value`. The environment variable [`LEVEL_VARIABLE`] sets the least severe
//! level that is logged; the default, also for an invalid value, is `info`.
//!
//! Lines are written by a separate thread. If the thread is blocked in a write because the log is not being
//! read, lines beyond a bounded queue are dropped. If a write fails because the disk is full or the reader
//! has exited, the line is lost. Both are counted, and neither stops or blocks the process.

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

/// Name of the environment variable that sets the least severe level that is logged: `error`, `warn`,
/// `info`, `debug` or `trace`.
pub const LEVEL_VARIABLE: &str = "FUNCTION_SCHEDULER_LOG";

/// Maximum time that the exit of the process waits for unwritten lines.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// The log of the process, open until it is dropped. Dropping it waits briefly for unwritten lines.
#[derive(Debug)]
pub struct Log {
    writer: LineWriter,
}

impl Log {
    /// Opens the log, which receives the events of the whole process and the message of every panic. It must
    /// be called at most once, at startup.
    pub fn open() -> Log {
        let writer = LineWriter::to_standard_error();
        let subscriber = fmt()
            .with_max_level(configured_level())
            .event_format(LineFormat)
            .with_writer(writer.clone())
            .finish();
        // A subscriber that an embedding program has set stays in place.
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
