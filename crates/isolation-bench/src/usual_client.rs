//! Usual clients, which send one request after another, every second one as large as the page PROTOCOL allows, and
//! measure how long each response takes.

use crate::frames::{self, CLASS, FrameType, LARGEST_BODY, SERVED};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Number of usual clients.
const CLIENTS: usize = 4;
/// Number of functions that the usual clients request.
const FUNCTIONS: u64 = 20;
/// Time between a response and the client's next request.
const PAUSE: Duration = Duration::from_millis(40);
/// How long a client waits for the whole response, in milliseconds.
const ALLOW_MS: u64 = 3_000;
/// Time after that at which the response counts as lost, with the slack of the page PROTOCOL, in milliseconds.
const LOST_AFTER_MS: u64 = 550;

/// Time in which a request may cross the end of its connection (page PROTOCOL).
const CROSSING_TIME: Duration = Duration::from_millis(50);

/// How the usual requests ended.
#[derive(Debug, Default)]
pub(crate) struct Responses {
    /// The times of the responses, in ascending order.
    times: Vec<Duration>,
    served: usize,
    lost: usize,
}

impl Responses {
    /// Returns the number of requests.
    pub(crate) fn requests(&self) -> usize {
        self.times.len() + self.lost
    }

    /// Returns the number of requests that were served.
    pub(crate) fn served(&self) -> usize {
        self.served
    }

    /// Returns the number of requests without a response in time.
    pub(crate) fn lost(&self) -> usize {
        self.lost
    }

    /// Returns the median time of a response.
    pub(crate) fn median(&self) -> Duration {
        self.times.get(self.times.len() / 2).copied().unwrap_or_default()
    }

    /// Returns the longest time of a response.
    pub(crate) fn slowest(&self) -> Duration {
        self.times.last().copied().unwrap_or_default()
    }

    /// Records a response with its code and the time that it took, or that there was none.
    fn record(&mut self, code: Option<u8>, time: Duration) {
        match code {
            Some(code) => {
                self.times.push(time);
                self.served += usize::from(code == SERVED);
            }
            None => self.lost += 1,
        }
    }

    fn merge(&mut self, other: Responses) {
        self.times.extend(other.times);
        self.times.sort_unstable();
        self.served += other.served;
        self.lost += other.lost;
    }
}

/// The part of a measurement in which a request begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum Stage {
    /// Requests do not count.
    WarmUp,
    /// The bad peer sends.
    BadPeer,
    /// The scheduler has been sent SIGTERM, and the bad peer still sends.
    Shutdown,
    /// No further request begins.
    Stopped,
}

/// The current stage, which the clients look at before each request.
#[derive(Debug, Default)]
pub(crate) struct CurrentStage(AtomicU8);

impl CurrentStage {
    /// Begins a stage.
    pub(crate) fn set(&self, stage: Stage) {
        self.0.store(stage as u8, Ordering::Relaxed);
    }

    fn get(&self) -> Stage {
        match self.0.load(Ordering::Relaxed) {
            0 => Stage::WarmUp,
            1 => Stage::BadPeer,
            2 => Stage::Shutdown,
            _ => Stage::Stopped,
        }
    }
}

/// How the usual requests ended that began beside the bad peer, and in the shutdown.
#[derive(Debug, Default)]
pub(crate) struct UsualResponses {
    pub(crate) beside_bad_peer: Responses,
    pub(crate) in_shutdown: Responses,
}

/// Lets the usual clients send until the last stage.
pub(crate) fn run_all(address: SocketAddr, stage: &CurrentStage) -> UsualResponses {
    let mut responses = UsualResponses::default();
    thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|_| scope.spawn(|| run(address, stage)))
            .collect();
        for client in clients {
            let of_client = client.join().expect("a client does not panic");
            responses.beside_bad_peer.merge(of_client.beside_bad_peer);
            responses.in_shutdown.merge(of_client.in_shutdown);
        }
    });
    responses
}

fn run(address: SocketAddr, current_stage: &CurrentStage) -> UsualResponses {
    let mut responses = UsualResponses::default();
    let mut connection = Connection::open(address);
    loop {
        let stage = current_stage.get();
        if stage == Stage::Stopped {
            return responses;
        }
        let began_at = Instant::now();
        let code = match &mut connection {
            Ok(connection) => connection.call(),
            Err(error) => Err(error.kind().into()),
        };
        if code.is_err() {
            connection = Connection::open(address);
        }
        match stage {
            Stage::BadPeer => responses.beside_bad_peer.record(code.ok(), began_at.elapsed()),
            // A request that crosses the end of its connection is sent once more, to another scheduler.
            Stage::Shutdown if code.is_err() && began_at.elapsed() <= CROSSING_TIME => {}
            Stage::Shutdown => responses.in_shutdown.record(code.ok(), began_at.elapsed()),
            Stage::WarmUp | Stage::Stopped => {}
        }
        thread::sleep(PAUSE);
    }
}

/// A connection of a usual client.
struct Connection {
    input: BufReader<TcpStream>,
    last_stream: u32,
}

impl Connection {
    fn open(address: SocketAddr) -> io::Result<Connection> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(ALLOW_MS + LOST_AFTER_MS)))?;
        Ok(Connection {
            input: BufReader::new(stream),
            last_stream: 0,
        })
    }

    /// Sends a request and returns the code of its response.
    fn call(&mut self) -> io::Result<u8> {
        self.last_stream += 1;
        let function = fastrand::u64(..FUNCTIONS);
        let body = [5; LARGEST_BODY];
        let length = if self.last_stream.is_multiple_of(2) {
            LARGEST_BODY
        } else {
            1
        };
        let request =
            frames::encode_request_with_body(self.last_stream, CLASS, function, ALLOW_MS, &body[..length]);
        self.input.get_mut().write_all(&request)?;
        loop {
            let frame = frames::read(&mut self.input)?;
            if frame.frame_type == FrameType::Response as u8 && frame.stream == self.last_stream {
                return Ok(frame.payload.first().copied().unwrap_or_default());
            }
        }
    }
}
