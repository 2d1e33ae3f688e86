//! A scheduler under test: a real process with the shim in it, its files, its log and its lives.

use crate::recorder::{Event, Incarnation, ProcessEvent, Recorder};
use crate::switches::Switch;
use crate::wire::{self, ClientFrame};
use anyhow::{Context, Result};
use fault_control::{CONTROL_VARIABLE, FILE_BYTES, Slot};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::Value;
use std::fs::File;
use std::net::SocketAddr;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};
use tempfile::TempDir;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{ChildStderr, Command};
use tokio::time::{sleep, timeout};

/// A process has to be ready within this time (page STANDING has 10 s for nine in ten).
const READY_LIMIT: Duration = Duration::from_secs(10);
/// A process that was told to end is killed after this time: 3 s, the longest deadline at least, and 0.7 s (page
/// PROTOCOL).
const KILLED_AFTER: Duration = Duration::from_millis(3_700);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Lines of its log that are kept for a report.
const KEPT_LOG_LINES: usize = 400;
/// How the log says that a promise was found broken, or that the code has panicked.
const BROKEN_MARKS: [&str; 2] = ["violation kind=", "panic "];

/// The programs of a run.
#[derive(Clone, Debug)]
pub(crate) struct Programs {
    pub(crate) scheduler: PathBuf,
    pub(crate) shim: PathBuf,
    pub(crate) log_level: String,
}

/// A scheduler with the files of all its lives.
#[derive(Debug)]
pub(crate) struct Scheduler {
    pub(crate) index: usize,
    pub(crate) address: SocketAddr,
    /// Whether the front sends clients here.
    pub(crate) is_open: AtomicBool,
    /// Whether the present process has said that it is ready.
    pub(crate) is_ready: AtomicBool,
    /// Held by whoever ends and starts the process.
    pub(crate) lifecycle: tokio::sync::Mutex<()>,
    pub(crate) log_stalls: Switch,
    generation: AtomicU32,
    process_id: AtomicU32,
    /// The present process was told to end, or killed.
    was_asked: Arc<AtomicBool>,
    has_ended: Mutex<Arc<AtomicBool>>,
    folder: TempDir,
    control: File,
    log: Arc<Mutex<Vec<String>>>,
    programs: Programs,
    recorder: Arc<Recorder>,
}

impl Scheduler {
    /// A scheduler that has not been started.
    pub(crate) fn new(
        index: usize,
        address: SocketAddr,
        seed: u64,
        programs: &Programs,
        recorder: &Arc<Recorder>,
    ) -> Result<Scheduler> {
        let folder = tempfile::tempdir()?;
        let options = File::options().read(true).write(true).create_new(true).clone();
        let control = options.open(folder.path().join("control"))?;
        control.set_len(FILE_BYTES as u64)?;
        let scheduler = Scheduler {
            index,
            address,
            is_open: AtomicBool::new(false),
            is_ready: AtomicBool::new(false),
            lifecycle: tokio::sync::Mutex::default(),
            log_stalls: Switch::default(),
            generation: AtomicU32::new(0),
            process_id: AtomicU32::new(0),
            was_asked: Arc::default(),
            has_ended: Mutex::default(),
            folder,
            control,
            log: Arc::default(),
            programs: programs.clone(),
            recorder: Arc::clone(recorder),
        };
        scheduler.set_control(Slot::RANDOM_SEED, (seed as i64).wrapping_add(index as i64))?;
        Ok(scheduler)
    }

    /// The present life.
    pub(crate) fn incarnation(&self) -> Incarnation {
        Incarnation {
            scheduler: self.index,
            generation: self.generation.load(Ordering::Relaxed),
        }
    }

    /// The process id of the present life.
    pub(crate) fn process_id(&self) -> u32 {
        self.process_id.load(Ordering::Relaxed)
    }

    /// Writes a number for the shim.
    pub(crate) fn set_control(&self, slot: Slot, value: i64) -> Result<()> {
        Ok(self
            .control
            .write_all_at(&value.to_ne_bytes(), slot.byte_offset())?)
    }

    fn config_path(&self) -> PathBuf {
        self.folder.path().join("config.json")
    }

    /// Writes the configuration, or the first bytes of it.
    pub(crate) fn write_config(&self, config: &Value, bytes: Option<usize>) -> Result<()> {
        let text = config.to_string();
        let end = bytes.map_or(text.len(), |bytes| bytes.min(text.len()));
        Ok(std::fs::write(self.config_path(), &text[..end])?)
    }

    fn record(&self, incarnation: Incarnation, event: ProcessEvent) {
        self.recorder.record(Event::Process { incarnation, event });
    }

