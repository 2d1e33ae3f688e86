//! The scheduler's memory beside bad clients that send hundreds of requests at once and withdraw them.

use crate::common::*;
use std::io::Write;
use std::net::{Ipv4Addr, Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Instant;

const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 1024;
/// With the usual clients, under a third of the descriptors.
const BAD_CLIENTS: usize = 330;
const WORKERS: u32 = 100;
const USUAL_CLIENTS: usize = 8;
const SECONDS: u64 = 80;
/// A function whose calls take 2.5 s; they are withdrawn long before.
const SLOW: u64 = 0x99;
const QUICK: u64 = 0x51;

/// What a bad client does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// Hundreds of requests at once, with large bodies, for ids that no worker knows.
    Many,
    /// Hundreds of requests with large bodies, withdrawn at once.
    WithdrawnLarge,
    /// Hundreds of requests with small bodies, withdrawn at once.
    WithdrawnSmall,
}

const KINDS: [Kind; 4] = [Kind::WithdrawnLarge, Kind::Many, Kind::WithdrawnSmall, Kind::WithdrawnSmall];

fn bad_client(kind: Kind, port: u16, stop: &AtomicBool, made: &AtomicU64) {
    let body = vec![4; if kind == Kind::WithdrawnSmall { 1 } else { 16_000 }];
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect((Ipv4Addr::LOCALHOST, port)) else {
            thread::sleep(ms(20));
            continue;
        };
        read_all(&stream);
        let mut number = 1;
        while !stop.load(Ordering::Relaxed) {
            let first = number;
            let mut bytes = Vec::new();
            for _ in 0..200 {
                let function = if kind == Kind::WithdrawnSmall { SLOW } else { unknown_function() };
                bytes.extend(frame(0, number, &request("match", &new_ref(), 3000, function, &body)));
                number += 1;
            }
            if kind != Kind::Many {
                (first..number).for_each(|stream| bytes.extend(frame(2, stream, &[])));
            }
            if stream.write_all(&bytes).is_err() {
                break;
            }
            made.fetch_add(200, Ordering::Relaxed);
        }
        let _ = stream.shutdown(Shutdown::Both);
    }
}

pub fn run(setup: &Setup) -> bool {
    let record = &setup.record;
    // Workers answer 'error' to what they cannot use.
    let script: Script = Arc::new(|job| {
        let slow = u64::from_str_radix(&job.function, 16) == Ok(SLOW);
        let answer = if is_unknown(&job.function) { plain("500", &job.rid) } else { ok(&job.rid, &[1; 12_000]) };
        vec![(if slow { 2500 } else { 20 }, answer)]
    });
    let workers: Vec<Worker> = (1..=WORKERS).map(|id| Worker::start(id, record, script.clone())).collect();
    let bus = Bus::start(workers.iter().map(|w| Listed::ready(w.id, w.port)).collect());
    let config = Config { memory_mb: MEMORY_MB, sockets: SOCKETS, ..Config::new(bus.port) };
    let mut scheduler = Scheduler::start(setup, &config, &config.json(&bus.known()));
    let (stop, made) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    if setup.trouble {
        for number in 0..BAD_CLIENTS {
            let (stop, made, port) = (stop.clone(), made.clone(), scheduler.port);
            thread::spawn(move || bad_client(KINDS[number % KINDS.len()], port, &stop, &made));
        }
    }
    let (mut usual, mut ended): (Vec<Client>, Vec<Client>) = (Vec::new(), Vec::new());
    let began = Instant::now();
    let (mut peak, mut peak_anonymous) = (0, 0);
    let mut next_line = 0;
    let limit = MEMORY_MB * 1024;
    let mut killed = false;
    while began.elapsed().as_secs() < SECONDS && !killed && scheduler.exited().is_none() {
        if usual.len() < USUAL_CLIENTS {
            let name = format!("usual {}", usual.len() + ended.len());
            usual.extend(Client::connect(&name, scheduler.port, record));
        }
        for client in usual.iter_mut().filter(|client| client.open() < 32) {
            client.send("match", 1500, QUICK, &[2; 16_000]);
        }
        for _ in 0..10 {
            thread::sleep(ms(10));
            peak = peak.max(scheduler.memory_kb("VmRSS"));
            peak_anonymous = peak_anonymous.max(scheduler.memory_kb("RssAnon"));
            if peak_anonymous > limit && !killed {
                // As the platform does.
                killed = true;
                scheduler.kill();
                record.line(&format!("RssAnon {peak_anonymous} kB is over the limit: the scheduler is killed"));
            }
        }
        if began.elapsed().as_secs() >= next_line {
            next_line += 1;
            record.line(&format!("memory so far: VmRSS {peak} kB, of it anonymous {peak_anonymous} kB"));
        }
        let (gone, kept): (Vec<_>, Vec<_>) = usual.into_iter().partition(Client::ended);
        ended.extend(gone);
        usual = kept;
    }
    let exited = !killed && scheduler.exited().is_some();
    thread::sleep(ms(300));
    stop.store(true, Ordering::Relaxed);
    ended.extend(usual);
    let tally = Tally::of(&ended, record);
    record.say(&format!("bad requests {}; {}", made.load(Ordering::Relaxed), tally.text()));
    record.say(&format!(
        "limit {limit} kB; highest VmRSS {peak} kB, of it anonymous {peak_anonymous} kB; killed for memory: {killed} after {:.1} s",
        began.elapsed().as_secs_f64()
    ));
    killed || exited
}
