//! A share of a core: the scheduler's process runs for a part of each period, as under a quota of the platform.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Length of a period.
const PERIOD: Duration = Duration::from_millis(50);

/// Parses a share of a core.
pub(crate) fn parse(text: &str) -> Result<f64, String> {
    match text.parse() {
        Ok(share) if share > 0.0 && share <= 1.0 => Ok(share),
        _ => Err("a share of a core is above 0 and at most 1".to_owned()),
    }
}

/// Stops and continues the process until `stop` is set, so that it gets this share of a core.
pub(crate) fn limit(process_id: u32, share: f64, stop: &AtomicBool) {
    if share >= 1.0 {
        return;
    }
    let process = Pid::from_raw(process_id as i32);
    let running_time = PERIOD.mul_f64(share);
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(running_time);
        // The process may have exited.
        let _ = kill(process, Signal::SIGSTOP);
        thread::sleep(PERIOD - running_time);
        let _ = kill(process, Signal::SIGCONT);
    }
}
