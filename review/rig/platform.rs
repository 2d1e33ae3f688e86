//! A stand-in for the platform: starts a scheduler with the command of the deploy file, signals it, and
//! watches its memory.

use crate::record::Record;
use crate::wire;
use std::fs;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The configuration of a scheduler, as far as the cases choose it.
pub struct Configuration {
    pub bus: SocketAddr,
    pub memory_mb: u64,
    pub sockets: u64,
    /// The object `settings`, as JSON.
    pub settings: String,
    /// The operator's file, if there is one.
    pub operator: Option<String>,
}

/// A scheduler's process, which ends with this value.
pub struct Scheduler {
    pub listen: SocketAddr,
    pub folder: PathBuf,
    process: Arc<Mutex<Child>>,
    pub pid: u32,
    record: Record,
}

impl Drop for Scheduler {
    fn drop(&mut self) {
        self.end();
    }
}

/// Returns an address that is free now.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    listener.local_addr().expect("a bound address")
}

/// Returns the command `run` of the deploy file.
fn run_command() -> String {
    let deploy = fs::read_to_string("deploy/balancer.toml").expect("the deploy file is readable");
    let line = deploy
        .lines()
        .find(|line| line.starts_with("run = "))
        .expect("a line `run`");
    line.split('"').nth(1).expect("a text in quotes").to_owned()
}

/// Writes the configuration file as the platform does: whole, by a rename.
fn write_configuration(folder: &PathBuf, listen: SocketAddr, configuration: &Configuration) {
    let Configuration {
        bus,
        memory_mb,
        sockets,
        settings,
        ..
    } = configuration;
    let text = format!(
        "{{\"name\":\"n0\",\"listen\":\"{listen}\",\"seed\":\"{}\",\"limits\":{{\"cores\":1.0,\"memory_mb\":{memory_mb},\"sockets\":{sockets}}},\
         \"bus\":\"{bus}\",\"known\":{{\"offset\":0,\"batch\":[]}},\"settings\":{settings}}}",
        wire::random_id()
    );
    let temporary = folder.join("config.new");
    fs::write(&temporary, text).expect("the configuration can be written");
    fs::rename(temporary, folder.join("config.json")).expect("the configuration can be renamed");
}

impl Scheduler {
    /// Starts a scheduler and waits until it answers that it is ready.
    pub fn start(
        record: &Record,
        folder: PathBuf,
        listen: SocketAddr,
        configuration: &Configuration,
    ) -> Option<Scheduler> {
        fs::create_dir_all(&folder).ok()?;
        write_configuration(&folder, listen, configuration);
        let mut command = run_command();
        if let Some(operator) = &configuration.operator {
            let path = folder.join("operator.toml");
            fs::write(&path, operator).ok()?;
            command = format!("{command} --operator {}", path.display());
        }
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(folder.join("log"))
            .ok()?;
        let process = Command::new("/bin/sh")
            .args(["-c", &command])
            .env("GW_NAME", "n0")
            .env("GW_LISTEN", listen.to_string())
            .env("GW_CONFIG", folder.join("config.json"))
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .ok()?;
        let pid = process.id();
        record.line(&format!("platform: a scheduler starts at {listen}"));
        let _ = fs::write(folder.join("pid"), pid.to_string());
        let process = Arc::new(Mutex::new(process));
        let scheduler = Scheduler {
            listen,
            folder,
            process,
            pid,
            record: record.clone(),
        };
        scheduler.wait_until_ready().then_some(scheduler)
    }

    fn wait_until_ready(&self) -> bool {
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(30) {
            if self.is_ready() == Some(true) {
                self.record.line("platform: the scheduler is ready");
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    fn is_ready(&self) -> Option<bool> {
        let mut stream = TcpStream::connect(self.listen).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
        stream.write_all(&wire::frame(wire::READY, 1, &[0])).ok()?;
        let answer = wire::read_frame(&mut stream).ok()?;
        Some(answer.kind == wire::READY_ANSWER && answer.payload.first() == Some(&wire::SERVED))
    }

    /// Kills the scheduler and waits for its end.
    pub fn kill(&self) {
        self.record.line("platform: SIGKILL");
        self.end();
    }

    fn end(&self) {
        let mut process = self.process.lock().unwrap();
        let _ = process.kill();
        let _ = process.wait();
        let _ = fs::remove_file(self.folder.join("pid"));
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&self) -> bool {
        !matches!(self.process.lock().unwrap().try_wait(), Ok(None))
    }

    /// Returns the processor time that the process has used, in seconds.
    pub fn processor_seconds(&self) -> Option<f64> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.pid)).ok()?;
        let times = stat.rsplit(')').next()?.split_whitespace().skip(11).take(2);
        Some(times.filter_map(|ticks| ticks.parse::<f64>().ok()).sum::<f64>() / 100.0)
    }

    /// Returns the private memory of the process in KiB: its pages that are not those of files.
    pub fn memory_kib(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid)).ok()?;
        let line = status.lines().find(|line| line.starts_with("RssAnon:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }
}

/// The highest memory of a scheduler, in KiB, and whether it was killed for it.
#[derive(Clone, Default)]
pub struct MemoryWatch {
    pub peak_kib: Arc<AtomicU64>,
    pub killed_at_kib: Arc<AtomicU64>,
}

impl MemoryWatch {
    /// Looks at the memory every 5 ms, and kills the scheduler once it is over its limit.
    pub fn start(scheduler: &Arc<Scheduler>, limit_mb: u64) -> MemoryWatch {
        let watch = MemoryWatch::default();
        let (watching, scheduler) = (watch.clone(), Arc::clone(scheduler));
        thread::spawn(move || {
            let mut last_line = Instant::now();
            while let Some(kib) = scheduler.memory_kib() {
                watching.peak_kib.fetch_max(kib, Ordering::Relaxed);
                if kib > limit_mb * 1024 {
                    watching.killed_at_kib.store(kib, Ordering::Relaxed);
                    scheduler.record.line(&format!(
                        "platform: {kib} KiB are over the limit of {limit_mb} MB"
                    ));
                    scheduler.kill();
                    return;
                }
                if last_line.elapsed() >= Duration::from_millis(500) {
                    last_line = Instant::now();
                    scheduler
                        .record
                        .line(&format!("platform: the scheduler holds {kib} KiB"));
                }
                thread::sleep(Duration::from_millis(5));
            }
        });
        watch
    }
}
