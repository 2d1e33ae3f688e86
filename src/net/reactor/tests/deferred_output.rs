//! Tests of output that several callbacks add to a connection.

use super::*;

/// Limits of a buffer that holds all output of the tests.
const WIDE_LIMITS: BufferLimits = BufferLimits {
    input: 100,
    output: 1 << 20,
};

fn enqueue(reactor: &mut Reactor<ReportCounts>, id: ConnectionId, bytes: &[u8]) {
    reactor.with_connection_deferred(id, |_, socket, _| {
        socket.enqueue(bytes);
        ConnectionFlow::Continue
    });
}

/// Returns what a peer can read without waiting.
fn received(far: &mut UnixStream) -> Vec<u8> {
    far.set_nonblocking(true).unwrap();
    let mut bytes = vec![0; 1 << 20];
    let count = far.read(&mut bytes).unwrap_or(0);
    bytes.truncate(count);
    bytes
}

/// Guards against one write to the socket for each response to a client that sends at full speed, which took more of
/// the processor than all else and was charged to no connection (second review, case 7).
#[test]
fn small_output_of_several_callbacks_is_written_at_once() {
    let mut reactor = reactor();
    let (id, mut far) = add_echo(&mut reactor, WIDE_LIMITS);
    for byte in [b"a", b"b", b"c"] {
        enqueue(&mut reactor, id, byte);
        assert_eq!(received(&mut far), b"");
    }
    reactor.flush_deferred_output();
    assert_eq!(received(&mut far), b"abc");
    assert!(!reactor.has_unsent_output());
}

/// Guards against memory that grows with the number of responses in a batch.
#[test]
fn large_output_is_not_left_for_later() {
    let mut reactor = reactor();
    let (id, mut far) = add_echo(&mut reactor, WIDE_LIMITS);
    enqueue(&mut reactor, id, &[0; 20_000]);
    assert_eq!(received(&mut far).len(), 20_000);
    assert_eq!(reactor.unsent_bytes, 0);
}

#[test]
fn output_that_is_left_counts_as_unsent_until_its_connection_closes() {
    let mut reactor = reactor();
    let (id, _far) = add_echo(&mut reactor, WIDE_LIMITS);
    enqueue(&mut reactor, id, &[0; 100]);
    assert_eq!(reactor.unsent_bytes, 100);
    reactor.close_connection(id, CloseCause::NotNeeded);
    reactor.flush_deferred_output();
    assert_eq!(reactor.unsent_bytes, 0);
}
