//! A client's connection that speaks binary frames over TCP.

use super::client_connection::ClientConnection;
use super::frame_codec::{
    Frame, FrameError, FrameHeader, FrameType, RequestError, decode_fields, decode_frame, decode_request,
    encode_frame, encode_readiness, encode_response,
};
use super::lifecycle::{ConnectionTimers, PartialMessage, cancel_requests, end_requests};
use super::limits::{MAX_OPEN_REQUESTS, MAX_UNSENT_BYTES};
use super::stream_ids::UsedStreamIds;
use crate::model::{Span, StreamId, Time};
use crate::net::{BufferLimits, BufferedStream, CloseCause, Connection, ConnectionFlow};
use crate::runtime::{Context, RuntimeState};
use crate::scheduler::{Outcome, RequestOrigin, Response};
use std::collections::BTreeSet;
use tracing::{debug, warn};

#[cfg(test)]
mod tests;

/// Largest length of a frame that can be of use: a body and its fields. A longer one is not kept, as hundreds
/// of connections may bring one each: its request has failed once its header is known, and the rest is passed
/// over.
const MAX_USABLE_FRAME_LENGTH: usize = 32 << 10;
/// Buffers of a connection: a usable frame with its length field, and output that waits.
const BUFFER_LIMITS: BufferLimits = BufferLimits {
    input: MAX_USABLE_FRAME_LENGTH + 4,
    output: MAX_UNSENT_BYTES,
};
/// A connection without open requests is closed after so long without a frame. Clients close theirs after 4
/// s, so no request crosses it.
const IDLE_TIMEOUT: Span = Span::from_millis(5_000);
/// The same for a connection that has never brought a whole frame: some clients open connections by the
/// hundred and send nothing.
const FIRST_FRAME_TIMEOUT: Span = Span::from_millis(2_200);
/// The stream of errors that belong to no request, and of frames that concern the whole connection.
const CONNECTION_STREAM: u32 = 0;

/// Why a connection can't go on.
#[derive(Clone, Copy, Debug, thiserror::Error)]
enum ProtocolError {
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error("stream is not new")]
    StreamReused,
    #[error("unknown type")]
    UnexpectedType,
    #[error("a long frame that is no request")]
    OversizedFrame,
    #[error("a frame without an end")]
    FrameTimedOut,
}

/// How much of its input a callback has used.
#[derive(Default)]
struct ReadProgress {
    /// Bytes used so far.
    consumed: usize,
    /// A frame was consumed, at least its header, so that an incomplete one has only just begun.
    frame_consumed: bool,
}

impl ReadProgress {
    fn advance(&mut self, bytes: usize) {
        self.consumed += bytes;
        self.frame_consumed = true;
    }
}

/// A client's connection that speaks binary frames.
pub struct FrameConnection {
    open_streams: BTreeSet<u32>,
    used_streams: UsedStreamIds,
    timers: ConnectionTimers,
    sent_go_away: bool,
    received_frame: bool,
    /// Every request is rejected, because there are too many clients, and the connection ends with that.
    sheds: bool,
    /// A request has been rejected for that.
    has_shed: bool,
    /// Bytes still to come of a frame that is too long; they are skipped.
    bytes_to_skip: usize,
}

impl FrameConnection {
    /// A connection that was accepted at `now`.
    pub fn new(now: Time) -> FrameConnection {
        FrameConnection {
            open_streams: BTreeSet::new(),
            used_streams: UsedStreamIds::default(),
            timers: ConnectionTimers::new(now),
            sent_go_away: false,
            received_frame: false,
            sheds: false,
            has_shed: false,
            bytes_to_skip: 0,
        }
    }

    /// A connection that was accepted at `now` only to have its requests rejected.
    pub fn shedding(now: Time) -> FrameConnection {
        FrameConnection {
            sheds: true,
            ..FrameConnection::new(now)
        }
    }

    /// Limits of such a connection's buffers.
    pub fn buffer_limits() -> BufferLimits {
        BUFFER_LIMITS
    }

    /// Handles the frames that are complete. After an error, `progress` is where it occurred.
    fn read_frames(
        &mut self,
        input: &[u8],
        progress: &mut ReadProgress,
        socket: &mut BufferedStream,
        context: &mut Context,
    ) -> Result<(), ProtocolError> {
        while self.bytes_to_skip == 0 {
            let rest = &input[progress.consumed..];
            if let Some(frame) = decode_frame(rest)? {
                progress.advance(frame.encoded_length());
                self.received_frame = true;
                self.timers.record_activity(context.now);
                self.handle_frame(&frame, socket, context)?;
                continue;
            }
            let Some(oversized) = oversized_frame(rest) else {
                return Ok(());
            };
            self.fail_oversized(&oversized, socket, context)?;
            let available = oversized.encoded_length().min(rest.len());
            self.bytes_to_skip = oversized.encoded_length() - available;
            progress.advance(available);
        }
        Ok(())
    }

