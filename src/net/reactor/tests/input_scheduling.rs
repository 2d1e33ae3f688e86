//! Tests of the scheduling of input among connections that send at full speed and others.

use super::*;
use std::cell::Cell;
use std::rc::Rc;

/// Time that the handling of an expensive message takes.
const EXPENSIVE: Duration = Duration::from_millis(1);
/// Number of messages, one byte each, that a peer that sends at full speed has sent in advance.
const BACKLOG: usize = 2_000;
/// Maximum number of messages that a connection handles in one callback.
const MAX_MESSAGES_PER_CALLBACK: usize = 8;

/// A connection whose messages are single bytes, each of which takes some time to handle.
struct Consumer {
    handled: Rc<Cell<usize>>,
    message_time: Duration,
    is_client: bool,
    closes_at: Option<Time>,
}

impl Consumer {
    fn client(message_time: Duration) -> (Consumer, Rc<Cell<usize>>) {
        let handled = Rc::new(Cell::new(0));
        let consumer = Consumer {
            handled: Rc::clone(&handled),
            message_time,
            is_client: true,
            closes_at: None,
        };
        (consumer, handled)
    }
}

impl Connection<ReportCounts> for Consumer {
    fn opened(
        &mut self,
        _socket: &mut BufferedStream,
        _context: &mut Context<ReportCounts>,
    ) -> ConnectionFlow {
        ConnectionFlow::Continue
    }

    fn received(
        &mut self,
        socket: &mut BufferedStream,
        context: &mut Context<ReportCounts>,
    ) -> ConnectionFlow {
        while !socket.input.is_empty() && context.messages.take() {
            std::thread::sleep(self.message_time);
            self.handled.set(self.handled.get() + 1);
            socket.consume(1);
        }
        ConnectionFlow::Continue
    }

    fn timer_expired(
        &mut self,
        _socket: &mut BufferedStream,
        context: &mut Context<ReportCounts>,
    ) -> ConnectionFlow {
        match self.closes_at {
            Some(time) if time <= context.now => ConnectionFlow::Close,
            _ => ConnectionFlow::Continue,
        }
    }

    fn deadline(&self) -> Option<Time> {
        self.closes_at
    }

    fn closed(&mut self, _socket: &BufferedStream, _cause: CloseCause, _context: &mut Context<ReportCounts>) {
    }

    fn is_client(&self) -> bool {
        self.is_client
    }
}

/// Limits that let a whole backlog be read at once.
const BACKLOG_LIMITS: BufferLimits = BufferLimits {
    input: BACKLOG,
    output: 100,
};

/// Adds a client that has sent [`BACKLOG`] messages, and returns the number that were handled.
fn add_busy(
    reactor: &mut Reactor<ReportCounts>,
    message_time: Duration,
    peers: &mut Vec<UnixStream>,
) -> Rc<Cell<usize>> {
    let (consumer, handled) = Consumer::client(message_time);
    let (_, mut far) = add(consumer, reactor, BACKLOG_LIMITS);
    far.write_all(&[0; BACKLOG]).unwrap();
    peers.push(far);
    handled
}

/// Guards against clients that send at full speed and hold a turn of the event loop for seconds, so that no
/// request of the others is answered (review, case 1).
#[test]
fn a_turn_ends_although_clients_have_sent_much_more() {
    let mut reactor = reactor();
    let mut peers = Vec::new();
    let handled: Vec<_> = (0..10)
        .map(|_| add_busy(&mut reactor, EXPENSIVE, &mut peers))
        .collect();
    reactor.poll(None).unwrap();
    let total: usize = handled.iter().map(|handled| handled.get()).sum();
    assert!((1..=2 * MAX_MESSAGES_PER_CALLBACK).contains(&total), "{total}");
    let soon = reactor.now() + Span::from_millis(10_000);
    reactor.poll(Some(soon)).unwrap();
    let total_after: usize = handled.iter().map(|handled| handled.get()).sum();
    assert!(total_after > total, "the rest is handled without a new event");
}

/// Guards against a client that waits behind clients that send at full speed (review, case 1): after a wait it
/// comes before all of these.
#[test]
fn a_client_that_sends_now_and_then_comes_before_clients_that_send_at_full_speed() {
    let mut reactor = reactor();
    let mut peers = Vec::new();
    let busy: Vec<_> = (0..10)
        .map(|_| add_busy(&mut reactor, EXPENSIVE, &mut peers))
        .collect();
    let (consumer, handled) = Consumer::client(Duration::ZERO);
    let (_, mut far) = add(consumer, &mut reactor, LIMITS);
    while busy.iter().any(|busy| busy.get() == 0) {
        reactor.poll(None).unwrap();
    }
    let before: usize = busy.iter().map(|busy| busy.get()).sum();
    far.write_all(b"x").unwrap();
    while handled.get() == 0 {
        reactor.poll(None).unwrap();
    }
    let since: usize = busy.iter().map(|busy| busy.get()).sum::<usize>() - before;
    assert!(since <= MAX_MESSAGES_PER_CALLBACK, "{since} messages came first");
}

