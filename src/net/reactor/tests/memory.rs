//! Tests of the limits on buffered input and output.

use super::*;

/// Number of bytes of a message that is never completed.
const INCOMPLETE_BYTES: usize = 8 << 10;

/// A client's connection whose messages are never complete.
struct IncompleteClient;

impl Connection<ReportCounts> for IncompleteClient {
    fn opened(
        &mut self,
        _socket: &mut BufferedStream,
        _context: &mut Context<ReportCounts>,
    ) -> ConnectionFlow {
        ConnectionFlow::Continue
    }

    fn received(
        &mut self,
        _socket: &mut BufferedStream,
        _context: &mut Context<ReportCounts>,
    ) -> ConnectionFlow {
        ConnectionFlow::Continue
    }

    fn closed(&mut self, _socket: &BufferedStream, _cause: CloseCause, _context: &mut Context<ReportCounts>) {
    }

    fn is_client(&self) -> bool {
        true
    }

    fn fail_open_requests(
        &mut self,
        socket: &mut BufferedStream,
        _context: &mut Context<ReportCounts>,
    ) -> ConnectionFlow {
        socket.enqueue(b"failed");
        ConnectionFlow::Finish
    }
}

/// Guards against half messages of many clients that drive the process over its memory limit (review, memory of
/// half frames).
#[test]
fn clients_with_large_incomplete_messages_are_closed_beyond_the_limit_of_all() {
    let mut reactor = reactor();
    reactor.max_buffered_bytes = 3 * INCOMPLETE_BYTES;
    let limits = BufferLimits {
        input: 100_000,
        output: 100_000,
    };
    let mut peers: Vec<UnixStream> = (0..6)
        .map(|_| add(IncompleteClient, &mut reactor, limits).1)
        .collect();
    let (_, mut small) = add(IncompleteClient, &mut reactor, limits);
    for peer in &mut peers {
        peer.write_all(&[0; INCOMPLETE_BYTES]).unwrap();
        reactor.poll(None).unwrap();
    }
    small.write_all(b"x").unwrap();
    reactor.poll(None).unwrap();
    let is_failed = |peer: &mut UnixStream| {
        peer.set_nonblocking(true).unwrap();
        peer.read(&mut [0; 10])
            .is_ok_and(|count| count == b"failed".len())
    };
    let failed: Vec<bool> = peers.iter_mut().map(is_failed).collect();
    assert_eq!(failed, [false, false, false, true, true, true]);
    assert!(!is_failed(&mut small), "a small one is allowed");
}

/// A peer that does not read its input must not use unbounded memory.
#[test]
fn output_beyond_the_limit_closes_the_connection_that_adds_to_it() {
    let mut reactor = reactor();
    reactor.max_unsent_bytes = 8 << 20;
    let limits = BufferLimits {
        input: 100,
        output: usize::MAX,
    };
    let (id, _far) = add_echo(&mut reactor, limits);
    let mut enqueue = |bytes: usize| {
        reactor.with_connection(id, |_, socket, _| {
            socket.enqueue(&vec![0; bytes]);
            ConnectionFlow::Continue
        });
        (reactor.connection_count(), reactor.unsent_bytes > 0)
    };
    assert_eq!(enqueue(7 << 20), (1, true));
    assert_eq!(enqueue(7 << 20), (0, false));
}
