//! Start, readiness and termination of a scheduler's process.

use super::Scheduler;
use super::process::SchedulerProcess;
use crate::environment::frame_codec::{self, ReceivedFrame};
use crate::recorder::{HealthProblem, Incarnation, ProcessEvent};
use anyhow::{Context, Result};
use fault_control::CONTROL_VARIABLE;
use nix::sys::signal::Signal;
use std::net::SocketAddr;
use std::process::Stdio;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout};

/// How long a process may take to become ready. The page STANDING requires 10 s for nine of ten processes.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const READINESS_CHECK_TIMEOUT: Duration = Duration::from_millis(500);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

impl Scheduler {
    /// Starts a process and puts the scheduler into rotation once the process is ready.
    pub(crate) async fn start(self: &Arc<Scheduler>) -> Result<()> {
        let mut child = self.spawn()?;
        let incarnation = self.next_incarnation();
        let process = Arc::new(SchedulerProcess::new(
            incarnation,
            child.id().context("the process has no id")?,
        ));
        self.set_process(Arc::clone(&process));
        self.record_for(incarnation, ProcessEvent::Started);
        if let Some(log) = child.stderr.take() {
            tokio::spawn(Arc::clone(self).read_log(incarnation, log));
        }
        tokio::spawn(Arc::clone(self).wait_for_exit(Arc::clone(&process), child));
        self.wait_until_ready(&process).await;
        Ok(())
    }

    fn spawn(&self) -> Result<Child> {
        Command::new(&self.launch.program)
            .env("GW_CONFIG", self.config_path())
            .env("LD_PRELOAD", &self.launch.shim)
            .env(CONTROL_VARIABLE, self.control_path())
            .env("FUNCTION_SCHEDULER_LOG", &self.launch.log_level)
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("cannot start {}", self.launch.program.display()))
    }

    fn next_incarnation(&self) -> Incarnation {
        let last_generation = self.process().map_or(0, |process| process.incarnation.generation);
        Incarnation {
            scheduler: self.index,
            generation: last_generation + 1,
        }
    }

    fn set_process(&self, process: Arc<SchedulerProcess>) {
        let mut current = self
            .process
            .lock()
            .expect("no task panics while it holds the lock");
        *current = Some(process);
    }

    async fn wait_for_exit(self: Arc<Scheduler>, process: Arc<SchedulerProcess>, mut child: Child) {
        let status = child.wait().await;
        process.set_exited();
        let event = ProcessEvent::Exited {
            success: status.is_ok_and(|status| status.success()),
            was_requested: process.exit_was_requested(),
        };
        self.record_for(process.incarnation, event);
    }

    async fn wait_until_ready(&self, process: &SchedulerProcess) {
        let started_at = Instant::now();
        while started_at.elapsed() < READY_TIMEOUT {
            if !process.is_running() {
                return;
            }
            if reports_readiness(self.address).await {
                self.record_for(process.incarnation, ProcessEvent::Ready);
                process.set_ready();
                self.reload_if_due();
                self.set_in_rotation(true);
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
        let event = ProcessEvent::Unhealthy(HealthProblem::NotReadyInTime);
        self.record_for(process.incarnation, event);
    }

    /// Sends SIGTERM and waits for the exit. Kills the process if it is still running after the termination
    /// timeout.
    ///
    /// The scheduler stays in rotation for `rotation_delay` after SIGTERM, because a load balancer does not
    /// notice a termination at once.
    pub(crate) async fn terminate(&self, rotation_delay: Duration) {
        let Some(process) = self.process() else {
            return;
        };
        process.set_exit_requested();
        self.record_for(process.incarnation, ProcessEvent::Terminated);
        process.signal(Signal::SIGTERM);
        let terminated_at = Instant::now();
        sleep(rotation_delay).await;
        self.set_in_rotation(false);
        while process.is_running() {
            let after_sigterm = terminated_at.elapsed();
            if after_sigterm > self.termination_timeout {
                let problem = HealthProblem::NotGoneInTime { after_sigterm };
                self.record_for(process.incarnation, ProcessEvent::Unhealthy(problem));
                self.kill().await;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Sends SIGKILL and waits for the exit.
    pub(crate) async fn kill(&self) {
        let Some(process) = self.process() else {
            return;
        };
        process.set_exit_requested();
        self.set_in_rotation(false);
        self.record_for(process.incarnation, ProcessEvent::Killed);
        process.signal(Signal::SIGKILL);
        while process.is_running() {
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// Returns whether the scheduler at an address responds to a readiness check that it is ready.
async fn reports_readiness(address: SocketAddr) -> bool {
    let check = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(&frame_codec::encode_readiness_check()).await?;
        frame_codec::read_frame(&mut stream).await
    };
    let response = timeout(READINESS_CHECK_TIMEOUT, check).await;
    matches!(
        response,
        Ok(Ok(Some(ReceivedFrame::Readiness { is_ready: true })))
    )
}
