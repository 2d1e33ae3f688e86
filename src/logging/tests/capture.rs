//! Captures the log in memory, for tests of log output.

use crate::logging::line_format::LineFormat;
use std::io;
use std::sync::{Arc, LazyLock, Mutex};
use tracing::Dispatch;
use tracing_subscriber::filter::LevelFilter;
use tracing_subscriber::fmt;
use tracing_subscriber::util::SubscriberInitExt;

/// A log kept in memory.
#[derive(Clone, Default)]
struct MemoryLog(Arc<Mutex<Vec<u8>>>);

impl io::Write for MemoryLog {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A dispatcher that stays registered.
///
/// `tracing` caches for the whole process whether a log call is enabled. While the subscriber of a single
/// capture is the only one, it asks only the thread that reaches the call first, which may have none; with two
/// it asks both.
static REGISTERED_DISPATCHER: LazyLock<Dispatch> = LazyLock::new(|| {
    let subscriber = fmt()
        .with_max_level(LevelFilter::DEBUG)
        .with_writer(io::sink)
        .finish();
    Dispatch::new(subscriber)
});

/// Returns the text that this thread logs while the action runs, at level `debug` and above.
pub(crate) fn captured_log(action: impl FnOnce()) -> String {
    LazyLock::force(&REGISTERED_DISPATCHER);
    let log = MemoryLog::default();
    let writer = log.clone();
    let subscriber = fmt()
        .with_max_level(LevelFilter::DEBUG)
        .event_format(LineFormat)
        .with_writer(move || writer.clone())
        .finish();
    let guard = subscriber.set_default();
    action();
    drop(guard);
    let text = log.0.lock().unwrap().clone();
    String::from_utf8(text).unwrap()
}
