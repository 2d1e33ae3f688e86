//! Case: a new configuration moves discovery, and the bus at the new address tells what was missed slowly.

use crate::agent::{Agent, Answer};
use crate::bus::{Bus, DRAINING, Listed, SERVING};
use crate::client::Client;
use crate::json::Json;
use crate::platform::{Configuration, Scheduler, free_address, write_configuration};
use crate::record::Record;
use crate::{Verdict, wire};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// What the old address does: it closes its open watches 1.5 s after the move.
const OLD_WATCHES_CLOSE: Duration = Duration::from_millis(1_500);
/// Pause of the new address before each event that was missed, below the second of the empty frames.
const BACKLOG_PAUSE: Duration = Duration::from_millis(900);
/// Whatever the bus has to tell counts as told 4 s after SIGHUP.
const TOLD_AFTER_SIGHUP: f64 = 4.0;
/// `drainGraceNs` of the settings, and the slack of sockets.
const GRACE: f64 = 0.5 + 0.05;
/// Further events between the move and the drain.
const OTHER_EVENTS: usize = 7;
const DRAINED: usize = 1;

pub fn run(record: &Record, folder: &Path, trouble: bool) -> Verdict {
    let bus = Bus::start(record);
    let is_draining = Arc::new(AtomicBool::new(false));
    let agents: Vec<Agent> = (0..4)
        .map(|index| start_agent(record, index, &is_draining))
        .collect();
    let listed = |index: usize, state| Listed {
        id: agents[index].id,
        address: agents[index].address,
        state,
    };
    bus.publish(
        true,
        &(0..agents.len())
            .map(|index| listed(index, SERVING))
            .collect::<Vec<_>>(),
    );
    let mut configuration = Configuration {
        bus: bus.address,
        memory_mb: 192,
        sockets: 256,
        settings: crate::settings("\"retryable\"", "\"load\""),
        operator: None,
    };
    let Some(scheduler) = Scheduler::start(record, folder.join("n0"), free_address(), &configuration) else {
        return Verdict::CouldNotRun("the scheduler did not become ready");
    };
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..6).map(|_| start_client(record, &scheduler, &stop)).collect();
    thread::sleep(Duration::from_secs(4));
    let mut told_at = f64::MAX;
    if trouble {
        let moved = bus.moved(BACKLOG_PAUSE);
        configuration.bus = moved.address;
        write_configuration(&scheduler.folder, scheduler.listen, &configuration);
        bus.fall_silent();
        scheduler.signal("HUP");
        told_at = record.now() + TOLD_AFTER_SIGHUP;
        let old = bus.clone();
        thread::spawn(move || {
            thread::sleep(OLD_WATCHES_CLOSE);
            old.close_watches();
        });
    }
    for number in 0..OTHER_EVENTS {
        bus.publish(false, &[listed(2 + number % 2, SERVING)]);
    }
    is_draining.store(true, Ordering::Relaxed);
    let published_at = bus.publish(false, &[listed(DRAINED, DRAINING)]);
    if !trouble {
        told_at = published_at;
    }
    thread::sleep(Duration::from_secs(10));
    stop.store(true, Ordering::Relaxed);
    let served: usize = clients.into_iter().filter_map(|client| client.join().ok()).sum();
    judge(record, &agents[DRAINED], told_at, served)
}

fn start_agent(record: &Record, index: usize, is_draining: &Arc<AtomicBool>) -> Agent {
    let is_draining = Arc::clone(is_draining);
    let run = Arc::new(move |command: &Json| {
        let body = wire::from_base64(command.get("content").text());
        if index == DRAINED && is_draining.load(Ordering::Relaxed) {
            return Answer {
                verb: "503",
                body: Vec::new(),
                after: Duration::ZERO,
            };
        }
        Answer {
            verb: "200",
            body,
            after: Duration::from_millis(50),
        }
    });
    Agent::start(record, index as u32 + 1, true, run)
}

fn start_client(record: &Record, scheduler: &Scheduler, stop: &Arc<AtomicBool>) -> thread::JoinHandle<usize> {
    let (record, stop, address) = (record.clone(), Arc::clone(stop), scheduler.listen);
    thread::spawn(move || {
        let Some(mut client) = Client::connect(&record, address) else {
            return 0;
        };
        let mut served = 0;
        while !stop.load(Ordering::Relaxed) {
            let function = format!("7f3a9c21{:08x}", wire::random() % 12);
            let done = client.call("match", &function, 3000, b"a body");
            served += usize::from(matches!(done.end, crate::client::End::Answer(wire::SERVED, _)));
            thread::sleep(Duration::from_millis(40));
        }
        served
    })
}

fn judge(record: &Record, drained: &Agent, told_at: f64, served: usize) -> Verdict {
    let received = drained.received.lock().unwrap();
    let is_new_work = |verb: &str, replicas: &str| verb == "go" || verb == "stage" && replicas != "0";
    let work = received
        .iter()
        .filter(|command| is_new_work(&command.verb, &command.replicas));
    let before = work.clone().filter(|command| command.at <= told_at).count();
    let late: Vec<_> = work.filter(|command| command.at > told_at + GRACE).collect();
    record.verdict(&format!(
        "{served} requests served; the drain counts as told at {told_at:.3} s"
    ));
    record.verdict(&format!(
        "the draining node agent got {before} requests or orders before that, {} too late",
        late.len()
    ));
    if let Some(last) = late.last() {
        let by = last.at - told_at;
        return Verdict::Broken(format!(
            "a draining node agent got new work up to {by:.2} s after the drain counts as told"
        ));
    }
    if before == 0 || served == 0 {
        return Verdict::CouldNotRun("no traffic");
    }
    Verdict::Held
}
