//! A stand-in client of the frame protocol.
//!
//! Requests are encoded by the crate, and one test compares that encoding with literal bytes. Responses are
//! decoded here, with the types and codes that the page PROTOCOL defines, so that the tests detect a fault in
//! the crate's codec.

use super::closing_stream::ClosingStream;
use super::scheduler_process::SchedulerProcess;
use super::worker::StandInWorker;
use super::worker_command::ReceivedCommand;
use super::{FUNCTION, IDEMPOTENCY_KEY, IDEMPOTENT_CLASS, WAIT_LIMIT, request_id};
use function_scheduler::frontend::frame_codec::{encode_fields, encode_raw_frame};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

/// Frame types on the wire.
pub(crate) mod frame_type {
    pub(crate) const REQUEST: u8 = 0;
    pub(crate) const RESPONSE: u8 = 1;
    pub(crate) const CANCEL: u8 = 2;
    pub(crate) const READINESS_REQUEST: u8 = 6;
    pub(crate) const READINESS_RESPONSE: u8 = 7;
    pub(crate) const GO_AWAY: u8 = 9;
}

/// Response codes on the wire.
pub(crate) mod code {
    pub(crate) const SERVED: u8 = 79;
    pub(crate) const REJECTED: u8 = 66;
    pub(crate) const FAILED: u8 = 69;
}

/// The stream of a client's readiness requests, which its other requests do not use.
const READINESS_STREAM: u32 = 99;

/// A frame received by a client.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ReceivedFrame {
    pub(crate) frame_type: u8,
    pub(crate) stream: u32,
    pub(crate) payload: Vec<u8>,
}

impl ReceivedFrame {
    /// Returns the code of a response; panics if the frame is not a response.
    pub(crate) fn code(&self) -> u8 {
        assert_eq!(self.frame_type, frame_type::RESPONSE);
        self.payload[0]
    }
}

/// Returns the frame of a served response with this body.
pub(crate) fn served(stream: u32, body: &[u8]) -> ReceivedFrame {
    response(stream, code::SERVED, body)
}

/// Returns the frame of a rejected response without a retry-after time.
pub(crate) fn rejected(stream: u32) -> ReceivedFrame {
    response(stream, code::REJECTED, b"")
}

/// Returns the frame of a failed response; on stream 0 it reports an error of the connection.
pub(crate) fn failed(stream: u32) -> ReceivedFrame {
    response(stream, code::FAILED, b"")
}

fn response(stream: u32, code: u8, body: &[u8]) -> ReceivedFrame {
    const NO_FIELDS: u8 = 0;
    ReceivedFrame {
        frame_type: frame_type::RESPONSE,
        stream,
        payload: [&[code, NO_FIELDS], body].concat(),
    }
}

/// Returns the GOAWAY frame, which announces that the connection accepts no new requests.
pub(crate) fn go_away() -> ReceivedFrame {
    ReceivedFrame {
        frame_type: frame_type::GO_AWAY,
        stream: 0,
        payload: vec![],
    }
}

/// Encodes a frame.
pub(crate) fn frame(frame_type: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    encode_raw_frame(frame_type, stream, &[payload])
}

/// Encodes the payload of a request with these fields.
pub(crate) fn payload(fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    [&encode_fields(fields)[..], body].concat()
}

/// Encodes the payload of a typical request.
pub(crate) fn request(class: &str, request_id: &str, timeout_ms: u64, body: &[u8]) -> Vec<u8> {
    let timeout_ms = timeout_ms.to_string();
    let fields = [
        ("service", class),
        ("ref", request_id),
        ("allow", &timeout_ms),
        ("lookup", FUNCTION),
        ("replay", IDEMPOTENCY_KEY),
        ("spec", "memory_mb:512;lanes:2;load_ms:640"),
    ];
    payload(&fields, body)
}

/// Encodes a frame with request number `n` of a test, of the idempotent class, on the stream with the same
/// number.
pub(crate) fn idempotent_frame(n: u32, timeout_ms: u64, body: &[u8]) -> Vec<u8> {
    let payload = request(IDEMPOTENT_CLASS, &request_id(n), timeout_ms, body);
    frame(frame_type::REQUEST, n, &payload)
}

/// Encodes the payload of a request with the body `x` to this function.
///
/// Each function has its own hash order of the workers.
pub(crate) fn request_to_function(function: u32, request_id: &str, timeout_ms: u64) -> Vec<u8> {
    let function = format!("{function:016x}");
    let timeout_ms = timeout_ms.to_string();
    let fields = [
        ("service", IDEMPOTENT_CLASS),
        ("ref", request_id),
        ("allow", &timeout_ms),
        ("lookup", &function),
    ];
    payload(&fields, b"x")
}

/// Splits bytes into frames; panics if the last frame is incomplete.
pub(crate) fn decode_frames(mut bytes: &[u8]) -> Vec<ReceivedFrame> {
    let mut frames = vec![];
    while !bytes.is_empty() {
        frames.push(read_frame(&mut bytes).expect("the last frame is complete"));
    }
    frames
}

