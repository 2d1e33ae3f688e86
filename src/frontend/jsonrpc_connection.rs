//! Client connections that speak JSON-RPC 2.0 over a Unix socket.
//!
//! When a client closes the connection or its writing half, it no longer waits for responses, and its open
//! calls are cancelled.

mod batches;
mod line_reader;
#[cfg(test)]
mod tests;

use super::client_connection::{ClientConnection, Protocol};
use super::jsonrpc_codec::{
    CallParams, Message, Request, RequestError, decode_line, encode_cancelled, encode_error,
    encode_readiness, encode_response,
};
use super::limits::MAX_UNSENT_BYTES;
use super::session::{self, ClientSession};
use crate::model::{Span, StreamId, Time};
use crate::net::{BufferLimits, BufferedStream, ConnectionFlow};
use crate::runtime::Context;
use crate::scheduler::{ClientRequest, Outcome, Response};
use batches::{BatchId, Batches};
use line_reader::{LINE_FEED, LineReader};
use serde_json::Value;

/// Time without input after which a connection without open calls is closed.
const IDLE_TIMEOUT: Span = Span::from_millis(60_000);

/// A client connection that speaks JSON-RPC.
pub(crate) type JsonRpcConnection = ClientConnection<JsonRpcProtocol>;

type Session = ClientSession<OpenCall>;

/// A call that has not been answered yet.
pub(crate) struct OpenCall {
    id: Value,
    /// The batch that contained the call, if any.
    batch: Option<BatchId>,
}

/// The state of the JSON-RPC protocol on one connection.
pub(crate) struct JsonRpcProtocol {
    lines: LineReader,
    batches: Batches,
    /// The number of the next call or batch.
    next_number: u64,
}

impl JsonRpcConnection {
    /// Creates the state of a connection that was accepted at `now`.
    ///
    /// `line_limit` is the operator's limit on the length of a line, in bytes.
    pub(crate) fn new(now: Time, line_limit: usize) -> JsonRpcConnection {
        let protocol = JsonRpcProtocol {
            lines: LineReader::new(line_limit),
            batches: Batches::default(),
            next_number: 1,
        };
        ClientConnection::with_protocol(protocol, now)
    }

    /// Returns the limits of the connection's buffers.
    pub(crate) fn buffer_limits(line_limit: usize) -> BufferLimits {
        BufferLimits {
            input: line_limit + 1,
            output: MAX_UNSENT_BYTES,
        }
    }
}

impl JsonRpcProtocol {
    /// Handles the complete lines, until too much output is unsent.
    ///
    /// The remaining lines are handled when the output has been written; see [`Protocol::flushed`].
    fn handle_lines(&mut self, session: &mut Session, socket: &mut BufferedStream, context: &mut Context) {
        while socket.unsent_bytes() <= MAX_UNSENT_BYTES && context.messages.take() {
            match self.lines.next_line(&mut socket.input) {
                Some(Ok(line)) => self.handle_line(&line, session, socket, context),
                Some(Err(error)) => reject_line(error, socket, context),
                None => break,
            }
        }
        if let Err(error) = self.lines.discard_overlong_line(&mut socket.input) {
            reject_line(error, socket, context);
        }
    }

    fn handle_line(
        &mut self,
        line: &[u8],
        session: &mut Session,
        socket: &mut BufferedStream,
        context: &mut Context,
    ) {
        if line.iter().all(u8::is_ascii_whitespace) {
            return;
        }
        match decode_line(line) {
            Message::Single(request) => self.handle_request(request, None, session, socket, context),
            Message::Batch(requests) => self.handle_batch(requests, session, socket, context),
        }
    }

    fn handle_batch(
        &mut self,
        requests: Vec<Request>,
        session: &mut Session,
        socket: &mut BufferedStream,
        context: &mut Context,
    ) {
        let id = BatchId(self.take_number());
        let responses = requests.iter().filter(|request| request.has_response()).count();
        self.batches.begin(id, responses);
        for request in requests {
            self.handle_request(request, Some(id), session, socket, context);
        }
        if let Some(responses) = self.batches.mark_requests_handled(id) {
            enqueue_line(&responses, socket);
        }
    }

    fn handle_request(
        &mut self,
        request: Request,
        batch: Option<BatchId>,
        session: &mut Session,
        socket: &mut BufferedStream,
        context: &mut Context,
    ) {
        match request {
            Request::Ignored => {}
            Request::Invalid { id, error } => {
                context.shared.scheduler.counters().client_connections_malformed += 1;
                self.send(batch, encode_error(&id, error), socket);
            }
            Request::Ready { id } => {
                let ready = context.shared.ready && context.shared.active;
                self.send(batch, encode_readiness(&id, ready), socket);
            }
            Request::Cancel { call } => self.handle_cancel(&call, session, socket, context),
            Request::Call { id, params } => {
                let call = OpenCall { id, batch };
                self.handle_call(call, *params, session, socket, context);
            }
        }
    }