    /// Skips the input that belongs to a frame that was too long.
    fn skip_oversized(&mut self, input: &[u8]) -> ReadProgress {
        let skipped = self.bytes_to_skip.min(input.len());
        self.bytes_to_skip -= skipped;
        ReadProgress {
            consumed: skipped,
            frame_consumed: skipped > 0 && self.bytes_to_skip == 0,
        }
    }

    fn handle_frame(
        &mut self,
        frame: &Frame,
        socket: &mut BufferedStream,
        context: &mut Context,
    ) -> Result<(), ProtocolError> {
        match frame.frame_type {
            Some(FrameType::Request) => self.handle_request(frame, socket, context)?,
            Some(FrameType::Cancel) => self.handle_cancel(frame.stream, socket, context),
            Some(FrameType::ReadinessRequest) => {
                decode_fields(frame.payload)?;
                socket.enqueue(&encode_readiness(frame.stream, context.shared.ready));
            }
            _ => return Err(ProtocolError::UnexpectedType),
        }
        Ok(())
    }

    fn handle_request(
        &mut self,
        frame: &Frame,
        socket: &mut BufferedStream,
        context: &mut Context,
    ) -> Result<(), ProtocolError> {
        let stream = frame.stream;
        if !self.begin_stream(stream) {
            return Err(ProtocolError::StreamReused);
        }
        let origin = request_origin(socket, stream);
        let request = match decode_request(frame.payload, origin, context.input_since) {
            Ok(request) => request,
            Err(RequestError::Malformed(error)) => return Err(error.into()),
            Err(RequestError::Invalid(_)) => {
                respond_locally(stream, &Outcome::Failed, socket, context);
                return Ok(());
            }
        };
        if self.sheds || self.open_streams.len() >= MAX_OPEN_REQUESTS {
            let retry_after = context.shared.scheduler.default_retry_after();
            respond_locally(stream, &Outcome::Rejected { retry_after }, socket, context);
            self.has_shed = self.sheds;
            return Ok(());
        }
        self.open_streams.insert(stream);
        context.shared.scheduler.submit(context.now, request);
        Ok(())
    }

    /// Marks the stream of a request as used; false if it can't be a new one.
    fn begin_stream(&mut self, stream: u32) -> bool {
        stream != CONNECTION_STREAM && self.used_streams.insert(stream)
    }

    fn handle_cancel(&mut self, stream: u32, socket: &BufferedStream, context: &mut Context) {
        if self.open_streams.remove(&stream) {
            cancel_requests([stream_id(stream)], socket, context);
        }
    }

    /// Fails the request of a frame that is too long to be kept.
    fn fail_oversized(
        &mut self,
        header: &FrameHeader,
        socket: &mut BufferedStream,
        context: &mut Context,
    ) -> Result<(), ProtocolError> {
        if header.frame_type != Some(FrameType::Request) || !self.begin_stream(header.stream) {
            return Err(ProtocolError::OversizedFrame);
        }
        respond_locally(header.stream, &Outcome::Failed, socket, context);
        Ok(())
    }

    /// Reports an error of the connection to the client; the connection ends once that has been written.
    fn fail_connection(
        &mut self,
        error: ProtocolError,
        socket: &mut BufferedStream,
        context: &mut Context,
    ) -> ConnectionFlow {
        context.shared.scheduler.counters().client_connections_malformed += 1;
        if context.shared.scheduler.admits_log_line(context.now) {
            warn!(
                "malformed front=frames connection={} why=\"{error}\"",
                socket.id()
            );
        }
        self.fail_open_requests(socket, context)
    }

    /// The open streams, which are none from now on.
    fn take_open_streams(&mut self) -> BTreeSet<StreamId> {
        let streams = std::mem::take(&mut self.open_streams);
        streams.into_iter().map(stream_id).collect()
    }

    /// Sets the deadline of a frame that has begun.
    fn track_partial_frame(&mut self, frame_consumed: bool, socket: &BufferedStream, now: Time) {
        let message = if socket.input.is_empty() && self.bytes_to_skip == 0 {
            PartialMessage::None
        } else if frame_consumed {
            PartialMessage::Begun
        } else {
            PartialMessage::Continued
        };
        self.timers.track_message(message, now);
        // The deadline of a frame that has begun is the shorter one. A client that has never sent a whole
        // frame is owed a response within 3 s of connecting, whatever it has begun.
        if self.received_frame && self.timers.message_began_at(now) {
            self.timers.record_activity(now);
        }
    }

