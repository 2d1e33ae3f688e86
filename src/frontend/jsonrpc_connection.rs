//! A client's connection that speaks JSON-RPC 2.0 over a Unix socket.
//!
//! A client that closes the connection, or the half it writes on, no longer waits: its calls are
//! cancelled.

use super::client_connection::ClientConnection;
use super::jsonrpc_codec::{
    CallParams, Message, Request, RequestError, decode_line, encode_cancelled, encode_error,
    encode_readiness, encode_response,
};
use super::lifecycle::{ConnectionTimers, PartialMessage, cancel_requests, end_requests};
use super::limits::{MAX_OPEN_REQUESTS, MAX_UNSENT_BYTES};
use crate::model::{Span, StreamId, Time};
use crate::net::{BufferLimits, BufferedStream, CloseCause, Connection, ConnectionFlow};
use crate::runtime::{Context, RuntimeState};
use crate::scheduler::{ClientRequest, Outcome, RequestOrigin, Response};
use serde_json::Value;
use std::collections::BTreeMap;

/// A connection on which no call is open and nothing comes is closed after this.
const IDLE_TIMEOUT: Span = Span::from_millis(60_000);
const LINE_FEED: u8 = b'\n';

/// A batch of requests on this connection.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct BatchId(u64);

struct OpenCall {
    id: Value,
    /// The batch that the call came in.
    batch: Option<BatchId>,
}

/// A batch of which some responses are still to come.
struct OpenBatch {
    missing: usize,
    responses: Vec<Value>,
}

/// A client's connection that speaks JSON-RPC.
pub struct JsonRpcConnection {
    /// Calls by the streams under which the scheduler knows them.
    open_calls: BTreeMap<StreamId, OpenCall>,
    open_batches: BTreeMap<BatchId, OpenBatch>,
    /// The number of the next call or batch.
    next_number: u64,
    line_limit: usize,
    /// The rest of a line that was too long is skipped.
    skipping_line: bool,
    timers: ConnectionTimers,
}

impl JsonRpcConnection {
    /// A connection that was accepted at `now`, with the operator's limit on lines in bytes.
    pub fn new(now: Time, line_limit: usize) -> JsonRpcConnection {
        JsonRpcConnection {
            open_calls: BTreeMap::new(),
            open_batches: BTreeMap::new(),
            next_number: 1,
            line_limit,
            skipping_line: false,
            timers: ConnectionTimers::new(now),
        }
    }

    /// Limits of such a connection's buffers.
    pub fn buffer_limits(line_limit: usize) -> BufferLimits {
        BufferLimits {
            input: line_limit + 1,
            output: MAX_UNSENT_BYTES,
        }
    }

    /// Handles the lines that are complete, while the client reads its responses.
    ///
    /// What is left over is looked at again once they have been written; see [`Connection::flushed`].
    fn handle_lines(&mut self, socket: &mut BufferedStream, context: &mut Context) {
        while socket.unsent() <= MAX_UNSENT_BYTES {
            let Some(end) = socket.input.iter().position(|byte| *byte == LINE_FEED) else {
                break;
            };
            let line: Vec<u8> = socket.input.drain(..=end).collect();
            if std::mem::take(&mut self.skipping_line) {
                continue;
            }
            if end > self.line_limit {
                self.reject_line(RequestError::LineTooLong, socket, context);
            } else {
                self.handle_line(&line[..end], socket, context);
            }
        }
        self.skip_long_line(socket, context);
    }

    /// Drops the start of a line that is too long already.
    fn skip_long_line(&mut self, socket: &mut BufferedStream, context: &mut Context) {
        if socket.input.len() <= self.line_limit || socket.input.contains(&LINE_FEED) {
            return;
        }
        socket.input.clear();
        if !self.skipping_line {
            self.skipping_line = true;
            self.reject_line(RequestError::LineTooLong, socket, context);
        }
    }

    /// Reports to the client that a line can't be read.
    fn reject_line(&mut self, error: RequestError, socket: &mut BufferedStream, context: &mut Context) {
        context.shared.scheduler.counters().client_connections_malformed += 1;
        enqueue_line(&encode_error(&Value::Null, error), socket);
    }

    /// Reports to the client that its last line has no end; the connection ends once that has been written.
    fn fail_incomplete_line(&mut self, socket: &mut BufferedStream, context: &mut Context) -> ConnectionFlow {
        self.reject_line(RequestError::IncompleteLine, socket, context);
        self.fail_open_requests(socket, context)
    }

