//! The sending side of a client connection.

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

/// Range of the pause between two actions, in milliseconds.
const PAUSES_MS: RangeInclusive<u64> = 20..=160;
/// Range of the timeout of a request, as a percentage of the longest deadline of the deployment.
const TIMEOUTS_PERCENT: RangeInclusive<u32> = 15..=100;
/// Percentage of connections that ignore GOAWAY even without a fault.
const IGNORES_GO_AWAY_PERCENT: u8 = 40;
/// Range of the ids of the functions that requests call.
const FUNCTION_IDS: RangeInclusive<u64> = 1..=24;
/// Range of the number of requests on a connection before it is closed.
const REQUESTS_PER_CONNECTION: RangeInclusive<u32> = 10..=80;
/// Maximum number of requests in flight on a connection.
const MAX_IN_FLIGHT: usize = 24;
/// Actions per thousand that cancel a request or abort the connection, while `abandon_requests` is off.
const ABANDONS_PER_MILLE: u16 = 10;
/// Actions per thousand that cancel a request or abort the connection, while `abandon_requests` is on.
const FAULTY_ABANDONS_PER_MILLE: u16 = 300;
/// Actions per thousand that send a malformed frame, while `malformed_frames` is on.
const MALFORMED_FRAMES_PER_MILLE: u16 = 150;
/// How long a client waits for responses after its last request. It is longer than any request's timeout.
const LAST_RESPONSES_TIMEOUT: Duration = Duration::from_millis(4_500);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A client's connection to a scheduler, with its write half.
pub(super) struct ClientConnection {
    state: Arc<ConnectionState>,
    incarnation: Incarnation,
    output: OwnedWriteHalf,
    next_stream: u32,
    requests_left: u32,
    /// Whether the client goes on sending requests on the connection after a GOAWAY.
    always_ignores_go_away: bool,
}

/// The action that a client takes next on a connection.
enum Action {
    SendRequest,
    CancelRequest,
    /// Close the connection with requests in flight.
    Abort,
    SendMalformedFrame,
    /// Close the connection after all requests have received their responses.
    Close,
}

impl ClientConnection {
    /// Creates the client side of a connection and starts a task that reads from it.
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

    /// Performs random actions until the connection is closed, `ends_at` has passed or the clients are
    /// stopped.
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
            function: fastrand::u64(FUNCTION_IDS),
            body: &request_body(request),
        };
        self.state.add_in_flight(stream, request);
        if self.output.write_all(&frame.encode()).await.is_err() {
            // The scheduler has not received the complete request and does not have to respond.
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

    /// Closes the connection and records its requests in flight as cancelled.
    ///
    /// Records nothing if the connection has already been closed.
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

    /// Closes the connection after every response has been received or is overdue.
    async fn close(self) {
        let mut waited = Duration::ZERO;
        while self.state.in_flight_count() > 0 && !self.state.is_closed() && waited < LAST_RESPONSES_TIMEOUT {
            sleep(POLL_INTERVAL).await;
            waited += POLL_INTERVAL;
        }
        self.state.close();
    }
}

/// Returns a random request class. Half of the requests are idempotent.
fn random_class() -> RequestClass {
    match fastrand::u8(..4) {
        0 => RequestClass::IdempotencyKey,
        1 => RequestClass::NonIdempotent,
        _ => RequestClass::Idempotent,
    }
}
