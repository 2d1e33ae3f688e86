//! Clients that send at full speed on many connections.

use crate::bad_peer::BadPeer;
use crate::frames::{self, CLASS, FrameType, HEADER_BYTES, LARGEST_BODY, MAX_LENGTH};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Number of threads that serve the connections, so that the scheduler keeps a core of its own.
const THREADS: usize = 3;
/// Number of messages that a connection sends in one go.
const MESSAGES_AT_ONCE: u32 = 50;
/// Number of requests with large bodies that a connection sends in one go.
const LARGE_REQUESTS_AT_ONCE: u32 = 200;
/// Number of requests that a client may have open on a connection.
const MAX_OPEN_REQUESTS: u32 = 32;
/// The high digits of functions that no worker knows.
pub(crate) const UNKNOWN_FUNCTIONS: u64 = 0xbad << 52;
/// Number of members of a long JSON object.
const MEMBERS: usize = 4_000;
const READ_BUFFER_BYTES: usize = 64 << 10;

/// Where bad clients connect to.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Frontend<'a> {
    Frames(SocketAddr),
    JsonRpc(&'a Path),
}

trait Stream: Read + Write {}
impl<S: Read + Write> Stream for S {}

/// Keeps `connections` connections of a kind full until `stop` is set. What is random follows from the seed.
pub(crate) fn run_all(kind: BadPeer, frontend: Frontend, connections: usize, seed: u64, stop: &AtomicBool) {
    thread::scope(|scope| {
        for thread in 0..THREADS {
            let count = connections / THREADS + usize::from(thread < connections % THREADS);
            let seed = seed.wrapping_add(thread as u64);
            scope.spawn(move || run(kind, frontend, count, seed, stop));
        }
    });
}

fn run(kind: BadPeer, frontend: Frontend, count: usize, seed: u64, stop: &AtomicBool) {
    fastrand::seed(seed);
    let open = || BadClient::open(kind, frontend).ok();
    let mut clients: Vec<Option<BadClient>> = (0..count).map(|_| open()).collect();
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    while !stop.load(Ordering::Relaxed) {
        let mut is_idle = true;
        for client in &mut clients {
            match client.as_mut().map(|client| client.exchange(&mut buffer)) {
                Some(Ok(has_progress)) => is_idle &= !has_progress,
                Some(Err(_)) | None => *client = open(),
            }
        }
        if is_idle {
            thread::sleep(Duration::from_millis(1));
        }
    }
}

/// One connection of a bad client.
struct BadClient {
    kind: BadPeer,
    stream: Box<dyn Stream>,
    output: Vec<u8>,
    written: usize,
    last_stream: u32,
    open_requests: u32,
    /// Bytes of a response that has not arrived whole.
    input: Vec<u8>,
}

impl BadClient {
    fn open(kind: BadPeer, frontend: Frontend) -> io::Result<BadClient> {
        let stream: Box<dyn Stream> = match frontend {
            Frontend::Frames(address) => {
                let stream = TcpStream::connect(address)?;
                stream.set_nonblocking(true)?;
                Box::new(stream)
            }
            Frontend::JsonRpc(path) => {
                let stream = UnixStream::connect(path)?;
                stream.set_nonblocking(true)?;
                Box::new(stream)
            }
        };
        Ok(BadClient {
            kind: kind.of_connection(),
            stream,
            output: Vec::new(),
            written: 0,
            last_stream: 0,
            open_requests: 0,
            input: Vec::new(),
        })
    }

