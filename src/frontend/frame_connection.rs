//! Client connections that speak binary frames over TCP.

mod admission;
mod frame_reader;
mod protocol_error;
#[cfg(test)]
mod tests;

use super::client_connection::{ClientConnection, Protocol};
use super::frame_codec::{
    Frame, FrameHeader, FrameType, RequestError, decode_fields, decode_request, encode_frame,
    encode_readiness, encode_response,
};
use super::limits::MAX_UNSENT_BYTES;
use super::session::{self, ClientSession};
use super::stream_ids::UsedStreamIds;
use crate::model::{Span, StreamId, Time};
use crate::net::{BufferLimits, BufferedStream, ConnectionFlow, PartialMessage};
use crate::runtime::Context;
use crate::scheduler::{Outcome, Response};
use admission::Admission;
use frame_reader::{FrameReader, InputFrame, MAX_ACCEPTED_FRAME_LENGTH};
use protocol_error::ProtocolError;
use tracing::{debug, warn};

/// Limits of the buffers: the longest accepted frame with its length field, and the unsent output.
const BUFFER_LIMITS: BufferLimits = BufferLimits {
    input: MAX_ACCEPTED_FRAME_LENGTH + 4,
    output: MAX_UNSENT_BYTES,
};
/// Time without a frame after which a connection without open requests is closed.
///
/// Clients close idle connections after 4 s, so no request is in transit when this timeout expires.
const IDLE_TIMEOUT: Span = Span::from_millis(5_000);
/// Idle timeout of a connection that has not yet received a complete frame.
///
/// It is shorter because some clients open hundreds of connections and send nothing.
const FIRST_FRAME_TIMEOUT: Span = Span::from_millis(2_200);
/// The stream for errors that belong to no request and for frames that concern the whole connection.
const CONNECTION_STREAM: u32 = 0;

/// Whether the client has been notified that the server is draining.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GoAwayState {
    NotSent,
    Sent,
}

/// A client connection that speaks binary frames.
pub(crate) type FrameConnection = ClientConnection<FrameProtocol>;

type Session = ClientSession<()>;

/// The state of the frame protocol on one connection.
pub(crate) struct FrameProtocol {
    used_streams: UsedStreamIds,
    admission: Admission,
    go_away: GoAwayState,
    /// Number of outstanding bytes of an oversized frame, which are skipped when they arrive.
    bytes_to_skip: usize,
}

impl FrameConnection {
    /// Creates the state of a connection that was accepted at `now`.
    pub(crate) fn new(now: Time) -> FrameConnection {
        ClientConnection::with_protocol(FrameProtocol::new(Admission::serving()), now)
    }

    /// Creates the state of a connection that was accepted at `now` only to reject its requests.
    pub(crate) fn shedding(now: Time) -> FrameConnection {
        ClientConnection::with_protocol(FrameProtocol::new(Admission::shedding()), now)
    }

    /// Returns the limits of the connection's buffers.
    pub(crate) fn buffer_limits() -> BufferLimits {
        BUFFER_LIMITS
    }
}

impl FrameProtocol {
    fn new(admission: Admission) -> FrameProtocol {
        FrameProtocol {
            used_streams: UsedStreamIds::default(),
            admission,
            go_away: GoAwayState::NotSent,
            bytes_to_skip: 0,
        }
    }

    /// Handles all complete frames. After an error, the reader stays at the frame that caused it.
    fn handle_frames(
        &mut self,
        reader: &mut FrameReader,
        session: &mut Session,
        socket: &mut BufferedStream,
        context: &mut Context,
    ) -> Result<(), ProtocolError> {
        while context.messages.take()
            && let Some(frame) = reader.next_frame()?
        {
            match frame {
                InputFrame::Complete(frame) => {
                    self.admission.record_frame();
                    session.timers.record_activity(context.now);
                    self.handle_frame(&frame, session, socket, context)?;
                }
                InputFrame::Oversized(header) => {
                    self.respond_to_unread(&header, &Outcome::Failed, socket, context)?;
                    reader.skip(&header);
                }
            }
        }
        Ok(())
    }

