//! Usual clients with large bodies beside bad clients that send frames whose length is wrong.

use crate::common::*;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Instant;

const BAD_CLIENTS: usize = 200;
const USUAL_CLIENTS: usize = 6;
const SECONDS: u64 = 25;
/// The function whose calls are under way on a connection when the next request comes.
const SLOW: u64 = 0x51;
const QUICK: u64 = 0x52;
/// The largest body that the protocol page allows.
const LARGEST_BODY: usize = 16 << 10;

/// Sends a frame that ends before the length that it states, and waits for an answer or the end of the connection;
/// then the same thing again.
fn bad_client(port: u16, stop: &AtomicBool, made: &AtomicU64) {
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect((Ipv4Addr::LOCALHOST, port)) else {
            thread::sleep(ms(20));
            continue;
        };
        let _ = stream.set_read_timeout(Some(ms(3000)));
        let mut bytes = frame(0, 1, &request("match", &new_ref(), 1500, unknown_function(), &[7; 31_000]));
        bytes[..4].copy_from_slice(&32_700u32.to_be_bytes());
        made.fetch_add(1, Ordering::Relaxed);
        let _ = stream.write_all(&bytes);
        let mut sink = [0; 4096];
        while matches!(stream.read(&mut sink), Ok(n) if n > 0) {}
    }
}

pub fn run(setup: &Setup) -> bool {
    let record = &setup.record;
    let script: Script = Arc::new(|job| {
        let delay = if job.function.ends_with("51") { 400 } else { 20 };
        vec![(delay, ok(&job.rid, b"served"))]
    });
    let workers: Vec<Worker> = (1..=4).map(|id| Worker::start(id, record, script.clone())).collect();
    let bus = Bus::start(workers.iter().map(|w| Listed::ready(w.id, w.port)).collect());
    let config = Config { memory_mb: 32, sockets: 1024, ..Config::new(bus.port) };
    let scheduler = Scheduler::start(setup, &config, &config.json(&bus.known()));
    let (stop, made) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    if setup.trouble {
        for _ in 0..BAD_CLIENTS {
            let (stop, made, port) = (stop.clone(), made.clone(), scheduler.port);
            thread::spawn(move || bad_client(port, &stop, &made));
        }
    }
    let (mut usual, mut ended): (Vec<Client>, Vec<Client>) = (Vec::new(), Vec::new());
    let began = Instant::now();
    while began.elapsed().as_secs() < SECONDS {
        while usual.len() < USUAL_CLIENTS {
            let name = format!("usual {}", usual.len() + ended.len());
            let Some(client) = Client::connect(&name, scheduler.port, record) else { break };
            usual.push(client);
        }
        for client in &mut usual {
            client.send("match", 3000, SLOW, b"small");
        }
        thread::sleep(ms(100));
        for client in &mut usual {
            client.send("match", 3000, QUICK, &[5; LARGEST_BODY]);
        }
        thread::sleep(ms(100));
        let (gone, kept): (Vec<_>, Vec<_>) = usual.into_iter().partition(Client::ended);
        ended.extend(gone);
        usual = kept;
    }
    thread::sleep(ms(3700));
    stop.store(true, Ordering::Relaxed);
    ended.extend(usual);
    let tally = Tally::of(&ended, record);
    let lost: usize = ended
        .iter()
        .map(|client| {
            let state = client.state.lock().unwrap();
            state.sent.values().filter(|sent| sent.answers.is_empty() && sent.beside_open).count()
        })
        .sum();
    record.say(&format!("bad connections {}; {}", made.load(Ordering::Relaxed), tally.text()));
    record.say(&format!("lost: {lost} requests sent whole beside an open request, with no answer at all"));
    // A request that crosses the close of a connection without an open request would be sent once more.
    lost > 0
}
