//! Usual clients beside bad clients that send at full speed, while the scheduler has a part of a core.

use crate::common::*;
use std::io::Write;
use std::net::{Ipv4Addr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Instant;

const BAD_CLIENTS: usize = 100;
const USUAL_CLIENTS: usize = 40;
const SECONDS: u64 = 40;
/// Each usual client sends a request this often: 400 a second in all.
const INTERVAL_MS: u64 = 100;
const ALLOW_MS: u64 = 1500;
/// The scheduler runs for 20 ms of each 50 ms: 0.4 of a core.
const RUNS_MS: u64 = 20;
const WAITS_MS: u64 = 30;

/// Sends requests of a class that does not exist, at full speed, and reads what it is sent.
fn bad_client(port: u16, stop: &AtomicBool, made: &AtomicU64) {
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect((Ipv4Addr::LOCALHOST, port)) else {
            thread::sleep(ms(20));
            continue;
        };
        read_all(&stream);
        let mut number = 1;
        while !stop.load(Ordering::Relaxed) {
            let mut bytes = Vec::new();
            for _ in 0..200 {
                bytes.extend(frame(0, number, &request("no-such-class", &new_ref(), 1500, 0x77, b"x")));
                number += 1;
            }
            if stream.write_all(&bytes).is_err() {
                break;
            }
            made.fetch_add(200, Ordering::Relaxed);
        }
        let _ = stream.shutdown(std::net::Shutdown::Both);
    }
}

pub fn run(setup: &Setup) -> bool {
    let record = &setup.record;
    let script: Script = Arc::new(|job| vec![(20, ok(&job.rid, b"served"))]);
    let workers: Vec<Worker> = (1..=6).map(|id| Worker::start(id, record, script.clone())).collect();
    let bus = Bus::start(workers.iter().map(|w| Listed::ready(w.id, w.port)).collect());
    let config = Config { cores: 0.4, ..Config::new(bus.port) };
    let scheduler = Scheduler::start(setup, &config, &config.json(&bus.known()));
    let (stop, made) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let share = CpuShare::start(scheduler.pid(), RUNS_MS, WAITS_MS);
    if setup.trouble {
        for _ in 0..BAD_CLIENTS {
            let (stop, made, port) = (stop.clone(), made.clone(), scheduler.port);
            thread::spawn(move || bad_client(port, &stop, &made));
        }
    }
    let connect = |number| Client::connect(&format!("usual {number}"), scheduler.port, record);
    let mut usual: Vec<Client> =
        (0..USUAL_CLIENTS).map(|number| connect(number).unwrap_or_else(|| cannot_run("no connection"))).collect();
    let began = Instant::now();
    while began.elapsed().as_secs() < SECONDS {
        for client in &mut usual {
            // Up to 32 requests may be open on one connection.
            if client.open() < 32 {
                client.send("match", ALLOW_MS, 0x51, &[5; 16_000]);
            }
        }
        thread::sleep(ms(INTERVAL_MS));
    }
    // The last requests have their time, the slack and a second more.
    thread::sleep(ms(ALLOW_MS + 550 + 1000));
    let tally = Tally::of(&usual, record);
    stop.store(true, Ordering::Relaxed);
    drop(share);
    record.say(&format!("bad requests {}; {}", made.load(Ordering::Relaxed), tally.text()));
    tally.none + tally.late > 0
}
