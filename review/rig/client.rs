//! Stand-ins for clients that speak frames: a usual one, and a bad one.

use crate::platform::Scheduler;
use crate::record::Record;
use crate::wire;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long a usual client waits for the whole answer, in milliseconds.
const ALLOW_MS: u64 = 3_000;
/// After this time, in seconds, an answer counts as none: the time allowed, half a second, and 50 ms of slack.
const LIMIT: f64 = 3.55;

/// How a request ended, as its client saw it.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// An answer with its code and body.
    Answer(u8, Vec<u8>),
    /// The connection ended without an answer.
    Closed,
    /// There was no answer until half a second after its time, with 50 ms of slack.
    Unanswered,
}

/// A request and its end.
#[derive(Clone, Debug)]
pub struct Done {
    pub sent_at: f64,
    pub ended_at: f64,
    pub end: End,
}

/// A usual client with one connection and one request at a time.
pub struct Client {
    address: SocketAddr,
    stream: TcpStream,
    last_stream: u32,
    record: Record,
}

impl Client {
    pub fn connect(record: &Record, address: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Client {
            address,
            stream,
            last_stream: 0,
            record: record.clone(),
        })
    }

    /// Sends a request and waits for its end. A request that crosses the end of its connection within 50 ms is
    /// sent once more, on a new connection. After any other end without an answer, the connection is a new one.
    pub fn call(&mut self, class: &str, function: &str, allow_ms: u64, body: &[u8]) -> Done {
        let mut done = self.send(class, function, allow_ms, body);
        if done.end == End::Closed && done.ended_at - done.sent_at <= 0.05 && self.reconnect() {
            self.record.line("client: sends it once more");
            done = self.send(class, function, allow_ms, body);
        }
        if !matches!(done.end, End::Answer(..)) {
            self.reconnect();
        }
        done
    }

    fn reconnect(&mut self) -> bool {
        match Client::connect(&self.record, self.address) {
            Some(client) => *self = client,
            None => return false,
        }
        true
    }

    fn send(&mut self, class: &str, function: &str, allow_ms: u64, body: &[u8]) -> Done {
        self.last_stream += 1;
        let reference = wire::random_id();
        let allow = allow_ms.to_string();
        let mut payload = wire::fields(&[
            ("service", class),
            ("ref", &reference),
            ("allow", &allow),
            ("lookup", function),
            ("spec", "memory_mb:512;lanes:2;load_ms:640"),
        ]);
        payload.extend(body);
        let is_sent = self
            .stream
            .write_all(&wire::frame(wire::REQUEST, self.last_stream, &payload))
            .is_ok();
        let sent_at = self.record.now();
        self.record
            .line(&format!("client: sends {class} {reference} for {function}"));
        let end = if is_sent { self.wait(allow_ms) } else { End::Closed };
        let shown = match &end {
            End::Answer(code, _) => format!("answered with {code}"),
            other => format!("{other:?}"),
        };
        self.record.line(&format!("client: {reference} {shown}"));
        let ended_at = self.record.now();
        Done {
            sent_at,
            ended_at,
            end,
        }
    }

    fn wait(&mut self, allow_ms: u64) -> End {
        let _ = self
            .stream
            .set_read_timeout(Some(Duration::from_millis(allow_ms + 550)));
        loop {
            match wire::read_frame(&mut self.stream) {
                Ok(frame) if frame.kind == wire::ANSWER && frame.stream == self.last_stream => {
                    let body = wire::answer_body(&frame.payload).to_vec();
                    return End::Answer(frame.payload.first().copied().unwrap_or(0), body);
                }
                Ok(_) => {}
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return End::Unanswered,
                Err(_) => return End::Closed,
            }
        }
    }
}

/// What a bad client has sent and received, over all its connections.
#[derive(Clone, Default)]
pub struct Flood {
    pub sent: Arc<AtomicU64>,
    pub answers: Arc<Mutex<HashMap<u8, u64>>>,
    pub stop: Arc<AtomicBool>,
}

impl Flood {
    /// Opens a connection that holds `open` requests at a time, and sends another one for each that is
    /// answered. `function` gives the function of each request.
    pub fn connect(&self, address: SocketAddr, open: usize, function: impl Fn() -> u64 + Send + 'static) {
        let flood = self.clone();
        thread::spawn(move || {
            let Ok(mut output) = TcpStream::connect(address) else {
                return;
            };
            let Ok(input) = output.try_clone() else { return };
            let mut input = BufReader::with_capacity(1 << 16, input);
            let (mut streams, mut in_flight) = (0, 0);
            while !flood.stop.load(Ordering::Relaxed) {
                let mut bytes = Vec::new();
                while in_flight < open {
                    streams += 1;
                    in_flight += 1;
                    bytes.extend(request(streams, function()));
                    flood.sent.fetch_add(1, Ordering::Relaxed);
                }
                if output.write_all(&bytes).is_err() {
                    return;
                }
                loop {
                    let Ok(frame) = wire::read_frame(&mut input) else {
                        return;
                    };
                    if frame.kind == wire::ANSWER && frame.stream > 0 {
                        in_flight -= 1;
                        let code = frame.payload.first().copied().unwrap_or(0);
                        *flood.answers.lock().unwrap().entry(code).or_default() += 1;
                    }
                    if input.buffer().is_empty() {
                        break;
                    }
                }
            }
        });
    }
}

fn request(stream: u32, function: u64) -> Vec<u8> {
    let payload = wire::fields(&[
        ("service", "match"),
        ("ref", &wire::random_id()),
        ("allow", "3000"),
        ("lookup", &format!("{function:016x}")),
    ]);
    wire::frame(wire::REQUEST, stream, &payload)
}

/// Starts a few usual clients that send until `seconds` have passed, and returns how their requests ended.
pub fn usual_clients(
    record: &Record,
    scheduler: &Arc<Scheduler>,
    seconds: u64,
    function: fn() -> String,
) -> Vec<Done> {
    let done = Arc::new(Mutex::new(Vec::new()));
    let started = Instant::now();
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let (record, scheduler, done) = (record.clone(), Arc::clone(scheduler), Arc::clone(&done));
            thread::spawn(move || {
                let Some(mut client) = Client::connect(&record, scheduler.listen) else {
                    return;
                };
                while started.elapsed() < Duration::from_secs(seconds) && !scheduler.has_ended() {
                    let call = client.call("match", &function(), ALLOW_MS, b"a body");
                    done.lock().unwrap().push(call);
                    thread::sleep(Duration::from_millis(60));
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    Arc::try_unwrap(done)
        .map(|done| done.into_inner().unwrap())
        .unwrap_or_default()
}

/// Writes how the requests of the usual clients ended; returns how many were lost.
pub fn count_lost(record: &Record, done: &[Done]) -> usize {
    let is_lost = |done: &&Done| !matches!(done.end, End::Answer(..)) || done.ended_at - done.sent_at > LIMIT;
    let lost = done.iter().filter(is_lost).count();
    let served = done
        .iter()
        .filter(|done| matches!(done.end, End::Answer(wire::SERVED, _)))
        .count();
    let slowest = done
        .iter()
        .map(|done| done.ended_at - done.sent_at)
        .fold(0.0, f64::max);
    let count = done.len();
    record.verdict(&format!(
        "usual clients: {count} requests, {served} served, {lost} lost, slowest {slowest:.3} s"
    ));
    lost
}
