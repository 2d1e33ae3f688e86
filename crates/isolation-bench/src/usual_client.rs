//! Usual clients, which send one request after another and measure how long each response takes.

use crate::frames::{self, CLASS, FrameType, SERVED};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
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

    fn merge(&mut self, other: Responses) {
        self.times.extend(other.times);
        self.times.sort_unstable();
        self.served += other.served;
        self.lost += other.lost;
    }
}

/// Lets the usual clients send until `stop` is set. Only requests that begin after `measure` is set count.
pub(crate) fn run_all(address: SocketAddr, measure: &AtomicBool, stop: &AtomicBool) -> Responses {
    let mut responses = Responses::default();
    thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|_| scope.spawn(|| run(address, measure, stop)))
            .collect();
        for client in clients {
            responses.merge(client.join().expect("a client does not panic"));
        }
    });
    responses
}

fn run(address: SocketAddr, measure: &AtomicBool, stop: &AtomicBool) -> Responses {
    let mut responses = Responses::default();
    let mut connection = Connection::open(address);
    while !stop.load(Ordering::Relaxed) {
        let counts = measure.load(Ordering::Relaxed);
        let began_at = Instant::now();
        let code = connection
            .as_mut()
            .map_err(|error| error.kind())
            .and_then(|connection| connection.call().map_err(|error| error.kind()));
        if code.is_err() {
            connection = Connection::open(address);
        }
        if counts {
            match code {
                Ok(code) => {
                    responses.times.push(began_at.elapsed());
                    responses.served += usize::from(code == SERVED);
                }
                Err(_) => responses.lost += 1,
            }
        }
        thread::sleep(PAUSE);
    }
    responses
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
        let request = frames::encode_request(self.last_stream, CLASS, function, ALLOW_MS);
        self.input.get_mut().write_all(&request)?;
        loop {
            let frame = frames::read(&mut self.input)?;
            if frame.frame_type == FrameType::Response as u8 && frame.stream == self.last_stream {
                return Ok(frame.payload.first().copied().unwrap_or_default());
            }
        }
    }
}