    /// Starts the process, and opens the scheduler to clients once it is ready.
    pub(crate) async fn start(self: &Arc<Scheduler>) -> Result<()> {
        let incarnation = Incarnation {
            generation: self.generation.fetch_add(1, Ordering::Relaxed) + 1,
            ..self.incarnation()
        };
        let mut child = Command::new(&self.programs.scheduler)
            .env("GW_CONFIG", self.config_path())
            .env("LD_PRELOAD", &self.programs.shim)
            .env(CONTROL_VARIABLE, self.folder.path().join("control"))
            .env("FUNCTION_SCHEDULER_LOG", &self.programs.log_level)
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("{}", self.programs.scheduler.display()))?;
        self.is_ready.store(false, Ordering::Relaxed);
        self.process_id
            .store(child.id().unwrap_or_default(), Ordering::Relaxed);
        self.was_asked.store(false, Ordering::Relaxed);
        let has_ended = Arc::new(AtomicBool::new(false));
        *self.has_ended.lock().expect("no task panics here") = Arc::clone(&has_ended);
        self.record(incarnation, ProcessEvent::Started);
        if let Some(log) = child.stderr.take() {
            tokio::spawn(Arc::clone(self).read_log(incarnation, log));
        }
        let scheduler = Arc::clone(self);
        let was_asked = Arc::clone(&self.was_asked);
        tokio::spawn(async move {
            let status = child.wait().await;
            has_ended.store(true, Ordering::Relaxed);
            let success = status.is_ok_and(|status| status.success());
            let was_asked = was_asked.load(Ordering::Relaxed);
            scheduler.record(incarnation, ProcessEvent::Ended { success, was_asked });
        });
        self.wait_until_ready(incarnation).await;
        Ok(())
    }

    async fn wait_until_ready(&self, incarnation: Incarnation) {
        let began_at = Instant::now();
        while began_at.elapsed() < READY_LIMIT {
            if self.has_ended() {
                return;
            }
            if is_ready(self.address).await {
                self.record(incarnation, ProcessEvent::Ready);
                self.is_ready.store(true, Ordering::Relaxed);
                self.is_open.store(true, Ordering::Relaxed);
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
        self.record(incarnation, ProcessEvent::Broken("not ready in 10 s".to_owned()));
    }

    /// Whether the present process has ended.
    pub(crate) fn has_ended(&self) -> bool {
        self.has_ended
            .lock()
            .expect("no task panics here")
            .load(Ordering::Relaxed)
    }

    async fn read_log(self: Arc<Scheduler>, incarnation: Incarnation, log: ChildStderr) {
        let mut lines = BufReader::new(log).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            while self.log_stalls.is_on() {
                sleep(POLL_INTERVAL).await;
            }
            if BROKEN_MARKS.iter().any(|mark| line.contains(mark)) {
                self.record(incarnation, ProcessEvent::Broken(line.clone()));
            }
            let mut kept = self.log.lock().expect("no task panics here");
            if kept.len() >= KEPT_LOG_LINES {
                kept.remove(0);
            }
            kept.push(format!("{:.3} {line}", self.recorder.now().as_secs_f64()));
        }
    }

    /// The last lines of its log.
    pub(crate) fn log(&self) -> Vec<String> {
        self.log.lock().expect("no task panics here").clone()
    }

    /// Sends a signal to the present process.
    pub(crate) fn signal(&self, signal: Signal) {
        if !self.has_ended() {
            let _ = kill(Pid::from_raw(self.process_id() as i32), signal);
        }
    }

    /// Tells the process to end, and waits for that; the front goes on to send clients for a moment.
    pub(crate) async fn terminate(&self, front_goes_on: Duration) {
        let incarnation = self.incarnation();
        self.was_asked.store(true, Ordering::Relaxed);
        self.record(incarnation, ProcessEvent::Terminated);
        self.signal(Signal::SIGTERM);
        let began_at = Instant::now();
        sleep(front_goes_on).await;
        self.is_open.store(false, Ordering::Relaxed);
        while !self.has_ended() {
            if began_at.elapsed() > KILLED_AFTER {
                let text = format!("still there {:?} after SIGTERM", began_at.elapsed());
                self.record(incarnation, ProcessEvent::Broken(text));
                self.kill().await;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Kills the process.
    pub(crate) async fn kill(&self) {
        self.was_asked.store(true, Ordering::Relaxed);
        self.is_open.store(false, Ordering::Relaxed);
        self.record(self.incarnation(), ProcessEvent::Killed);
        self.signal(Signal::SIGKILL);
        while !self.has_ended() {
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Entries of a folder of the present process under `/proc`, such as its descriptors.
    pub(crate) fn count_of(&self, folder: &str) -> usize {
        let path = Path::new("/proc")
            .join(self.process_id().to_string())
            .join(folder);
        std::fs::read_dir(path).map_or(0, Iterator::count)
    }
}

/// Whether a scheduler says that it is ready.
async fn is_ready(address: SocketAddr) -> bool {
    let ask = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(&wire::readiness_check()).await?;
        wire::read_frame(&mut stream).await
    };
    let answer = timeout(Duration::from_millis(500), ask).await;
    matches!(answer, Ok(Ok(Some(ClientFrame::Readiness { is_ready: true }))))
}
