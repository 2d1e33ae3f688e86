//! A writer that passes lines to a thread, which writes them to standard error.
//!
//! `tracing-appender` is not suitable: it requires that its thread starts, its guard prints to standard
//! output if the queue stays full, and it does not count failed writes. This writer tolerates and counts
//! these failures.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant};
use tracing_subscriber::fmt::MakeWriter;

/// Maximum number of lines that wait to be written.
const QUEUE_CAPACITY_LINES: usize = 1024;
/// Maximum length of a line in bytes. Longer lines are truncated, which bounds the queue's memory.
const MAX_LINE_BYTES: usize = 4096;
/// Interval at which a full queue is checked while the log closes.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(5);

static LINES_DROPPED: AtomicU64 = AtomicU64::new(0);
static LINES_FAILED: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines dropped because the queue was full or the writing thread could not be
/// started.
pub fn log_lines_dropped() -> u64 {
    LINES_DROPPED.load(Ordering::Relaxed)
}

/// Returns the number of lines whose write failed.
pub fn log_lines_failed() -> u64 {
    LINES_FAILED.load(Ordering::Relaxed)
}

enum Message {
    Line(Vec<u8>),
    /// A request to confirm that all earlier lines have been written or have failed.
    Flush(SyncSender<()>),
}

/// Passes whole lines to the thread that writes them.
#[derive(Clone, Debug)]
pub(super) struct LineWriter {
    sender: SyncSender<Message>,
}

impl LineWriter {
    /// Starts the thread. If the thread cannot be started, all lines are dropped and counted.
    pub(super) fn to_standard_error() -> LineWriter {
        let (sender, receiver) = sync_channel(QUEUE_CAPACITY_LINES);
        let _ = thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&receiver));
        LineWriter { sender }
    }

    /// Waits until all earlier lines have been written or the timeout has passed.
    pub(super) fn wait_until_written(&self, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        let (written, all_written) = sync_channel(1);
        let mut message = Message::Flush(written);
        while let Err(error) = self.sender.try_send(message) {
            let TrySendError::Full(unsent) = error else {
                return;
            };
            if Instant::now() >= deadline {
                return;
            }
            thread::sleep(CLOSE_POLL_INTERVAL);
            message = unsent;
        }
        let _ = all_written.recv_timeout(deadline.saturating_duration_since(Instant::now()));
    }
}

impl Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.sender.try_send(Message::Line(truncated(line))).is_err() {
            LINES_DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LineWriter {
    type Writer = LineWriter;

    fn make_writer(&'a self) -> LineWriter {
        self.clone()
    }
}

/// Returns the line, truncated to [`MAX_LINE_BYTES`].
fn truncated(line: &[u8]) -> Vec<u8> {
    if line.len() <= MAX_LINE_BYTES {
        return line.to_vec();
    }
    let mut line = line[..MAX_LINE_BYTES - 1].to_vec();
    line.push(b'\n');
    line
}

fn write_lines(receiver: &Receiver<Message>) {
    while let Ok(message) = receiver.recv() {
        match message {
            Message::Line(line) => {
                if io::stderr().write_all(&line).is_err() {
                    LINES_FAILED.fetch_add(1, Ordering::Relaxed);
                }
            }
            Message::Flush(written) => {
                let _ = written.send(());
            }
        }
    }
}
