//! A process of a scheduler under test.

use crate::recorder::Incarnation;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};

/// A process of a scheduler and its state.
#[derive(Debug)]
pub(super) struct SchedulerProcess {
    pub(super) incarnation: Incarnation,
    pid: Pid,
    is_ready: AtomicBool,
    /// Whether this program has sent the process SIGTERM or SIGKILL.
    exit_was_requested: AtomicBool,
    has_exited: AtomicBool,
}

impl SchedulerProcess {
    pub(super) fn new(incarnation: Incarnation, pid: u32) -> SchedulerProcess {
        SchedulerProcess {
            incarnation,
            pid: Pid::from_raw(pid as i32),
            is_ready: AtomicBool::new(false),
            exit_was_requested: AtomicBool::new(false),
            has_exited: AtomicBool::new(false),
        }
    }

    pub(super) fn is_running(&self) -> bool {
        !self.has_exited.load(Ordering::Relaxed)
    }

    pub(super) fn set_exited(&self) {
        self.has_exited.store(true, Ordering::Relaxed);
    }

    /// Returns whether the process is running and has reported readiness.
    pub(super) fn is_ready(&self) -> bool {
        self.is_running() && self.is_ready.load(Ordering::Relaxed)
    }

    pub(super) fn set_ready(&self) {
        self.is_ready.store(true, Ordering::Relaxed);
    }

    pub(super) fn exit_was_requested(&self) -> bool {
        self.exit_was_requested.load(Ordering::Relaxed)
    }

    pub(super) fn set_exit_requested(&self) {
        self.exit_was_requested.store(true, Ordering::Relaxed);
    }

    /// Sends a signal to the process.
    ///
    /// Does nothing after the process has exited, since its id may then belong to another process.
    pub(super) fn signal(&self, signal: Signal) {
        if self.is_running() {
            let _ = kill(self.pid, signal);
        }
    }

    /// Returns the number of entries in a subfolder of the process's folder in `/proc`, or 0 on an error.
    pub(super) fn count_entries(&self, folder: &str) -> usize {
        let path = Path::new("/proc").join(self.pid.to_string()).join(folder);
        std::fs::read_dir(path).map_or(0, Iterator::count)
    }
}