    fn handle_line(&mut self, line: &[u8], socket: &mut BufferedStream, context: &mut Context) {
        if line.iter().all(u8::is_ascii_whitespace) {
            return;
        }
        match decode_line(line) {
            Message::Single(request) => self.handle_request(request, None, socket, context),
            Message::Batch(requests) => self.handle_batch(requests, socket, context),
        }
    }

    fn handle_batch(&mut self, requests: Vec<Request>, socket: &mut BufferedStream, context: &mut Context) {
        let id = BatchId(self.take_number());
        // One more is missing until all requests have been handled, as some are answered while they are.
        let missing = 1 + requests.iter().filter(|request| request.has_response()).count();
        let batch = OpenBatch {
            missing,
            responses: Vec::new(),
        };
        self.open_batches.insert(id, batch);
        for request in requests {
            self.handle_request(request, Some(id), socket, context);
        }
        self.complete_batch_part(id, socket);
    }

    fn handle_request(
        &mut self,
        request: Request,
        batch: Option<BatchId>,
        socket: &mut BufferedStream,
        context: &mut Context,
    ) {
        match request {
            Request::Ignored => {}
            Request::Invalid { id, error } => {
                context.shared.scheduler.counters().client_connections_malformed += 1;
                self.respond(batch, encode_error(&id, error), socket);
            }
            Request::Ready { id } => {
                let ready = context.shared.ready && context.shared.active;
                self.respond(batch, encode_readiness(&id, ready), socket);
            }
            Request::Cancel { call } => self.handle_cancel(&call, socket, context),
            Request::Call { id, params } => self.handle_call(id, *params, batch, socket, context),
        }
    }

    fn handle_cancel(&mut self, id: &Value, socket: &mut BufferedStream, context: &mut Context) {
        let Some(stream) = self.open_call_stream(id) else {
            return;
        };
        cancel_requests([stream], socket, context);
        if let Some(call) = self.open_calls.remove(&stream) {
            self.respond(call.batch, encode_cancelled(&call.id), socket);
        }
    }

    fn handle_call(
        &mut self,
        id: Value,
        params: CallParams,
        batch: Option<BatchId>,
        socket: &mut BufferedStream,
        context: &mut Context,
    ) {
        // Neither the client nor a cancel could tell two open calls of one id apart.
        if self.open_call_stream(&id).is_some() {
            return self.respond(batch, encode_error(&id, RequestError::IdInUse), socket);
        }
        if self.open_calls.len() >= MAX_OPEN_REQUESTS || !context.shared.active {
            return self.reject_call(&id, batch, socket, context);
        }
        let origin = RequestOrigin {
            connection: socket.id(),
            stream: StreamId(self.take_number()),
        };
        self.open_calls.insert(origin.stream, OpenCall { id, batch });
        let correlation_id = params.correlation_id.clone();
        let request = ClientRequest {
            origin,
            correlation_id: correlation_id.unwrap_or_else(|| generated_correlation_id(origin)),
            parameters: params.into_request_parameters(context.input_since),
        };
        context.shared.scheduler.submit(context.now, request);
    }

    /// Rejects a call that is not passed to the scheduler.
    fn reject_call(
        &mut self,
        id: &Value,
        batch: Option<BatchId>,
        socket: &mut BufferedStream,
        context: &mut Context,
    ) {
        let retry_after = context.shared.scheduler.default_retry_after();
        let outcome = Outcome::Rejected { retry_after };
        context.shared.scheduler.count_local_rejection(&outcome);
        let response = Response {
            outcome,
            expired: false,
        };
        self.respond(batch, encode_response(id, &response), socket);
    }

    fn open_call_stream(&self, id: &Value) -> Option<StreamId> {
        let call = self.open_calls.iter().find(|(_, call)| call.id == *id);
        call.map(|(stream, _)| *stream)
    }

