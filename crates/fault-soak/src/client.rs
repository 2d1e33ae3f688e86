//! Stand-in clients: they send requests, read the answers, and now and then leave, well or badly, as the switches say.

use crate::recorder::{Event, Incarnation, Recorder, RequestClass, RequestNumber};
use crate::scheduler::Scheduler;
use crate::switches::ClientSwitches;
use crate::wire::{self, ClientFrame};
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::{sleep, timeout};

/// Pause between two requests of a client, in milliseconds.
const PAUSES_MS: std::ops::RangeInclusive<u64> = 20..=160;
/// How long a request's client waits, in milliseconds.
const ALLOWED_MS: std::ops::RangeInclusive<u64> = 300..=2_000;
/// Functions that are called.
const FUNCTIONS: std::ops::RangeInclusive<u64> = 1..=24;
/// Requests on a connection before it is closed.
const REQUESTS_PER_CONNECTION: std::ops::RangeInclusive<u32> = 10..=80;
/// Requests open at a time on a connection.
const MAX_OPEN: usize = 24;
/// Of a hundred requests, so many have a large body.
const LARGE_BODIES_PERCENT: u8 = 5;
const LARGE_BODY_BYTES: usize = 16 << 10;
/// Of a thousand steps, so many are a cancellation or a close with requests open; more while clients leave.
const LEAVES_PER_MILLE: u16 = 10;
const MANY_LEAVES_PER_MILLE: u16 = 300;
/// Of a thousand steps, so many are garbage while clients are malformed.
const GARBAGE_PER_MILLE: u16 = 150;
const RETRY_PAUSE: Duration = Duration::from_millis(30);
/// How long after the last deadline answers are waited for.
const PATIENCE: Duration = Duration::from_millis(3_000);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// What all clients of a run share.
#[derive(Debug)]
pub(crate) struct ClientWorld {
    pub(crate) switches: ClientSwitches,
    pub(crate) recorder: Arc<Recorder>,
    next_request: AtomicU64,
    next_connection: AtomicU64,
}

impl ClientWorld {
    pub(crate) fn new(recorder: &Arc<Recorder>) -> ClientWorld {
        ClientWorld {
            switches: ClientSwitches::default(),
            recorder: Arc::clone(recorder),
            next_request: AtomicU64::new(1),
            next_connection: AtomicU64::new(1),
        }
    }

    fn is_over(&self) -> bool {
        self.switches.is_over.load(Ordering::Relaxed)
    }
}

/// Requests of a connection that wait for their answers, by stream.
type OpenRequests = Arc<Mutex<HashMap<u32, RequestNumber>>>;

/// A connection as its client sees it.
struct ClientConnection {
    world: Arc<ClientWorld>,
    number: u64,
    incarnation: Incarnation,
    output: OwnedWriteHalf,
    open: OpenRequests,
    /// The scheduler has asked to send nothing more.
    was_asked_to_leave: Arc<AtomicBool>,
    has_ended: Arc<AtomicBool>,
    next_stream: u32,
}

/// What a client does next.
enum Step {
    Send,
    Cancel,
    Abandon,
    Garbage,
    LeaveOrderly,
}

/// Sends requests to a scheduler until the run is over.
pub(crate) async fn run(world: Arc<ClientWorld>, scheduler: Arc<Scheduler>) {
    while !world.is_over() {
        if !scheduler.is_open.load(Ordering::Relaxed) {
            sleep(RETRY_PAUSE).await;
            continue;
        }
        let incarnation = scheduler.incarnation();
        let Ok(Ok(stream)) = timeout(Duration::from_millis(500), TcpStream::connect(scheduler.address)).await
        else {
            sleep(RETRY_PAUSE).await;
            continue;
        };
        ClientConnection::begin(&world, incarnation, stream)
            .use_up()
            .await;
    }
}

impl ClientConnection {
    fn begin(world: &Arc<ClientWorld>, incarnation: Incarnation, stream: TcpStream) -> ClientConnection {
        let _ = stream.set_nodelay(true);
        let (input, output) = stream.into_split();
        let connection = ClientConnection {
            world: Arc::clone(world),
            number: world.next_connection.fetch_add(1, Ordering::Relaxed),
            incarnation,
            output,
            open: OpenRequests::default(),
            was_asked_to_leave: Arc::default(),
            has_ended: Arc::default(),
            next_stream: 1,
        };
        tokio::spawn(read_answers(
            Arc::clone(world),
            connection.number,
            input,
            Arc::clone(&connection.open),
            Arc::clone(&connection.was_asked_to_leave),
            Arc::clone(&connection.has_ended),
        ));
        connection
    }

    fn open_count(&self) -> usize {
        self.open.lock().expect("no task panics here").len()
    }

    fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::Relaxed)
    }

    /// Sends requests until the connection ends or has had its share.
    async fn use_up(mut self) {
        let mut requests_left = fastrand::u32(REQUESTS_PER_CONNECTION);
        while !self.has_ended() && !self.world.is_over() {
            match self.choose_step(requests_left) {
                Step::Send => {
                    requests_left -= 1;
                    self.send_request().await;
                }
                Step::Cancel => self.cancel_one().await,
                Step::Abandon => return self.abandon(),
                Step::Garbage => {
                    let _ = self.output.write_all(&[0; 4]).await;
                    break;
                }
                Step::LeaveOrderly => break,
            }
            sleep(Duration::from_millis(fastrand::u64(PAUSES_MS))).await;
        }
        self.wait_for_answers().await;
    }

    fn choose_step(&self, requests_left: u32) -> Step {
        let switches = &self.world.switches;
        let was_asked = self.was_asked_to_leave.load(Ordering::Relaxed);
        let is_stubborn = switches.stubborn.is_on();
        if requests_left == 0 || was_asked && !is_stubborn {
            return Step::LeaveOrderly;
        }
        let leaves = if switches.leave.is_on() {
            MANY_LEAVES_PER_MILLE
        } else {
            LEAVES_PER_MILLE
        };
        let has_open = self.open_count() > 0;
        if has_open && fastrand::u16(..1000) < leaves {
            return if fastrand::bool() {
                Step::Cancel
            } else {
                Step::Abandon
            };
        }
        if has_open && switches.malformed.is_on() && fastrand::u16(..1000) < GARBAGE_PER_MILLE {
            return Step::Garbage;
        }
        Step::Send
    }

    async fn send_request(&mut self) {
        if self.open_count() >= MAX_OPEN {
            return;
        }
        let request = self.world.next_request.fetch_add(1, Ordering::Relaxed);
        let class = match fastrand::u8(..4) {
            0 => RequestClass::Keyed,
            1 => RequestClass::NonIdempotent,
            _ => RequestClass::Idempotent,
        };
        let allowed = Duration::from_millis(fastrand::u64(ALLOWED_MS));
        let body = request_body(request);
        let stream = self.next_stream;
        self.next_stream += 1;
        let frame = wire::request(stream, request, class, allowed, fastrand::u64(FUNCTIONS), &body);
        self.open
            .lock()
            .expect("no task panics here")
            .insert(stream, request);
        if self.output.write_all(&frame).await.is_err() {
            // Not written whole: it was never taken.
            self.open.lock().expect("no task panics here").remove(&stream);
            return;
        }
        self.world.recorder.record(Event::Sent {
            request,
            class,
            allowed,
            connection: self.number,
            incarnation: self.incarnation,
        });
    }

    async fn cancel_one(&mut self) {
        let cancelled = {
            let mut open = self.open.lock().expect("no task panics here");
            let stream = open.keys().next().copied();
            stream.and_then(|stream| Some((stream, open.remove(&stream)?)))
        };
        let Some((stream, request)) = cancelled else {
            return;
        };
        if self.output.write_all(&wire::cancel(stream)).await.is_ok() {
            self.world.recorder.record(Event::Left { request });
        }
    }

    /// Closes the connection with requests open.
    fn abandon(self) {
        let open = std::mem::take(&mut *self.open.lock().expect("no task panics here"));
        let ended = self.has_ended();
        self.has_ended.store(true, Ordering::Relaxed);
        for request in open.into_values().filter(|_| !ended) {
            self.world.recorder.record(Event::Left { request });
        }
    }

    /// Sends nothing more, and closes the connection once every answer has come or is lost.
    async fn wait_for_answers(self) {
        let mut waited = Duration::ZERO;
        while self.open_count() > 0 && !self.has_ended() && waited < PATIENCE {
            sleep(POLL_INTERVAL).await;
            waited += POLL_INTERVAL;
        }
        self.has_ended.store(true, Ordering::Relaxed);
    }
}

/// The body of a request, which tells it from every other.
fn request_body(request: RequestNumber) -> Vec<u8> {
    let mut body = request.to_be_bytes().to_vec();
    // Derived from the number, so that the reader of the answer knows it too.
    if (request.wrapping_mul(0x9e37_79b9) >> 8) % 100 < u64::from(LARGE_BODIES_PERCENT) {
        body.resize(LARGE_BODY_BYTES, b'x');
    }
    body
}

async fn read_answers(
    world: Arc<ClientWorld>,
    connection: u64,
    mut input: OwnedReadHalf,
    open: OpenRequests,
    was_asked_to_leave: Arc<AtomicBool>,
    has_ended: Arc<AtomicBool>,
) {
    let mut answered = HashMap::new();
    loop {
        let frame = tokio::select! {
            frame = wire::read_frame(&mut input) => frame,
            () = until(&has_ended) => return,
        };
        match frame {
            Ok(Some(ClientFrame::Answer { stream, answer, body })) => {
                let request = open.lock().expect("no task panics here").remove(&stream);
                let request = request.or_else(|| answered.get(&stream).copied());
                let Some(request) = request else { continue };
                answered.insert(stream, request);
                world.recorder.record(Event::Answered {
                    request,
                    answer,
                    body_is_right: body == request_body(request),
                });
            }
            Ok(Some(ClientFrame::Leave)) => was_asked_to_leave.store(true, Ordering::Relaxed),
            Ok(Some(ClientFrame::Readiness { .. })) => {}
            Ok(None) | Err(_) => {
                if !has_ended.swap(true, Ordering::Relaxed) {
                    world.recorder.record(Event::ConnectionEnded { connection });
                }
                return;
            }
        }
    }
}

async fn until(flag: &AtomicBool) {
    while !flag.load(Ordering::Relaxed) {
        sleep(POLL_INTERVAL).await;
    }
}
