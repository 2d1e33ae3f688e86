//! A scheduler's process with its configuration, its log and its memory.

use crate::frames::{self, CLASS, FrameType, SERVED};
use anyhow::{Context, Result, ensure};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Time within which the scheduler must be ready.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Time that is waited for the lines that SIGUSR1 causes. A turn of the event loop may take long.
const LOG_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two looks at whether the process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Beginning of the fields of the line that tells how long whole turns have taken.
const TURN_FIELDS: &str = "part=\"turn\"";

/// Limits and peers of a scheduler.
#[derive(Debug)]
pub(crate) struct Configuration<'a> {
    pub(crate) program: &'a Path,
    pub(crate) discovery: SocketAddr,
    pub(crate) descriptors: u32,
    pub(crate) memory_mb: u32,
    pub(crate) cores: f64,
    /// The address of its VRRP peer.
    pub(crate) vrrp_peer: SocketAddr,
}

/// How long the turns of the event loop have taken.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TurnTimes {
    pub(crate) p99: Duration,
    pub(crate) longest: Duration,
}

/// A running scheduler, which is killed when this value is dropped.
#[derive(Debug)]
pub(crate) struct Scheduler {
    pub(crate) address: SocketAddr,
    /// The address on which it receives VRRP advertisements.
    pub(crate) vrrp_address: SocketAddr,
    folder: TempDir,
    process: Mutex<Child>,
    pub(crate) process_id: u32,
    log: Mutex<Receiver<String>>,
}

impl Drop for Scheduler {
    fn drop(&mut self) {
        if let Ok(process) = self.process.get_mut() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

impl Scheduler {
    /// Starts a scheduler and waits until it is ready.
    pub(crate) fn start(configuration: &Configuration) -> Result<Scheduler> {
        let folder = tempfile::tempdir()?;
        let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let vrrp_address = UdpSocket::bind("127.0.0.1:0")?.local_addr()?;
        let config_path = folder.path().join("config.json");
        fs::write(&config_path, platform_file(address, configuration).to_string())?;
        let operator_path = folder.path().join("operator.toml");
        fs::write(
            &operator_path,
            operator_file(folder.path(), vrrp_address, configuration),
        )?;
        let mut process = Command::new(configuration.program)
            .arg("--operator")
            .arg(&operator_path)
            .env("GW_CONFIG", &config_path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()?;
        let stderr = process.stderr.take().context("the log is not piped")?;
        let (sender, log) = channel();
        thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                // The receiver lives as long as the scheduler.
                let _ = sender.send(line);
            }
        });
        let scheduler = Scheduler {
            address,
            vrrp_address,
            folder,
            process_id: process.id(),
            process: Mutex::new(process),
            log: Mutex::new(log),
        };
        scheduler.wait_until_ready()?;
        Ok(scheduler)
    }

    /// Returns the path of the JSON-RPC frontend's socket.
    pub(crate) fn jsonrpc_socket(&self) -> PathBuf {
        jsonrpc_socket(self.folder.path())
    }

