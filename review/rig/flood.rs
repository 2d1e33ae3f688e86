//! Case: a bad client asks for functions that no node agent knows, at full speed.

use crate::agent::{Agent, Answer};
use crate::bus::Bus;
use crate::client::{Done, Flood, count_lost, usual_clients};
use crate::json::Json;
use crate::platform::{Configuration, MemoryWatch, Scheduler, free_address};
use crate::record::Record;
use crate::{Verdict, wire};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// The limit on memory, and the limit on descriptors.
const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 256;
const NODE_AGENTS: u32 = 100;
/// Connections of the bad client, and its open requests on each: some hundreds at once.
const BAD_CONNECTIONS: usize = 16;
const OPEN_REQUESTS: usize = 32;
const SECONDS: u64 = 25;
/// The functions that node agents know: so many from this one on.
const KNOWN_FUNCTIONS: u64 = 20;
const KNOWN: u64 = 0x7f3a_9c21_0000_0000;

pub fn run(record: &Record, folder: &Path, trouble: bool) -> Verdict {
    let agents: Vec<Agent> = (1..=NODE_AGENTS).map(|id| start_agent(record, id)).collect();
    let bus = Bus::start(record, &agents);
    let configuration = Configuration {
        bus: bus.address,
        memory_mb: MEMORY_MB,
        sockets: SOCKETS,
        settings: crate::settings("\"retryable\"", "\"load\""),
        operator: None,
    };
    let Some(scheduler) = Scheduler::start(record, folder.join("n0"), free_address(), &configuration) else {
        return Verdict::CouldNotRun("the scheduler did not become ready");
    };
    let scheduler = Arc::new(scheduler);
    let memory = MemoryWatch::start(&scheduler, MEMORY_MB);
    let flood = Flood::default();
    if trouble {
        thread::sleep(Duration::from_secs(3));
        record.line("bad client: begins");
        for _ in 0..BAD_CONNECTIONS {
            flood.connect(scheduler.listen, OPEN_REQUESTS, wire::random);
        }
    }
    let done = usual_clients(record, &scheduler, SECONDS, known_function);
    flood.stop.store(true, Ordering::Relaxed);
    let verdict = judge(record, &scheduler, &memory, &flood, &done);
    scheduler.kill();
    verdict
}

fn start_agent(record: &Record, id: u32) -> Agent {
    let run = Arc::new(|command: &Json| {
        if is_known(command.get("attrs").get("name").text()) {
            let body = wire::from_base64(command.get("content").text());
            return Answer {
                verb: "200",
                body,
                after: Duration::from_millis(20),
            };
        }
        Answer {
            verb: "500",
            body: Vec::new(),
            after: Duration::ZERO,
        }
    });
    Agent::start(record, id, false, is_known, run)
}

fn is_known(name: &str) -> bool {
    let function = u64::from_str_radix(name, 16).unwrap_or(0);
    (KNOWN..KNOWN + KNOWN_FUNCTIONS).contains(&function)
}

fn known_function() -> String {
    format!("{:016x}", KNOWN + wire::random() % KNOWN_FUNCTIONS)
}

fn judge(
    record: &Record,
    scheduler: &Scheduler,
    memory: &MemoryWatch,
    flood: &Flood,
    done: &[Done],
) -> Verdict {
    let lost = count_lost(record, done);
    let answers = flood.answers.lock().unwrap();
    record.verdict(&format!(
        "bad client: {} requests, answers by code {:?}",
        flood.sent.load(Ordering::Relaxed),
        *answers
    ));
    record.verdict(&format!(
        "scheduler: at most {} KiB",
        memory.peak_kib.load(Ordering::Relaxed)
    ));
    let killed_at_kib = memory.killed_at_kib.load(Ordering::Relaxed);
    if killed_at_kib > 0 {
        return Verdict::Broken(format!(
            "the scheduler was killed for memory at {killed_at_kib} KiB"
        ));
    }
    if scheduler.has_ended() {
        return Verdict::Broken("the scheduler ended by itself".to_owned());
    }
    if lost > 0 {
        return Verdict::Broken(format!("{lost} requests were never answered"));
    }
    Verdict::Held
}
