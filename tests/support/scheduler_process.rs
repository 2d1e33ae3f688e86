//! The scheduler program as a child process.

use super::WAIT_LIMIT;
use super::configuration::Configuration;
use super::temp_folder::TempFolder;
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CONFIG_FILE: &str = "config.json";
const OPERATOR_FILE: &str = "operator.toml";
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How the process took a reload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReloadResult {
    Applied,
    Refused,
}

/// A running scheduler, killed on drop.
pub(crate) struct SchedulerProcess {
    child: Child,
    log: Arc<Mutex<String>>,
    /// Where it listens for the frame protocol.
    pub(crate) address: SocketAddr,
    /// Holds its configuration files.
    pub(crate) folder: TempFolder,
    /// The configuration it was started with.
    pub(crate) config: Value,
}

impl SchedulerProcess {
    /// Starts a scheduler with the default settings and these node agents.
    pub(crate) fn start(workers: &[SocketAddr]) -> SchedulerProcess {
        Configuration::new(workers).start()
    }

    /// Starts a scheduler with these settings and node agents.
    pub(crate) fn start_with_settings(workers: &[SocketAddr], settings: Value) -> SchedulerProcess {
        Configuration::new(workers).settings(settings).start()
    }

    /// Writes the configuration files into the folder and starts the program; returns once it listens.
    pub(super) fn spawn(
        folder: TempFolder,
        config: Value,
        operator_file: Option<String>,
    ) -> SchedulerProcess {
        std::fs::write(folder.file(CONFIG_FILE), config.to_string()).unwrap();
        let mut command = program(&folder);
        command.stdin(Stdio::null()).stderr(Stdio::piped());
        if let Some(text) = operator_file {
            std::fs::write(folder.file(OPERATOR_FILE), text).unwrap();
            command.arg("--operator").arg(folder.file(OPERATOR_FILE));
        }
        let mut child = command.spawn().unwrap();
        let log = Arc::default();
        collect_log(child.stderr.take().unwrap(), Arc::clone(&log));
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut process = SchedulerProcess {
            child,
            log,
            address,
            folder,
            config,
        };
        process.address = process.wait_for_listen_address();
        process
    }

    /// Starts the program with this standard error, of which nothing is read here; returns at once.
    pub(super) fn spawn_with_stderr(
        folder: TempFolder,
        config: Value,
        address: SocketAddr,
        stderr: Stdio,
    ) -> SchedulerProcess {
        std::fs::write(folder.file(CONFIG_FILE), config.to_string()).unwrap();
        let child = program(&folder).stdin(Stdio::null()).stderr(stderr).spawn();
        SchedulerProcess {
            child: child.unwrap(),
            log: Arc::default(),
            address,
            folder,
            config,
        }
    }

    /// Starts the program on this address with so few descriptors; returns at once.
    pub(super) fn spawn_with_descriptors(
        folder: TempFolder,
        config: Value,
        address: SocketAddr,
        limit: usize,
    ) -> SchedulerProcess {
        std::fs::write(folder.file(CONFIG_FILE), config.to_string()).unwrap();
        let mut command = Command::new("prlimit");
        command
            .arg(format!("--nofile={limit}:"))
            .arg(env!("CARGO_BIN_EXE_function-scheduler"));
        command.env("GW_CONFIG", folder.file(CONFIG_FILE));
        command.stdin(Stdio::null()).stderr(Stdio::null());
        SchedulerProcess {
            child: command.spawn().unwrap(),
            log: Arc::default(),
            address,
            folder,
            config,
        }
    }

    /// Starts the program on this address with a configuration file that is a named pipe: it can only be read once
    /// [`SchedulerProcess::write_config`] has written it. Returns at once.
    pub(super) fn spawn_with_config_pipe(
        folder: TempFolder,
        config: Value,
        address: SocketAddr,
    ) -> SchedulerProcess {
        let made = Command::new("mkfifo").arg(folder.file(CONFIG_FILE)).status();
        assert!(made.unwrap().success());
        let child = program(&folder)
            .stdin(Stdio::null())
            .stderr(Stdio::null())
            .spawn();
        SchedulerProcess {
            child: child.unwrap(),
            log: Arc::default(),
            address,
            folder,
            config,
        }
    }

