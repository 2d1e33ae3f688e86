//! A writer whose lines go to standard error through a thread of its own.
//!
//! `tracing-appender` has such a writer, but its thread must start, its guard prints to standard output where the
//! queue stays full, and it counts no failed write; each of these would end or hide what this writer is there to bear.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant};
use tracing_subscriber::fmt::MakeWriter;

/// Lines that may wait to be written.
const QUEUE_CAPACITY_LINES: usize = 1024;
/// Bytes kept of a line: its rest is cut off, so that the queue's memory is bounded.
const MAX_LINE_BYTES: usize = 4096;
/// Pause between two looks at a queue that is full while the log closes.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(5);

static LINES_DROPPED: AtomicU64 = AtomicU64::new(0);
static LINES_FAILED: AtomicU64 = AtomicU64::new(0);

/// Lines that found the queue full, or that no thread could be had for.
pub fn log_lines_dropped() -> u64 {
    LINES_DROPPED.load(Ordering::Relaxed)
}

/// Lines whose write failed.
pub fn log_lines_failed() -> u64 {
    LINES_FAILED.load(Ordering::Relaxed)
}

enum Message {
    Line(Vec<u8>),
    /// All lines before this have been written, or have failed, once it is received.
    Flush(SyncSender<()>),
}

/// Hands whole lines to the thread that writes them.
#[derive(Clone, Debug)]
pub(super) struct LineWriter {
    sender: SyncSender<Message>,
}

impl LineWriter {
    /// Starts the thread. If the system has none to give, every line counts as dropped.
    pub(super) fn to_standard_error() -> LineWriter {
        let (sender, receiver) = sync_channel(QUEUE_CAPACITY_LINES);
        let _ = thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&receiver));
        LineWriter { sender }
    }

    /// Waits until all lines so far have been written, or the time is over.
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

/// A line without what exceeds the bound.
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
