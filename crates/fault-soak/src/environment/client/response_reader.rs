//! The reading side of a client connection.

use super::connection_state::ConnectionState;
use super::request_body;
use crate::environment::frame_codec::{self, ReceivedFrame};
use crate::recorder::Event;
use crate::request::RequestId;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::tcp::OwnedReadHalf;
use tokio::time::sleep;

/// How often the reader checks whether its client has closed the connection.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Reads frames until either side closes the connection, and records the responses.
pub(super) async fn run(state: Arc<ConnectionState>, mut input: OwnedReadHalf) {
    // The requests that have received a response, by stream id, so that a duplicate response is recorded too.
    let mut answered: HashMap<u32, RequestId> = HashMap::new();
    loop {
        let frame = tokio::select! {
            frame = frame_codec::read_frame(&mut input) => frame,
            () = wait_until_closed(&state) => return,
        };
        match frame {
            Ok(Some(ReceivedFrame::Response { stream, status, body })) => {
                let in_flight = state.remove_in_flight(stream);
                let Some(request) = in_flight.or_else(|| answered.get(&stream).copied()) else {
                    continue;
                };
                answered.insert(stream, request);
                state.record(Event::ResponseReceived {
                    request,
                    status,
                    body_matches: body == request_body(request),
                });
            }
            Ok(Some(ReceivedFrame::GoAway)) => state.set_go_away_received(),
            Ok(Some(ReceivedFrame::Readiness { .. })) => {}
            Ok(None) | Err(_) => {
                let was_closed_before = state.close();
                if !was_closed_before {
                    let connection = state.id;
                    state.record(Event::ConnectionClosed { connection });
                }
                return;
            }
        }
    }
}

async fn wait_until_closed(state: &ConnectionState) {
    while !state.is_closed() {
        sleep(POLL_INTERVAL).await;
    }
}