    fn handle_frame(
        &mut self,
        frame: &Frame,
        session: &mut Session,
        socket: &mut BufferedStream,
        context: &mut Context,
    ) -> Result<(), ProtocolError> {
        match frame.frame_type {
            Some(FrameType::Request) => self.handle_request(frame, session, socket, context)?,
            Some(FrameType::Cancel) => {
                session.cancel(stream_id(frame.stream), socket, context);
            }
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
        session: &mut Session,
        socket: &mut BufferedStream,
        context: &mut Context,
    ) -> Result<(), ProtocolError> {
        let stream = frame.stream;
        if !self.begin_stream(stream) {
            return Err(ProtocolError::StreamReused);
        }
        let origin = session::origin(socket, stream_id(stream));
        let request = match decode_request(frame.payload, origin, context.earliest_input_at) {
            Ok(request) => request,
            Err(RequestError::Malformed(error)) => return Err(error.into()),
            Err(RequestError::Invalid(_)) => {
                respond_locally(stream, &Outcome::Failed, socket, context);
                return Ok(());
            }
        };
        if self.admission.admits_request() && session.has_capacity() {
            session.submit(request, (), context);
        } else {
            let retry_after = context.shared.scheduler.default_retry_after();
            respond_locally(stream, &Outcome::Rejected { retry_after }, socket, context);
        }
        Ok(())
    }

    /// Marks the stream of a new request as used; returns `false` if it is reserved or was used before.
    fn begin_stream(&mut self, stream: u32) -> bool {
        stream != CONNECTION_STREAM && self.used_streams.insert(stream)
    }

    /// Responds to the request of a frame that is not read.
    fn respond_to_unread(
        &mut self,
        header: &FrameHeader,
        outcome: &Outcome,
        socket: &mut BufferedStream,
        context: &mut Context,
    ) -> Result<(), ProtocolError> {
        if header.frame_type != Some(FrameType::Request) || !self.begin_stream(header.stream) {
            return Err(ProtocolError::OversizedFrame);
        }
        respond_locally(header.stream, outcome, socket, context);
        Ok(())
    }

    /// Updates the deadline of an incomplete frame.
    fn track_partial_frame(&self, partial_frame: PartialMessage, session: &mut Session, now: Time) {
        session.timers.track_message(partial_frame, now);
        // The start of a frame counts as activity, so that the idle timeout does not expire before the frame
        // deadline. It does not count before the first complete frame, because the client must get a response
        // within 3 s of connecting, whatever it has started to send.
        if self.admission.has_received_frame() && session.timers.message_began_at(now) {
            session.timers.record_activity(now);
        }
    }
}

/// Converts the stream number of a frame to the scheduler's stream id.
fn stream_id(stream: u32) -> StreamId {
    StreamId(u64::from(stream))
}

/// Converts the stream id of a request on this connection back to its 32-bit number in frames.
fn frame_stream(stream: StreamId) -> u32 {
    stream.0 as u32
}

/// Responds to a request that is not submitted to the scheduler.
fn respond_locally(stream: u32, outcome: &Outcome, socket: &mut BufferedStream, context: &mut Context) {
    context.shared.scheduler.count_frontend_response(outcome);
    socket.enqueue(&encode_response(stream, outcome));
}

impl Protocol for FrameProtocol {
    type OpenRequest = ();
    type Error = ProtocolError;
    const MESSAGE_TIMED_OUT: ProtocolError = ProtocolError::FrameTimedOut;

    fn opened(&mut self, socket: &BufferedStream) {
        debug!(connection = %socket.id(), "client accepted");
    }

    fn received(
        &mut self,
        session: &mut Session,
        socket: &mut BufferedStream,
        context: &mut Context,
    ) -> Result<ConnectionFlow, ProtocolError> {
        let input = std::mem::take(&mut socket.input);
        let mut reader = FrameReader::new(&input, self.bytes_to_skip);
        let result = self.handle_frames(&mut reader, session, socket, context);
        let progress = reader.finish();
        socket.input = input;
        socket.consume(progress.consumed);
        self.bytes_to_skip = progress.bytes_to_skip;
        let partial_frame = if context.messages.is_exhausted() {
            // The next frame may be complete: it is looked at when the connection's turn comes.
            PartialMessage::None
        } else {
            progress.partial_frame
        };
        self.track_partial_frame(partial_frame, session, context.now);
        result?;
        // A client that has closed its side no longer waits for responses.
        if socket.input_ended {
            return Ok(ConnectionFlow::Close);
        }
        if self.admission == Admission::Shed {
            return Ok(ConnectionFlow::Finish);
        }
        Ok(ConnectionFlow::Continue)
    }

    fn reject_incomplete_message(
        &mut self,
        _session: &mut Session,
        socket: &mut BufferedStream,
        context: &mut Context,
    ) -> Result<(), ProtocolError> {
        let Some(header) = FrameHeader::decode(&socket.input) else {
            return Ok(());
        };
        let retry_after = context.shared.scheduler.default_retry_after();
        self.respond_to_unread(&header, &Outcome::Rejected { retry_after }, socket, context)?;
        self.bytes_to_skip = header.encoded_length() - socket.input.len();
        socket.consume(socket.input.len());
        Ok(())
    }

    fn idle_timeout(&self) -> Span {
        if self.admission.has_received_frame() {
            IDLE_TIMEOUT
        } else {
            FIRST_FRAME_TIMEOUT
        }
    }

    fn report_error(&mut self, error: ProtocolError, socket: &mut BufferedStream, context: &mut Context) {
        context.shared.scheduler.counters().client_connections_malformed += 1;
        if context.shared.scheduler.admits_log_line(context.now) {
            let cause = error.to_string();
            warn!(connection = %socket.id(), cause = cause.as_str(), "malformed input");
        }
    }

    fn respond(&mut self, stream: StreamId, (): (), response: &Response, socket: &mut BufferedStream) {
        socket.enqueue(&encode_response(frame_stream(stream), &response.outcome));
    }

    fn notify_failed(&mut self, socket: &mut BufferedStream) {
        socket.enqueue(&encode_response(CONNECTION_STREAM, &Outcome::Failed));
    }

    fn notify_draining(&mut self, socket: &mut BufferedStream) {
        if self.go_away == GoAwayState::NotSent {
            self.go_away = GoAwayState::Sent;
            socket.enqueue(&encode_frame(FrameType::GoAway, CONNECTION_STREAM, &[]));
        }
    }
}