    /// Waits until the program handles a signal, by its number, instead of ending.
    pub(crate) fn wait_for_signal_handler(&self, signal: u32) {
        let path = format!("/proc/{}/status", self.process_id());
        let start = Instant::now();
        loop {
            let status = std::fs::read_to_string(&path).unwrap();
            let caught = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
            let caught = u64::from_str_radix(caught.unwrap().trim(), 16).unwrap();
            if caught & (1 << (signal - 1)) != 0 {
                return;
            }
            assert!(start.elapsed() < WAIT_LIMIT, "signal {signal} has no handler");
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Whether the program accepts clients before the limit on waits has passed or it ends.
    pub(crate) fn becomes_reachable(&mut self) -> bool {
        let start = Instant::now();
        while start.elapsed() < WAIT_LIMIT && !self.has_ended() {
            if TcpStream::connect(self.address).is_ok() {
                return true;
            }
            thread::sleep(POLL_INTERVAL);
        }
        false
    }

    /// Whether the program has ended.
    pub(crate) fn has_ended(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }

    fn wait_for_listen_address(&self) -> SocketAddr {
        let log = self.wait_for_log("offset=");
        let address = log
            .split_whitespace()
            .find_map(|word| word.strip_prefix("listen="));
        address
            .expect("the start is logged with the address")
            .parse()
            .unwrap()
    }

    /// The process id.
    pub(crate) fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Waits until the log holds this text, and returns all of the log.
    pub(crate) fn wait_for_log(&self, text: &str) -> String {
        self.wait_for_log_times(text, 1)
    }

    /// Waits until the log holds this text so many times, and returns all of the log.
    pub(crate) fn wait_for_log_times(&self, text: &str, times: usize) -> String {
        self.wait_until(text, |log| {
            (log.matches(text).count() >= times).then(|| log.to_owned())
        })
    }

    /// Waits until `find` finds something in the log.
    fn wait_until<T>(&self, what: &str, find: impl Fn(&str) -> Option<T>) -> T {
        let start = Instant::now();
        loop {
            let log = self.log.lock().unwrap().clone();
            if let Some(found) = find(&log) {
                return found;
            }
            assert!(start.elapsed() < WAIT_LIMIT, "no '{what}' in the log:\n{log}");
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Sends a signal by its name without SIG.
    pub(crate) fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args(["-s", name, &self.process_id().to_string()])
            .status();
        assert!(status.unwrap().success());
    }

    /// The text of the operator's file from now on; read at the next reload.
    pub(crate) fn write_operator_file(&self, text: &str) {
        std::fs::write(self.folder.file(OPERATOR_FILE), text).unwrap();
    }

    /// The text of the configuration file from now on; read at the next reload.
    pub(crate) fn write_config(&self, text: &str) {
        std::fs::write(self.folder.file(CONFIG_FILE), text).unwrap();
    }

    /// Writes the configuration that the program was started with to its configuration pipe, once the program reads it.
    pub(crate) fn write_config_in_background(&self) {
        let path = self.folder.file(CONFIG_FILE);
        let config = self.config.to_string();
        thread::spawn(move || std::fs::write(path, config));
    }

    /// Writes a configuration, has it read with SIGHUP, and waits for the result.
    pub(crate) fn reload(&self, config: &str) -> ReloadResult {
        let earlier = reload_results(&self.log.lock().unwrap()).len();
        self.write_config(config);
        self.signal("HUP");
        self.wait_until("reload", |log| {
            reload_results(log).get(earlier..)?.last().copied()
        })
    }

    /// The value of a counter now, as printed after SIGUSR1.
    pub(crate) fn counter(&self, name: &str) -> u64 {
        const COUNTERS: &str = "function-scheduler: counters";
        let earlier = self.log.lock().unwrap().matches(COUNTERS).count();
        self.signal("USR1");
        let line = self.wait_until(COUNTERS, |log| {
            let lines: Vec<&str> = log.lines().filter(|line| line.contains(COUNTERS)).collect();
            lines.get(earlier..)?.last().map(|line| (*line).to_owned())
        });
        let prefix = format!("{name}=");
        let value = line.split(' ').find_map(|word| word.strip_prefix(&prefix));
        value.expect("the counter is printed").parse().unwrap()
    }

    /// Waits until a counter has come to this value at least.
    pub(crate) fn wait_for_counter(&self, name: &str, minimum: u64) {
        let start = Instant::now();
        while self.counter(name) < minimum {
            assert!(start.elapsed() < WAIT_LIMIT, "{name} stays under {minimum}");
        }
    }

    /// Has the system give the process no more descriptors than these.
    pub(crate) fn limit_descriptors(&self, limit: usize) {
        let process_id = self.process_id().to_string();
        let limit = format!("--nofile={limit}:");
        let status = Command::new("prlimit")
            .args(["--pid", &process_id, &limit])
            .status();
        assert!(status.unwrap().success());
    }

    /// Waits for the process to end.
    pub(crate) fn wait_for_exit(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }
}

impl Drop for SchedulerProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The program with the configuration of this folder.
fn program(folder: &TempFolder) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_function-scheduler"));
    command.env("GW_CONFIG", folder.file(CONFIG_FILE));
    command
}

/// Runs the program with these files until it ends, which it must do by itself.
pub(crate) fn run_to_exit(folder: &TempFolder, config: &Value, operator_file: &str) -> ExitStatus {
    std::fs::write(folder.file(CONFIG_FILE), config.to_string()).unwrap();
    std::fs::write(folder.file(OPERATOR_FILE), operator_file).unwrap();
    let mut command = program(folder);
    command
        .arg("--operator")
        .arg(folder.file(OPERATOR_FILE))
        .stderr(Stdio::null());
    command.status().unwrap()
}

fn collect_log(stderr: ChildStderr, log: Arc<Mutex<String>>) {
    thread::spawn(move || {
        for line in BufReader::new(stderr).lines().map_while(Result::ok) {
            let mut log = log.lock().unwrap();
            log.push_str(&line);
            log.push('\n');
        }
    });
}

/// The results of all reloads in a log, in order.
fn reload_results(log: &str) -> Vec<ReloadResult> {
    let result = |line: &str| {
        if line.contains("function-scheduler: reloaded") {
            Some(ReloadResult::Applied)
        } else if line.contains("reload refused") {
            Some(ReloadResult::Refused)
        } else {
            None
        }
    };
    log.lines().filter_map(result).collect()
}
