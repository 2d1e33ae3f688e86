//! A scheduler under test: its address, its files, and its current process, which preloads the shim.

mod lifecycle;
mod log_reader;
mod process;
#[cfg(test)]
mod tests;

use super::settings::{longest_deadline, termination_timeout};
use super::switches::FaultSwitch;
use crate::recorder::{Event, Incarnation, ProcessEvent, Recorder};
use anyhow::Result;
use fault_control::{FILE_BYTES, Slot};
use log_reader::LogTail;
use nix::sys::signal::Signal;
use process::SchedulerProcess;
use std::fs::File;
use std::net::SocketAddr;
use std::os::unix::fs::FileExt;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tempfile::TempDir;

// Names of the files in a scheduler's folder.
const CONFIG_FILE: &str = "config.json";
/// The file that becomes the configuration file once it is written.
const NEW_CONFIG_FILE: &str = "config.json.new";
const CONTROL_FILE: &str = "control";

/// Options for starting schedulers.
#[derive(Clone, Debug)]
pub(crate) struct LaunchOptions {
    /// The path of the scheduler's executable.
    pub(crate) program: PathBuf,
    /// The path of the shim library, which is preloaded into the scheduler.
    pub(crate) shim: PathBuf,
    pub(crate) log_level: String,
}

/// A scheduler under test, which has at most one running process at a time.
#[derive(Debug)]
pub(crate) struct Scheduler {
    pub(crate) index: usize,
    pub(crate) address: SocketAddr,
    /// Locked while a fault ends the process and starts the next one.
    pub(crate) lifecycle: tokio::sync::Mutex<()>,
    pub(crate) log_stall: FaultSwitch,
    /// Whether new clients connect to this scheduler, as a load balancer would direct them.
    is_in_rotation: AtomicBool,
    /// Whether the configuration file has been replaced but no process has been sent SIGHUP for it yet.
    reload_is_due: AtomicBool,
    /// The current process or, if that has exited, the last one. `None` before the first start.
    process: Mutex<Option<Arc<SchedulerProcess>>>,
    folder: TempDir,
    control_file: File,
    log_tail: LogTail,
    launch: LaunchOptions,
    /// How long after SIGTERM a process is killed if it is still running.
    termination_timeout: Duration,
    recorder: Arc<Recorder>,
}

impl Scheduler {
    /// Creates a scheduler, with its folder and control file, but does not start it.
    pub(super) fn new(
        index: usize,
        address: SocketAddr,
        seed: u64,
        launch: &LaunchOptions,
        recorder: &Arc<Recorder>,
    ) -> Result<Scheduler> {
        let folder = tempfile::tempdir()?;
        let control_file = File::options()
            .read(true)
            .write(true)
            .create_new(true)
            .open(folder.path().join(CONTROL_FILE))?;
        control_file.set_len(FILE_BYTES as u64)?;
        let scheduler = Scheduler {
            index,
            address,
            lifecycle: tokio::sync::Mutex::default(),
            log_stall: FaultSwitch::default(),
            is_in_rotation: AtomicBool::new(false),
            reload_is_due: AtomicBool::new(false),
            process: Mutex::default(),
            folder,
            control_file,
            log_tail: LogTail::default(),
            launch: launch.clone(),
            termination_timeout: termination_timeout(longest_deadline(seed)),
            recorder: Arc::clone(recorder),
        };
        let shim_seed = (seed as i64).wrapping_add(index as i64);
        scheduler.set_control(Slot::RANDOM_SEED, shim_seed)?;
        Ok(scheduler)
    }

    /// Writes a value to a slot of the control file, which the shim reads.
    pub(crate) fn set_control(&self, slot: Slot, value: i64) -> Result<()> {
        let bytes = value.to_ne_bytes();
        Ok(self.control_file.write_all_at(&bytes, slot.byte_offset())?)
    }

    /// Replaces the configuration file at once, so that a process that is starting reads the former or the new
    /// text as a whole.
    pub(super) fn write_config(&self, text: &str) -> Result<()> {
        let new_path = self.folder.path().join(NEW_CONFIG_FILE);
        std::fs::write(&new_path, text)?;
        Ok(std::fs::rename(new_path, self.config_path())?)
    }

    fn config_path(&self) -> PathBuf {
        self.folder.path().join(CONFIG_FILE)
    }

    fn control_path(&self) -> PathBuf {
        self.folder.path().join(CONTROL_FILE)
    }

    /// Returns the last log lines of the scheduler's processes.
    pub(crate) fn log_tail(&self) -> Vec<String> {
        self.log_tail.lines()
    }

    /// Returns the incarnation that new clients connect to, or `None` if the scheduler is not in rotation.
    pub(super) fn incarnation_in_rotation(&self) -> Option<Incarnation> {
        if !self.is_in_rotation.load(Ordering::Relaxed) {
            return None;
        }
        self.process().map(|process| process.incarnation)
    }

    fn set_in_rotation(&self, is_in_rotation: bool) {
        self.is_in_rotation.store(is_in_rotation, Ordering::Relaxed);
    }

    fn process(&self) -> Option<Arc<SchedulerProcess>> {
        let process = self
            .process
            .lock()
            .expect("no task panics while it holds the lock");
        process.clone()
    }

    /// Returns whether the scheduler's process is running.
    pub(super) fn is_running(&self) -> bool {
        self.process().is_some_and(|process| process.is_running())
    }

    /// Returns whether the scheduler's process is running and has reported readiness.
    pub(crate) fn is_ready(&self) -> bool {
        self.process().is_some_and(|process| process.is_ready())
    }

    /// Sends a signal to the scheduler's process if it is running.
    pub(crate) fn signal(&self, signal: Signal) {
        if let Some(process) = self.process() {
            process.signal(signal);
        }
    }

    /// Returns the number of file descriptors that the scheduler's process holds.
    pub(super) fn descriptor_count(&self) -> usize {
        self.process().map_or(0, |process| process.count_entries("fd"))
    }

    /// Returns the number of threads of the scheduler's process.
    pub(super) fn thread_count(&self) -> usize {
        self.process().map_or(0, |process| process.count_entries("task"))
    }

    /// Sends SIGHUP for a replaced configuration file, immediately or as soon as the process is ready.
    ///
    /// A process that is not ready may not handle signals yet, although it may already have read the previous
    /// configuration.
    pub(crate) fn request_reload(&self) {
        self.reload_is_due.store(true, Ordering::SeqCst);
        self.reload_if_due();
    }

    fn reload_if_due(&self) {
        if self.is_ready() && self.reload_is_due.swap(false, Ordering::SeqCst) {
            self.signal(Signal::SIGHUP);
        }
    }

    /// Records an event of the scheduler's current process.
    pub(super) fn record(&self, event: ProcessEvent) {
        if let Some(process) = self.process() {
            self.record_for(process.incarnation, event);
        }
    }

    fn record_for(&self, incarnation: Incarnation, event: ProcessEvent) {
        self.recorder.record(Event::Process { incarnation, event });
    }
}
