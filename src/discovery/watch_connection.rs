//! A single TCP connection of the endpoint watch.

use super::codec::{DecodeError, Frame, decode_frame};
use super::event::WatchEvent;
use crate::model::{Span, Time, WatchStatus};
use crate::net::{BufferedStream, CloseCause, Connection, ConnectionFlow};
use crate::runtime::{Context, RuntimeState};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use tracing::{debug, warn};

/// Time without a frame after which a connection counts as dead; the discovery service sends a heartbeat
/// every second.
pub(super) const WATCH_SILENCE_TIMEOUT: Span = Span::from_millis(2_500);

/// Number of events in the queue from which no more are read from the connection.
const MAX_QUEUED_EVENTS: usize = 16;
/// Number of status changes in the queue from which nothing more is read. They are reported once all events have been
/// applied, so that a service that sends events without an end must wait for that.
const MAX_QUEUED_STATUS_CHANGES: usize = 64;

/// A status change of the watch and its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StatusChange {
    /// Time of the change, or the earliest time at which it may have happened.
    pub(crate) at: Time,
    /// Status that the watch has from then on.
    pub(crate) status: WatchStatus,
}

/// Queue of received events and status changes, shared by a connection and [`Discovery`](super::Discovery).
#[derive(Debug)]
pub(super) struct WatchQueue {
    /// Events that have not been applied yet, in order.
    pub(super) events: VecDeque<WatchEvent>,
    /// Status changes that have not been reported yet, in order. They hold once the events have been applied.
    pub(super) status_changes: VecDeque<StatusChange>,
    /// Number of the last event received; a new connection continues after it.
    pub(super) last_offset: u64,
    /// Whether the connection has closed and no other has been scheduled yet.
    pub(super) disconnected: bool,
    /// Number of connections that have failed or closed since a frame was last received.
    pub(super) consecutive_failures: u32,
}

impl WatchQueue {
    /// Creates a queue for a watch that has had neither a connection nor a failure.
    pub(super) fn new(events: VecDeque<WatchEvent>, last_offset: u64) -> WatchQueue {
        WatchQueue {
            events,
            status_changes: VecDeque::new(),
            last_offset,
            disconnected: true,
            consecutive_failures: 0,
        }
    }

    /// Returns whether the connection must not be read before the queue has been worked off.
    pub(super) fn is_full(&self) -> bool {
        self.events.len() >= MAX_QUEUED_EVENTS || self.status_changes.len() >= MAX_QUEUED_STATUS_CHANGES
    }

    /// Records a status change of the watch.
    pub(super) fn record_status(&mut self, at: Time, status: WatchStatus) {
        self.status_changes.push_back(StatusChange { at, status });
    }

    /// Processes a frame that arrived at `arrived_at` or later; returns whether the frame shows that the
    /// watch works.
    fn receive(&mut self, frame: Frame, arrived_at: Time) -> bool {
        match frame {
            Frame::Heartbeat { last_offset } if !self.confirms_list(last_offset) => {
                warn!(
                    last_offset,
                    expected = self.last_offset,
                    "heartbeat of another offset"
                );
                return false;
            }
            Frame::Heartbeat { .. } => self.record_status(arrived_at, WatchStatus::Confirmed),
            // A new connection may repeat events, which must not be applied again.
            Frame::Event(event) if event.offset <= self.last_offset => {}
            Frame::Event(event) => {
                self.record_status(arrived_at, WatchStatus::EventReceived);
                self.push(event);
            }
        }
        true
    }

    /// Returns whether a heartbeat with this offset is consistent with the list.
    ///
    /// A service that has fewer events cannot know whether there are others, and one that has more events has
    /// not sent them all. Zero carries no information and is accepted.
    fn confirms_list(&self, last_offset: u64) -> bool {
        last_offset == self.last_offset || last_offset == 0
    }

    /// Appends an event to the queue.
    pub(super) fn push(&mut self, event: WatchEvent) {
        self.last_offset = self.last_offset.max(event.offset);
        self.events.push_back(event);
    }
}

/// A connection to the discovery service, which requests the events after the last one received and queues
/// them.
pub(super) struct WatchConnection {
    queue: Rc<RefCell<WatchQueue>>,
    silence_deadline: Time,
}

impl WatchConnection {
    /// Creates the state of a connection that is being established at `now`.
    pub(super) fn new(queue: Rc<RefCell<WatchQueue>>, now: Time) -> WatchConnection {
        WatchConnection {
            queue,
            silence_deadline: now + WATCH_SILENCE_TIMEOUT,
        }
    }

    fn handle_frame(&mut self, frame: Frame, context: &Context) {
        let mut queue = self.queue.borrow_mut();
        queue.consecutive_failures = 0;
        if queue.receive(frame, context.earliest_input_at) {
            self.silence_deadline = context.now + WATCH_SILENCE_TIMEOUT;
        }
    }

    fn handle_decode_error(&self, error: DecodeError, context: &mut Context) -> ConnectionFlow {
        context.shared.scheduler.counters().decode_errors += 1;
        warn!(cause = error.to_string(), "watch event undecodable");
        ConnectionFlow::Close
    }
}

impl Connection<RuntimeState> for WatchConnection {
    fn opened(&mut self, socket: &mut BufferedStream, context: &mut Context) -> ConnectionFlow {
        self.silence_deadline = context.now + WATCH_SILENCE_TIMEOUT;
        let mut queue = self.queue.borrow_mut();
        queue.record_status(context.now, WatchStatus::Requested);
        socket.enqueue(&queue.last_offset.to_be_bytes());
        ConnectionFlow::Continue
    }

    fn received(&mut self, socket: &mut BufferedStream, context: &mut Context) -> ConnectionFlow {
        let mut consumed = 0;
        if self.queue.borrow().is_full() {
            context.messages.exhaust();
        }
        while context.messages.take() {
            match decode_frame(&socket.input[consumed..]) {
                Ok(None) => break,
                Ok(Some(decoded)) => {
                    consumed += decoded.encoded_length;
                    self.handle_frame(decoded.frame, context);
                }
                Err(error) => return self.handle_decode_error(error, context),
            }
        }
        socket.consume(consumed);
        if socket.input_ended && !context.messages.is_exhausted() {
            ConnectionFlow::Close
        } else {
            ConnectionFlow::Continue
        }
    }

    fn timer_expired(&mut self, _socket: &mut BufferedStream, context: &mut Context) -> ConnectionFlow {
        if self.silence_deadline <= context.now {
            warn!("watch connection silent");
            return ConnectionFlow::Close;
        }
        ConnectionFlow::Continue
    }

    fn deadline(&self) -> Option<Time> {
        Some(self.silence_deadline)
    }

    fn closed(&mut self, _socket: &BufferedStream, cause: CloseCause, context: &mut Context) {
        debug!(cause = cause.to_string(), "watch connection closed");
        let mut queue = self.queue.borrow_mut();
        queue.record_status(context.now, WatchStatus::Disconnected);
        queue.disconnected = true;
        queue.consecutive_failures += 1;
    }
}