/// Guards against a share by messages alone, in which a client with expensive messages gets most of the time.
#[test]
fn a_client_with_expensive_messages_is_passed_over_until_its_debt_is_paid() {
    let mut reactor = reactor();
    let mut peers = Vec::new();
    let expensive = add_busy(&mut reactor, EXPENSIVE, &mut peers);
    let cheap = add_busy(&mut reactor, Duration::ZERO, &mut peers);
    while cheap.get() < BACKLOG {
        reactor.poll(None).unwrap();
    }
    assert!(expensive.get() < BACKLOG / 4, "{}", expensive.get());
}

/// Guards against a client that pays for a pause of the process in its callback, and is then not read for seconds
/// (second review, case 7).
#[test]
fn a_client_whose_callback_was_paused_is_read_again_soon() {
    let mut reactor = reactor();
    let mut peers = Vec::new();
    let busy: Vec<_> = (0..10)
        .map(|_| add_busy(&mut reactor, EXPENSIVE, &mut peers))
        .collect();
    let (paused, handled) = Consumer::client(Duration::from_millis(50));
    let (_, mut far) = add(paused, &mut reactor, LIMITS);
    far.write_all(b"x").unwrap();
    while handled.get() == 0 {
        reactor.poll(None).unwrap();
    }
    let before: usize = busy.iter().map(|busy| busy.get()).sum();
    far.write_all(b"x").unwrap();
    while handled.get() == 1 {
        reactor.poll(None).unwrap();
    }
    let since: usize = busy.iter().map(|busy| busy.get()).sum::<usize>() - before;
    assert!(since <= 110, "{since} messages of ten others came first");
}

/// Guards against peers that reconnect for ever with input, which is handled before that of any client that has more
/// than it can handle at once.
#[test]
fn a_backlogged_client_is_read_beside_clients_that_connect_anew() {
    let mut reactor = reactor();
    let mut peers = Vec::new();
    let backlogged = add_busy(&mut reactor, EXPENSIVE, &mut peers);
    reactor.poll(None).unwrap();
    let before = backlogged.get();
    for _ in 0..20 {
        for _ in 0..8 {
            let (consumer, _) = Consumer::client(EXPENSIVE);
            let (_, mut far) = add(consumer, &mut reactor, LIMITS);
            far.write_all(b"x").unwrap();
            peers.push(far);
        }
        reactor.poll(None).unwrap();
    }
    let since = backlogged.get() - before;
    assert!(since >= 3, "{since} messages handled");
}

/// Guards against input of clients that delays what ends their requests.
#[test]
fn the_input_of_workers_comes_before_that_of_clients() {
    let mut reactor = reactor();
    let mut peers = Vec::new();
    let busy: Vec<_> = (0..10)
        .map(|_| add_busy(&mut reactor, EXPENSIVE, &mut peers))
        .collect();
    reactor.poll(None).unwrap();
    let before: usize = busy.iter().map(|busy| busy.get()).sum();
    let (worker, responses) = Consumer::client(Duration::ZERO);
    let worker = Consumer {
        is_client: false,
        ..worker
    };
    let (_, mut far) = add(worker, &mut reactor, LIMITS);
    far.write_all(&[0; 50]).unwrap();
    reactor.poll(None).unwrap();
    assert_eq!(responses.get(), 50);
    let since: usize = busy.iter().map(|busy| busy.get()).sum::<usize>() - before;
    assert!(since <= 2 * MAX_MESSAGES_PER_CALLBACK, "{since}");
}

/// Guards against a connection that a timer closes although a request waits in its input.
#[test]
fn a_timer_waits_until_the_input_of_its_connection_has_been_handled() {
    let mut reactor = reactor();
    let (consumer, handled) = Consumer::client(Duration::from_micros(100));
    let consumer = Consumer {
        closes_at: Some(reactor.now() + Span::from_millis(1)),
        ..consumer
    };
    let (_, mut far) = add(consumer, &mut reactor, BACKLOG_LIMITS);
    far.write_all(&[0; BACKLOG]).unwrap();
    while reactor.connection_count() > 0 {
        reactor.poll(None).unwrap();
    }
    assert_eq!(handled.get(), BACKLOG);
}

#[test]
fn the_input_of_clients_waits_while_earlier_work_is_left() {
    let mut reactor = reactor();
    let (consumer, handled) = Consumer::client(Duration::ZERO);
    let (_, mut far) = add(consumer, &mut reactor, LIMITS);
    far.write_all(b"x").unwrap();
    reactor.clients_paused = true;
    reactor.poll(None).unwrap();
    assert_eq!(handled.get(), 0);
    reactor.clients_paused = false;
    reactor.poll(None).unwrap();
    assert_eq!(handled.get(), 1);
}
