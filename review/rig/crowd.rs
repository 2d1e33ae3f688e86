//! Case: bad clients send requests without an id and with many fields, at full speed.

use crate::agent::{Agent, Answer};
use crate::bus::{Bus, Listed, SERVING};
use crate::client::{count_lost, usual_clients};
use crate::json::Json;
use crate::platform::{Configuration, Scheduler, free_address};
use crate::record::Record;
use crate::{Verdict, wire};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

/// The limit on descriptors. Clients hold at most a third of it.
const SOCKETS: u64 = 1024;
const BAD_CONNECTIONS: usize = 150;
/// The number of fields in a frame is one byte.
const FIELDS: u32 = 255;
const SECONDS: u64 = 18;

pub fn run(record: &Record, folder: &Path, trouble: bool) -> Verdict {
    let bus = Bus::start(record);
    let agents: Vec<Agent> = (1..=10).map(|id| start_agent(record, id)).collect();
    let listed: Vec<Listed> = agents
        .iter()
        .map(|agent| Listed {
            id: agent.id,
            address: agent.address,
            state: SERVING,
        })
        .collect();
    bus.publish(true, &listed);
    let configuration = Configuration {
        bus: bus.address,
        memory_mb: 192,
        sockets: SOCKETS,
        settings: crate::settings("\"retryable\"", "\"load\""),
        operator: None,
    };
    let Some(scheduler) = Scheduler::start(record, folder.join("n0"), free_address(), &configuration) else {
        return Verdict::CouldNotRun("the scheduler did not become ready");
    };
    let scheduler = Arc::new(scheduler);
    let stop = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(AtomicU64::new(0));
    let (trouble_record, trouble_stop, trouble_sent, address) = (
        record.clone(),
        Arc::clone(&stop),
        Arc::clone(&sent),
        scheduler.listen,
    );
    if trouble {
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(3));
            trouble_record.line("bad clients: begin");
            for _ in 0..BAD_CONNECTIONS {
                bad_client(address, &trouble_stop, &trouble_sent);
            }
        });
    }
    let done = usual_clients(record, &scheduler, SECONDS, function);
    stop.store(true, Ordering::Relaxed);
    let lost = count_lost(record, &done);
    record.verdict(&format!("bad clients: {} requests", sent.load(Ordering::Relaxed)));
    let used = scheduler.processor_seconds().unwrap_or_default();
    record.verdict(&format!(
        "scheduler: {used:.1} s of processor time in {:.1} s",
        record.now()
    ));
    if lost > 0 {
        return Verdict::Broken(format!("{lost} requests were never answered"));
    }
    Verdict::Held
}

fn start_agent(record: &Record, id: u32) -> Agent {
    let run = Arc::new(|command: &Json| {
        let body = wire::from_base64(command.get("content").text());
        Answer {
            verb: "200",
            body,
            after: Duration::from_millis(20),
        }
    });
    Agent::start(record, id, false, run)
}

fn function() -> String {
    format!("7f3a9c21{:08x}", wire::random() % 20)
}

/// Opens a connection on which each request has no id, and as many fields as a frame can have.
fn bad_client(address: SocketAddr, stop: &Arc<AtomicBool>, sent: &Arc<AtomicU64>) {
    let (stop, sent) = (Arc::clone(stop), Arc::clone(sent));
    let Ok(mut output) = TcpStream::connect(address) else {
        return;
    };
    let Ok(mut input) = output.try_clone() else { return };
    thread::spawn(move || {
        let mut buffer = [0; 65536];
        while input.read(&mut buffer).is_ok_and(|count| count > 0) {}
    });
    thread::spawn(move || {
        let names: Vec<String> = (0..FIELDS).map(|number| format!("{number:02x}")).collect();
        let pairs: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "")).collect();
        let payload = wire::fields(&pairs);
        let mut stream = 0;
        while !stop.load(Ordering::Relaxed) {
            let mut bytes = Vec::new();
            for _ in 0..50 {
                stream += 1;
                bytes.extend(wire::frame(wire::REQUEST, stream, &payload));
            }
            if output.write_all(&bytes).is_err() {
                return;
            }
            sent.fetch_add(50, Ordering::Relaxed);
        }
    });
}
