//! The sending side of a client's connection.

use super::connection_state::ConnectionState;
use super::{Clients, has_passed, request_body, response_reader};
use crate::environment::frame_codec::{self, RequestFrame};
use crate::recorder::{Event, Incarnation};
use crate::request::RequestClass;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::sleep;

/// Pause between two actions, in milliseconds.
const PAUSES_MS: RangeInclusive<u64> = 20..=160;
/// Timeout of a request, in hundredths of the longest deadline.
const TIMEOUTS_PERCENT: RangeInclusive<u32> = 15..=100;
/// How many of a hundred connections ignore GOAWAY.
const IGNORES_GO_AWAY_PERCENT: u8 = 40;
/// Functions that are called.
const FUNCTIONS: RangeInclusive<u64> = 1..=24;
/// Requests on a connection before it is closed.
const REQUESTS_PER_CONNECTION: RangeInclusive<u32> = 10..=80;
/// Requests in flight on a connection at most.
const MAX_IN_FLIGHT: usize = 24;
/// How many of a thousand actions cancel a request or abort the connection: normally, and during the fault.
const ABANDONS_PER_MILLE: u16 = 10;
const FAULTY_ABANDONS_PER_MILLE: u16 = 300;
/// How many of a thousand actions send a malformed frame during the fault.
const MALFORMED_FRAMES_PER_MILLE: u16 = 150;
/// How long responses are awaited after the last request: longer than any request's timeout.
const LAST_RESPONSES_TIMEOUT: Duration = Duration::from_millis(4_500);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A connection as its client sees it.
pub(super) struct ClientConnection {
    state: Arc<ConnectionState>,
    incarnation: Incarnation,
    output: OwnedWriteHalf,
    next_stream: u32,
    requests_left: u32,
    /// It goes on sending after a GOAWAY, until the connection ends.
    always_ignores_go_away: bool,
}

/// What a client does next on a connection.
enum Action {
    SendRequest,
    CancelRequest,
    /// Close it with requests in flight.
    Abort,
    SendMalformedFrame,
    /// Close it once all requests have their responses.
    Close,
}

impl ClientConnection {
    /// Takes over a connection, and starts to read from it.
    pub(super) fn start(
        clients: &Arc<Clients>,
        incarnation: Incarnation,
        stream: TcpStream,
    ) -> ClientConnection {
        let _ = stream.set_nodelay(true);
        let (input, output) = stream.into_split();
        let state = Arc::new(ConnectionState::new(clients));
        tokio::spawn(response_reader::run(Arc::clone(&state), input));
        ClientConnection {
            state,
            incarnation,
            output,
            next_stream: 1,
            requests_left: fastrand::u32(REQUESTS_PER_CONNECTION),
            always_ignores_go_away: fastrand::u8(..100) < IGNORES_GO_AWAY_PERCENT,
        }
    }

    /// Acts until the connection is closed, `ends_at` has come or the clients are stopped.
    pub(super) async fn run(mut self, ends_at: Option<Instant>) {
        while !self.state.is_closed() && !self.state.clients.is_stopped() && !has_passed(ends_at) {
            match self.choose_action() {
                Action::SendRequest => {
                    self.requests_left -= 1;
                    self.send_request().await;
                }
                Action::CancelRequest => self.cancel_request().await,
                Action::Abort => return self.abort(),
                Action::SendMalformedFrame => {
                    let _ = self.output.write_all(&frame_codec::MALFORMED_FRAME).await;
                    break;
                }
                Action::Close => break,
            }
            sleep(Duration::from_millis(fastrand::u64(PAUSES_MS))).await;
        }
        self.close().await;
    }

    fn choose_action(&self) -> Action {
        let switches = self.state.switches();
        let ignores_go_away = self.always_ignores_go_away || switches.ignore_go_away.is_on();
        let obeys_go_away = self.state.has_received_go_away() && !ignores_go_away;
        if self.requests_left == 0 || obeys_go_away {
            return Action::Close;
        }
        if self.state.in_flight_count() == 0 {
            return Action::SendRequest;
        }
        let abandons_per_mille = if switches.abandon_requests.is_on() {
            FAULTY_ABANDONS_PER_MILLE
        } else {
            ABANDONS_PER_MILLE
        };
        if fastrand::u16(..1000) < abandons_per_mille {
            return if fastrand::bool() {
                Action::CancelRequest
            } else {
                Action::Abort
            };
        }
        if switches.malformed_frames.is_on() && fastrand::u16(..1000) < MALFORMED_FRAMES_PER_MILLE {
            return Action::SendMalformedFrame;
        }
        Action::SendRequest
    }

    async fn send_request(&mut self) {
        if self.state.in_flight_count() >= MAX_IN_FLIGHT {
            return;
        }
        let request = self.state.clients.next_request();
        let class = random_class();
        let timeout = self.state.clients.longest_deadline * fastrand::u32(TIMEOUTS_PERCENT) / 100;
        let timeout = Duration::from_millis(timeout.as_millis() as u64);
        let stream = self.next_stream;
        self.next_stream += 1;
        let frame = RequestFrame {
            stream,
            request,
            class,
            timeout,
            function: fastrand::u64(FUNCTIONS),
            body: &request_body(request),
        };
        self.state.add_in_flight(stream, request);
        if self.output.write_all(&frame.encode()).await.is_err() {
            // The scheduler has not received the whole request, so that no response is due.
            self.state.remove_in_flight(stream);
            return;
        }
        self.state.record(Event::RequestSent {
            request,
            class,
            timeout,
            connection: self.state.id,
            incarnation: self.incarnation,
        });
    }

    async fn cancel_request(&mut self) {
        let Some((stream, request)) = self.state.remove_any_in_flight() else {
            return;
        };
        let cancel = frame_codec::encode_cancel(stream);
        if self.output.write_all(&cancel).await.is_ok() {
            self.state.record(Event::RequestCancelled { request });
        }
    }

    /// Closes the connection with requests in flight.
    fn abort(self) {
        let abandoned = self.state.take_in_flight();
        let was_closed_before = self.state.close();
        if was_closed_before {
            return;
        }
        for request in abandoned {
            self.state.record(Event::RequestCancelled { request });
        }
    }

    /// Closes the connection once every response has come or is overdue.
    async fn close(self) {
        let mut waited = Duration::ZERO;
        while self.state.in_flight_count() > 0 && !self.state.is_closed() && waited < LAST_RESPONSES_TIMEOUT {
            sleep(POLL_INTERVAL).await;
            waited += POLL_INTERVAL;
        }
        self.state.close();
    }
}

/// Half of the requests are idempotent.
fn random_class() -> RequestClass {
    match fastrand::u8(..4) {
        0 => RequestClass::IdempotencyKey,
        1 => RequestClass::NonIdempotent,
        _ => RequestClass::Idempotent,
    }
}