    fn handle_cancel(
        &mut self,
        id: &Value,
        session: &mut Session,
        socket: &mut BufferedStream,
        context: &mut Context,
    ) {
        let Some(stream) = find_call(id, session) else {
            return;
        };
        if let Some(call) = session.cancel(stream, socket, context) {
            self.send(call.batch, encode_cancelled(&call.id), socket);
        }
    }

    fn handle_call(
        &mut self,
        call: OpenCall,
        params: CallParams,
        session: &mut Session,
        socket: &mut BufferedStream,
        context: &mut Context,
    ) {
        // Responses and cancellations could not be matched to one of two open calls with the same id.
        if find_call(&call.id, session).is_some() {
            let error = encode_error(&call.id, RequestError::IdInUse);
            return self.send(call.batch, error, socket);
        }
        if !session.has_capacity() || !context.shared.active {
            return self.reject_call(&call, socket, context);
        }
        let origin = session::origin(socket, StreamId(self.take_number()));
        let correlation_id = params.correlation_id.clone();
        let request = ClientRequest {
            origin,
            correlation_id: correlation_id.unwrap_or_else(|| context.shared.scheduler.new_correlation_id()),
            parameters: params.into_request_parameters(context.earliest_input_at),
        };
        session.submit(request, call, context);
    }

    /// Rejects a call that is not submitted to the scheduler.
    fn reject_call(&mut self, call: &OpenCall, socket: &mut BufferedStream, context: &mut Context) {
        let retry_after = context.shared.scheduler.default_retry_after();
        let response = rejection(retry_after);
        context
            .shared
            .scheduler
            .count_frontend_response(&response.outcome);
        self.send(call.batch, encode_response(&call.id, &response), socket);
    }

    fn take_number(&mut self) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        number
    }

    /// Sends a response, or stores it until its batch is complete.
    fn send(&mut self, batch: Option<BatchId>, response: Value, socket: &mut BufferedStream) {
        let line = match batch {
            Some(batch) => self.batches.add_response(batch, response),
            None => Some(response),
        };
        if let Some(line) = line {
            enqueue_line(&line, socket);
        }
    }
}

/// Returns the stream of the open call with this client-assigned id.
fn find_call(id: &Value, session: &Session) -> Option<StreamId> {
    session.find(|call| call.id == *id)
}

fn rejection(retry_after: Span) -> Response {
    Response {
        outcome: Outcome::Rejected { retry_after },
        expired: false,
    }
}

/// Reports to the client that a line is invalid.
fn reject_line(error: RequestError, socket: &mut BufferedStream, context: &mut Context) {
    context.shared.scheduler.counters().client_connections_malformed += 1;
    enqueue_line(&encode_error(&Value::Null, error), socket);
}

fn enqueue_line(response: &Value, socket: &mut BufferedStream) {
    let mut line = response.to_string().into_bytes();
    line.push(LINE_FEED);
    socket.enqueue(&line);
}

impl Protocol for JsonRpcProtocol {
    type OpenRequest = OpenCall;
    type Error = RequestError;
    const MESSAGE_TIMED_OUT: RequestError = RequestError::IncompleteLine;

    fn received(
        &mut self,
        session: &mut Session,
        socket: &mut BufferedStream,
        context: &mut Context,
    ) -> Result<ConnectionFlow, RequestError> {
        session.timers.record_activity(context.now);
        self.handle_lines(session, socket, context);
        if !socket.input_ended || context.messages.is_exhausted() {
            // A complete line that waits for the client to read its responses does not count as incomplete.
            let partial_line = self.lines.partial_line(&socket.input);
            session.timers.track_message(partial_line, context.now);
            return Ok(ConnectionFlow::Continue);
        }
        if socket.input.iter().all(u8::is_ascii_whitespace) || socket.input.contains(&LINE_FEED) {
            return Ok(ConnectionFlow::Close);
        }
        // The error is reported because the client may still read responses.
        Err(RequestError::IncompleteLine)
    }

    fn reject_incomplete_message(
        &mut self,
        session: &mut Session,
        socket: &mut BufferedStream,
        context: &mut Context,
    ) -> Result<(), RequestError> {
        // Lines that waited for the client to read its responses may be complete.
        self.handle_lines(session, socket, context);
        if !socket.input.is_empty() && !socket.input.contains(&LINE_FEED) {
            self.lines.skip_line(&mut socket.input);
            let retry_after = context.shared.scheduler.default_retry_after();
            enqueue_line(&encode_response(&Value::Null, &rejection(retry_after)), socket);
        }
        Ok(())
    }

    fn flushed(&mut self, session: &mut Session, socket: &mut BufferedStream, context: &mut Context) {
        self.handle_lines(session, socket, context);
    }

    fn idle_timeout(&self) -> Span {
        IDLE_TIMEOUT
    }

    fn report_error(&mut self, error: RequestError, socket: &mut BufferedStream, context: &mut Context) {
        reject_line(error, socket, context);
    }

    fn respond(
        &mut self,
        _stream: StreamId,
        call: OpenCall,
        response: &Response,
        socket: &mut BufferedStream,
    ) {
        self.send(call.batch, encode_response(&call.id, response), socket);
    }
}