    /// Returns the private memory of the process, in KiB.
    pub(crate) fn memory_kib(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.process_id)).ok()?;
        let line = status.lines().find(|line| line.starts_with("RssAnon:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Returns how long the turns of the event loop have taken, or `None` if the program does not tell.
    pub(crate) fn turn_times(&self) -> Option<TurnTimes> {
        self.signal(Signal::SIGUSR1)?;
        let log = self.log.lock().ok()?;
        let ends_at = Instant::now() + LOG_TIMEOUT;
        loop {
            let left = ends_at.saturating_duration_since(Instant::now());
            let line = log.recv_timeout(left).ok()?;
            if line.contains(TURN_FIELDS) {
                return Some(TurnTimes {
                    p99: micros(&line, "p99_us")?,
                    longest: micros(&line, "max_us")?,
                });
            }
        }
    }

    /// Sends SIGTERM.
    pub(crate) fn terminate(&self) {
        // The process may have been killed for its memory.
        let _ = self.signal(Signal::SIGTERM);
    }

    /// Waits until the process has exited. Returns whether it has within `timeout`.
    pub(crate) fn wait_for_exit(&self, timeout: Duration) -> bool {
        let started_at = Instant::now();
        while started_at.elapsed() < timeout {
            let has_exited = |process: &mut Child| matches!(process.try_wait(), Ok(Some(_)));
            if self
                .process
                .lock()
                .is_ok_and(|mut process| has_exited(&mut process))
            {
                return true;
            }
            thread::sleep(EXIT_POLL_INTERVAL);
        }
        false
    }

    fn signal(&self, signal: Signal) -> Option<()> {
        kill(Pid::from_raw(self.process_id as i32), signal).ok()
    }

    fn wait_until_ready(&self) -> Result<()> {
        let started_at = Instant::now();
        while !is_ready(self.address).unwrap_or(false) {
            ensure!(
                started_at.elapsed() < START_TIMEOUT,
                "the scheduler is not ready in time"
            );
            thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }
}

/// Returns the value of a field in microseconds.
fn micros(line: &str, name: &str) -> Option<Duration> {
    let value = line
        .split(' ')
        .find_map(|word| word.strip_prefix(name)?.strip_prefix('='))?;
    value.parse().ok().map(Duration::from_micros)
}

fn is_ready(address: SocketAddr) -> Result<bool> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    stream.write_all(&frames::encode(FrameType::Readiness, 1, &[0]))?;
    let response = frames::read(&mut stream)?;
    Ok(response.payload.first() == Some(&SERVED))
}

fn jsonrpc_socket(folder: &Path) -> PathBuf {
    folder.join("calls.sock")
}

fn operator_file(folder: &Path, vrrp_address: SocketAddr, configuration: &Configuration) -> String {
    let socket = jsonrpc_socket(folder);
    let peer = configuration.vrrp_peer;
    format!(
        "[jsonrpc]\nsocket = {socket:?}\nmax_clients = 336\n\n[vrrp]\nvrid = 7\npriority = 100\n\
         bind = \"{vrrp_address}\"\npeers = [\"{peer}\"]\naddress = \"127.0.0.100\"\n"
    )
}

fn platform_file(listen: SocketAddr, configuration: &Configuration) -> Value {
    json!({
        "name": "n0", "listen": listen.to_string(), "seed": "1",
        "limits": {
            "cores": configuration.cores, "memory_mb": configuration.memory_mb, "sockets": configuration.descriptors,
        },
        "bus": configuration.discovery.to_string(), "known": {"offset": 0, "batch": []},
        "settings": {
            "fleetSize": 3, "index": 0, "zone": 0, "tickNs": 2_000_000, "zones": ["a"], "kinds": ["std"],
            "discovery": "pushed", "weightSource": "none", "loadInfo": {"how": "none", "names": []},
            "classes": [{
                "name": CLASS, "objectiveNs": 1_200_000_000, "deadlineNs": 3_000_000_000u64,
                "effect": "retryable", "group": "all", "repeatWindowNs": 10_000_000_000u64, "worth": 1.0,
                "lateShare": 0.3,
            }],
            "bounds": {
                "mostTries": 5, "mayCancel": true, "probes": false, "retryAfter": true,
                "maxRetryAfterNs": 1_000_000_000, "multiplex": 32, "maxOpen": 20_000,
                "idleCloseNs": 30_000_000_000u64, "connectTimeoutNs": 250_000_000, "secondCopies": true,
            },
            "contract": {
                "coldFrom": 0.16, "coldNs": 17_000_000_000u64, "fallMultiple": 4.0, "fallNs": 3_000_000_000u64,
                "drainGraceNs": 500_000_000, "graceToAnswerNs": 8_000_000,
            },
            "familyInfo": {
                "keepNs": 11_000_000_000u64, "notLoaded": "load", "mayOrder": true, "loadSpanNs": 0,
                "loadWaitNs": 10_000_000_000u64, "memoryMbByKind": [16960.0],
            },
        },
    })
}