    /// How long the connection may be idle; none while requests are open.
    fn idle_timeout(&self) -> Option<Span> {
        if !self.open_streams.is_empty() {
            return None;
        }
        Some(if self.received_frame {
            IDLE_TIMEOUT
        } else {
            FIRST_FRAME_TIMEOUT
        })
    }
}

/// The header of the frame that begins here, if it is known and the frame is too long to be of use.
fn oversized_frame(bytes: &[u8]) -> Option<FrameHeader> {
    FrameHeader::decode(bytes).filter(|header| header.length > MAX_USABLE_FRAME_LENGTH)
}

fn request_origin(socket: &BufferedStream, stream: u32) -> RequestOrigin {
    RequestOrigin {
        connection: socket.id(),
        stream: stream_id(stream),
    }
}

/// A stream of this protocol as the scheduler knows it.
fn stream_id(stream: u32) -> StreamId {
    StreamId(u64::from(stream))
}

/// A stream of one of this connection's requests as it is numbered in frames, where it came as 32 bits.
fn frame_stream(stream: StreamId) -> u32 {
    stream.0 as u32
}

/// Responds to a request that is not passed to the scheduler.
fn respond_locally(stream: u32, outcome: &Outcome, socket: &mut BufferedStream, context: &mut Context) {
    context.shared.scheduler.count_local_rejection(outcome);
    socket.enqueue(&encode_response(stream, outcome));
}

impl Connection<RuntimeState> for FrameConnection {
    fn opened(&mut self, socket: &mut BufferedStream, context: &mut Context) -> ConnectionFlow {
        context.shared.scheduler.counters().client_connections_accepted += 1;
        debug!("client accepted connection={}", socket.id());
        ConnectionFlow::Continue
    }

    fn received(&mut self, socket: &mut BufferedStream, context: &mut Context) -> ConnectionFlow {
        let input = std::mem::take(&mut socket.input);
        let mut progress = self.skip_oversized(&input);
        let result = self.read_frames(&input, &mut progress, socket, context);
        socket.input = input;
        socket.consume(progress.consumed);
        self.track_partial_frame(progress.frame_consumed, socket, context.now);
        match result {
            Err(error) => self.fail_connection(error, socket, context),
            // A client that closes waits for nothing more.
            Ok(()) if socket.input_ended => ConnectionFlow::Close,
            Ok(()) if self.has_shed => {
                self.timers.begin_close(context.now);
                ConnectionFlow::Finish
            }
            Ok(()) => ConnectionFlow::Continue,
        }
    }

    fn timer_expired(&mut self, socket: &mut BufferedStream, context: &mut Context) -> ConnectionFlow {
        if self.timers.message_timed_out(context.now) {
            return self.fail_connection(ProtocolError::FrameTimedOut, socket, context);
        }
        if self.timers.connection_timed_out(context.now, self.idle_timeout()) {
            return ConnectionFlow::Close;
        }
        ConnectionFlow::Continue
    }

    fn deadline(&self) -> Option<Time> {
        self.timers.next(self.idle_timeout())
    }

    fn closed(&mut self, socket: &BufferedStream, cause: CloseCause, context: &mut Context) {
        end_requests(self.take_open_streams(), cause, socket, context);
    }

    fn idle_since(&self) -> Option<Time> {
        if self.open_streams.is_empty() {
            self.timers.idle_since()
        } else {
            None
        }
    }

    fn is_client(&self) -> bool {
        true
    }

    fn fail_open_requests(&mut self, socket: &mut BufferedStream, context: &mut Context) -> ConnectionFlow {
        let streams = self.take_open_streams();
        for stream in &streams {
            socket.enqueue(&encode_response(frame_stream(*stream), &Outcome::Failed));
        }
        context
            .shared
            .scheduler
            .counters()
            .requests_failed_with_connection += streams.len() as u64;
        cancel_requests(streams, socket, context);
        socket.enqueue(&encode_response(CONNECTION_STREAM, &Outcome::Failed));
        self.timers.begin_close(context.now);
        ConnectionFlow::Finish
    }
}

impl ClientConnection for FrameConnection {
    fn deliver(
        &mut self,
        stream: StreamId,
        response: &Response,
        socket: &mut BufferedStream,
        context: &mut Context,
    ) -> ConnectionFlow {
        let stream = frame_stream(stream);
        // A client that has cancelled its request is owed nothing.
        if self.open_streams.remove(&stream) {
            socket.enqueue(&encode_response(stream, &response.outcome));
            self.timers.record_activity(context.now);
        }
        ConnectionFlow::Continue
    }

    fn notify_draining(&mut self, socket: &mut BufferedStream, _context: &mut Context) -> ConnectionFlow {
        if !self.sent_go_away {
            self.sent_go_away = true;
            socket.enqueue(&encode_frame(FrameType::GoAway, CONNECTION_STREAM, &[]));
        }
        ConnectionFlow::Continue
    }
}