/// Reads one frame; returns `None` at the end of the input.
fn read_frame(input: &mut impl Read) -> Option<ReceivedFrame> {
    let mut length = [0; 4];
    input.read_exact(&mut length).ok()?;
    let mut frame = vec![0; u32::from_be_bytes(length) as usize];
    input.read_exact(&mut frame).ok()?;
    let payload = frame.split_off(5);
    let stream = u32::from_be_bytes(frame[1..5].try_into().unwrap());
    Some(ReceivedFrame {
        frame_type: frame[0],
        stream,
        payload,
    })
}

/// A client of the frame protocol.
pub(crate) struct FrameClient {
    pub(crate) stream: ClosingStream,
}

/// Returns whether a scheduler at this address responds to a readiness request, whether it is ready or not.
pub(super) fn responds(address: SocketAddr, timeout: Duration) -> bool {
    let readiness_request = frame(frame_type::READINESS_REQUEST, READINESS_STREAM, &[0]);
    let mut response = [0];
    let mut exchange = || -> io::Result<()> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.write_all(&readiness_request)?;
        stream.read_exact(&mut response)
    };
    exchange().is_ok()
}

impl FrameClient {
    /// Connects to the scheduler's frame frontend.
    pub(crate) fn connect(scheduler: &SchedulerProcess) -> FrameClient {
        let stream = TcpStream::connect(scheduler.address).unwrap();
        stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        FrameClient {
            stream: ClosingStream::new(stream),
        }
    }

    /// Sends bytes, which need not form a complete frame.
    pub(crate) fn send_bytes(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// Sends a request with an encoded payload.
    pub(crate) fn send_request(&mut self, stream: u32, payload: &[u8]) {
        self.send_bytes(&frame(frame_type::REQUEST, stream, payload));
    }

    /// Sends request number `n` of a test, of the idempotent class, on the stream with the same number.
    pub(crate) fn send_idempotent(&mut self, n: u32, timeout_ms: u64, body: &[u8]) {
        self.send_bytes(&idempotent_frame(n, timeout_ms, body));
    }

    /// Sends request number `n` of a test on the stream with the same number, and waits until the worker has
    /// received it.
    pub(crate) fn send_request_to(&mut self, worker: &StandInWorker, n: u32) -> ReceivedCommand {
        self.send_idempotent(n, 20_000, b"");
        let command = worker.next_request();
        assert_eq!(command.request_id(), request_id(n));
        command
    }

    /// Sends a frame that cancels the request on a stream.
    pub(crate) fn send_cancel(&mut self, stream: u32) {
        self.send_bytes(&frame(frame_type::CANCEL, stream, &[]));
    }

    /// Sends a readiness request.
    pub(crate) fn send_readiness_check(&mut self) {
        self.send_bytes(&frame(frame_type::READINESS_REQUEST, READINESS_STREAM, &[0]));
    }

    /// Waits for the next frame; returns `None` once the connection has ended.
    pub(crate) fn next_frame(&mut self) -> Option<ReceivedFrame> {
        read_frame(&mut *self.stream)
    }

    /// Waits for the next response and skips frames of other types.
    pub(crate) fn next_response(&mut self) -> Option<ReceivedFrame> {
        std::iter::from_fn(|| self.next_frame()).find(|frame| frame.frame_type == frame_type::RESPONSE)
    }

    /// Reads frames until the connection ends.
    pub(crate) fn frames_until_close(&mut self) -> Vec<ReceivedFrame> {
        std::iter::from_fn(|| self.next_frame()).collect()
    }

    /// Waits for the next frame, which must be the served response with this body to the request on this
    /// stream.
    #[track_caller]
    pub(crate) fn expect_served(&mut self, stream: u32, body: &[u8]) {
        assert_eq!(self.next_frame(), Some(served(stream, body)));
    }

    /// Waits for the next frame, which must be the rejected response to the request on this stream.
    #[track_caller]
    pub(crate) fn expect_rejection(&mut self, stream: u32) {
        let response = self.next_frame().expect("a response is received");
        assert_eq!((response.stream, response.code()), (stream, code::REJECTED));
    }

    /// Waits for the next frame, which must be the response to a readiness request that has been sent and say
    /// that the scheduler is ready.
    pub(crate) fn expect_ready_response(&mut self) {
        self.expect_readiness(code::SERVED);
    }

    /// Sends a readiness request and asserts that the next frame says that the scheduler is ready.
    pub(crate) fn assert_ready(&mut self) {
        self.send_readiness_check();
        self.expect_readiness(code::SERVED);
    }

    /// Sends a readiness request and asserts that the next frame says that the scheduler is not ready.
    pub(crate) fn assert_not_ready(&mut self) {
        self.send_readiness_check();
        self.expect_readiness(code::REJECTED);
    }

    fn expect_readiness(&mut self, code: u8) {
        let response = self.next_frame().expect("a readiness response is received");
        let expected = ReceivedFrame {
            frame_type: frame_type::READINESS_RESPONSE,
            stream: READINESS_STREAM,
            payload: vec![code, 0],
        };
        assert_eq!(
            response, expected,
            "the next frame is not the expected readiness response"
        );
    }

    /// Closes the sending direction of the connection; responses can still be read.
    pub(crate) fn shutdown_write(&mut self) {
        self.stream.shutdown(Shutdown::Write).unwrap();
    }
}