    /// Reads and writes what the socket allows. Returns whether that was anything.
    fn exchange(&mut self, buffer: &mut [u8]) -> io::Result<bool> {
        let received = would_block_as_none(self.stream.read(buffer))?;
        match received {
            Some(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Some(count) if self.kind == BadPeer::UnknownFunctions => self.count_responses(&buffer[..count]),
            _ => {}
        }
        if self.written == self.output.len() {
            self.output.clear();
            self.written = 0;
            self.enqueue();
        }
        let sent = would_block_as_none(self.stream.write(&self.output[self.written..]))?;
        self.written += sent.unwrap_or(0);
        Ok(received.is_some() || sent.is_some_and(|count| count > 0))
    }

    /// Counts the responses in new input, each of which allows another request.
    fn count_responses(&mut self, bytes: &[u8]) {
        self.input.extend(bytes);
        let mut consumed = 0;
        while let Some(length) = self.input[consumed..].first_chunk::<4>() {
            let end = consumed + 4 + u32::from_be_bytes(*length) as usize;
            if end > self.input.len() {
                break;
            }
            let is_response = self.input[consumed + 4] == FrameType::Response as u8;
            self.open_requests -= u32::from(is_response && self.open_requests > 0);
            consumed = end;
        }
        self.input.drain(..consumed);
    }

    /// Adds the next messages to the output.
    fn enqueue(&mut self) {
        if self.sends_once() {
            if self.last_stream == 0 {
                self.enqueue_message();
            }
        } else if self.kind == BadPeer::LargeWithdrawals {
            self.enqueue_withdrawals();
        } else if self.kind == BadPeer::LargeRequests {
            (0..LARGE_REQUESTS_AT_ONCE).for_each(|_| self.enqueue_message());
        } else if self.kind == BadPeer::SlowPartialRequests && self.last_stream > 0 {
            self.output.push(0);
        } else if self.kind == BadPeer::UnknownFunctions {
            while self.open_requests < MAX_OPEN_REQUESTS {
                self.open_requests += 1;
                self.enqueue_message();
            }
        } else if self.kind != BadPeer::HalfFrames || self.last_stream == 0 {
            for _ in 0..MESSAGES_AT_ONCE {
                self.enqueue_message();
            }
        }
    }

    /// Returns whether the client sends a single message and then waits until it is closed.
    fn sends_once(&self) -> bool {
        matches!(
            self.kind,
            BadPeer::PartialRequests
                | BadPeer::SmallPartialRequests
                | BadPeer::PartialBesideOpen
                | BadPeer::ImpossibleLengths
        ) || self.kind == BadPeer::SlowPartialRequests && self.last_stream == 0
    }

    /// Adds hundreds of requests, and then the cancellation of each.
    fn enqueue_withdrawals(&mut self) {
        let first = self.last_stream + 1;
        (0..LARGE_REQUESTS_AT_ONCE).for_each(|_| self.enqueue_message());
        for stream in first..=self.last_stream {
            self.output.extend(frames::encode(FrameType::Cancel, stream, &[]));
        }
    }

    fn enqueue_message(&mut self) {
        self.last_stream += 1;
        let stream = self.last_stream;
        let message = match self.kind {
            BadPeer::ManyFields => frames::encode(FrameType::Request, stream, &many_fields()),
            BadPeer::NoFields => frames::encode(FrameType::Request, stream, &[0]),
            BadPeer::UnknownClass => frames::encode_request(stream, "unknown", 1, 3_000),
            BadPeer::UnknownFunctions => frames::encode_request(stream, CLASS, unknown_function(), 3_000),
            BadPeer::Readiness => frames::encode(FrameType::Readiness, stream, &[0]),
            BadPeer::Cancellations => cancelled_request(stream),
            BadPeer::LongFrames => long_frame(stream),
            BadPeer::HalfFrames => half_frame(stream),
            BadPeer::PartialRequests | BadPeer::SlowPartialRequests => {
                part_of_request(stream, 32_700, 31_000)
            }
            BadPeer::SmallPartialRequests => part_of_request(stream, 16_300, 15_500),
            BadPeer::PartialBesideOpen => {
                let mut open = frames::encode_request(stream, CLASS, fastrand::u64(..20), 3_000);
                open.extend(part_of_request(stream + 1, 32_700, 31_000));
                open
            }
            BadPeer::ImpossibleLengths => vec![0; 4],
            BadPeer::LargeWithdrawals | BadPeer::LargeRequests => large_request(stream),
            BadPeer::JsonRpcBatches => jsonrpc_batch(stream),
            BadPeer::JsonRpcShortLines => b"1\n".to_vec(),
            BadPeer::JsonRpcManyMembers => jsonrpc_many_members(),
            _ => Vec::new(),
        };
        self.output.extend(message);
    }
}

fn would_block_as_none(result: io::Result<usize>) -> io::Result<Option<usize>> {
    match result {
        Ok(count) => Ok(Some(count)),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(None),
        Err(error) => Err(error),
    }
}

fn unknown_function() -> u64 {
    UNKNOWN_FUNCTIONS | fastrand::u64(..1 << 52)
}

fn many_fields() -> Vec<u8> {
    let names: Vec<String> = (0..u8::MAX).map(|number| format!("{number:02x}")).collect();
    let fields: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "")).collect();
    frames::encode_fields(&fields)
}

fn cancelled_request(stream: u32) -> Vec<u8> {
    let mut message = frames::encode_request(stream, CLASS, fastrand::u64(..20), 3_000);
    message.extend(frames::encode(FrameType::Cancel, stream, &[]));
    message
}

fn long_frame(stream: u32) -> Vec<u8> {
    let mut frame = frames::encode(FrameType::Request, stream, &[]);
    frame[..4].copy_from_slice(&(MAX_LENGTH as u32).to_be_bytes());
    frame.resize(MAX_LENGTH + 4, 0);
    frame
}

/// A frame of which most has come. Small requests come before it, so that the connection counts as one of a
/// client that sends.
fn half_frame(stream: u32) -> Vec<u8> {
    if stream < MESSAGES_AT_ONCE {
        return frames::encode(FrameType::Readiness, stream, &[0]);
    }
    let mut frame = frames::encode(FrameType::Request, stream, &vec![0; 30 << 10]);
    frame.truncate(HEADER_BYTES + (29 << 10));
    frame
}

/// Returns the first `sent` bytes of a request whose frame says that it has `length`.
fn part_of_request(stream: u32, length: usize, sent: usize) -> Vec<u8> {
    let body = vec![7; length];
    let mut frame = frames::encode_request_with_body(stream, CLASS, unknown_function(), 3_000, &body);
    frame[..4].copy_from_slice(&(length as u32).to_be_bytes());
    frame.truncate(sent);
    frame
}

fn large_request(stream: u32) -> Vec<u8> {
    frames::encode_request_with_body(stream, CLASS, unknown_function(), 3_000, &[4; LARGEST_BODY])
}

fn jsonrpc_batch(number: u32) -> Vec<u8> {
    let call = |index: u32| {
        let id = number.wrapping_mul(64).wrapping_add(index);
        format!(
            r#"{{"jsonrpc":"2.0","id":{id},"method":"call","params":{{"class":"unknown","function":"{id:016x}","allow_ms":3000}}}}"#
        )
    };
    let calls: Vec<String> = (0..64).map(call).collect();
    format!("[{}]\n", calls.join(",")).into_bytes()
}

fn jsonrpc_many_members() -> Vec<u8> {
    let members: Vec<String> = (0..MEMBERS)
        .map(|member| format!(r#""{member:04x}":0"#))
        .collect();
    format!("{{{}}}\n", members.join(",")).into_bytes()
}