    fn take_number(&mut self) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        number
    }

    /// Writes a response, or keeps it until its batch is complete.
    fn respond(&mut self, batch: Option<BatchId>, response: Value, socket: &mut BufferedStream) {
        let Some(id) = batch else {
            return enqueue_line(&response, socket);
        };
        if let Some(batch) = self.open_batches.get_mut(&id) {
            batch.responses.push(response);
            self.complete_batch_part(id, socket);
        }
    }

    /// One response fewer is missing in a batch; all of them are written once none is.
    fn complete_batch_part(&mut self, id: BatchId, socket: &mut BufferedStream) {
        let Some(batch) = self.open_batches.get_mut(&id) else {
            return;
        };
        batch.missing -= 1;
        if batch.missing > 0 {
            return;
        }
        if let Some(batch) = self.open_batches.remove(&id)
            && !batch.responses.is_empty()
        {
            enqueue_line(&Value::Array(batch.responses), socket);
        }
    }

    /// Sets the deadline of a line that has begun. One that is held back until its client reads is not
    /// incomplete.
    fn track_partial_line(&mut self, buffered_before: usize, socket: &BufferedStream, now: Time) {
        let input = &socket.input;
        let incomplete = self.skipping_line || !input.is_empty() && !input.contains(&LINE_FEED);
        let message = if !incomplete {
            PartialMessage::None
        } else if input.len() < buffered_before {
            PartialMessage::Begun
        } else {
            PartialMessage::Continued
        };
        self.timers.track_message(message, now);
    }

    /// How long the connection may be idle; none while calls are open.
    fn idle_timeout(&self) -> Option<Span> {
        self.open_calls.is_empty().then_some(IDLE_TIMEOUT)
    }
}

/// An id for a request whose client has given it none.
fn generated_correlation_id(origin: RequestOrigin) -> String {
    format!("{:08x}{:08x}", origin.connection.0 as u32, origin.stream.0 as u32)
}

fn enqueue_line(response: &Value, socket: &mut BufferedStream) {
    let mut line = response.to_string().into_bytes();
    line.push(LINE_FEED);
    socket.enqueue(&line);
}

impl Connection<RuntimeState> for JsonRpcConnection {
    fn opened(&mut self, _socket: &mut BufferedStream, context: &mut Context) -> ConnectionFlow {
        context.shared.scheduler.counters().client_connections_accepted += 1;
        ConnectionFlow::Continue
    }

    fn received(&mut self, socket: &mut BufferedStream, context: &mut Context) -> ConnectionFlow {
        self.timers.record_activity(context.now);
        let buffered_before = socket.input.len();
        self.handle_lines(socket, context);
        if !socket.input_ended {
            self.track_partial_line(buffered_before, socket, context.now);
            return ConnectionFlow::Continue;
        }
        if socket.input.iter().all(u8::is_ascii_whitespace) || socket.input.contains(&LINE_FEED) {
            return ConnectionFlow::Close;
        }
        // Reported in case the client still reads.
        self.fail_incomplete_line(socket, context)
    }

    fn flushed(&mut self, socket: &mut BufferedStream, context: &mut Context) -> ConnectionFlow {
        self.handle_lines(socket, context);
        ConnectionFlow::Continue
    }

    fn timer_expired(&mut self, socket: &mut BufferedStream, context: &mut Context) -> ConnectionFlow {
        if self.timers.message_timed_out(context.now) {
            return self.fail_incomplete_line(socket, context);
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
        let calls = std::mem::take(&mut self.open_calls);
        end_requests(calls.into_keys().collect(), cause, socket, context);
    }

    fn idle_since(&self) -> Option<Time> {
        if self.open_calls.is_empty() {
            self.timers.idle_since()
        } else {
            None
        }
    }

    fn is_client(&self) -> bool {
        true
    }

    fn fail_open_requests(&mut self, socket: &mut BufferedStream, context: &mut Context) -> ConnectionFlow {
        let calls = std::mem::take(&mut self.open_calls);
        context
            .shared
            .scheduler
            .counters()
            .requests_failed_with_connection += calls.len() as u64;
        cancel_requests(calls.keys().copied(), socket, context);
        let response = Response {
            outcome: Outcome::Failed,
            expired: false,
        };
        for call in calls.into_values() {
            self.respond(call.batch, encode_response(&call.id, &response), socket);
        }
        self.timers.begin_close(context.now);
        ConnectionFlow::Finish
    }
}

impl ClientConnection for JsonRpcConnection {
    fn deliver(
        &mut self,
        stream: StreamId,
        response: &Response,
        socket: &mut BufferedStream,
        context: &mut Context,
    ) -> ConnectionFlow {
        if let Some(call) = self.open_calls.remove(&stream) {
            self.timers.record_activity(context.now);
            self.respond(call.batch, encode_response(&call.id, response), socket);
        }
        ConnectionFlow::Continue
    }
}
