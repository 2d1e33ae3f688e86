use super::*;
use mio::net::UnixStream;
use std::io::{Read, Write};

/// Epoll reports input once. Input that stays in the socket because unsent output pauses reading must not be
/// forgotten: it is readable again as soon as the output is written.
#[test]
fn input_left_in_the_socket_is_readable_again_once_reading_continues() {
    let (near, mut far) = UnixStream::pair().unwrap();
    let limits = BufferLimits {
        input: 100,
        output: 0,
    };
    let mut stream = BufferedStream::new(Stream::Unix(near), Token(1), true, limits);
    far.write_all(b"x").unwrap();
    stream.mark_readable();
    stream.enqueue(b"y");
    assert!(
        !stream.fill(usize::MAX).unwrap() && stream.input.is_empty(),
        "reading is paused"
    );
    assert!(stream.may_have_input() && !stream.is_readable());
    assert!(stream.flush().unwrap());
    assert!(stream.is_readable());
    assert!(stream.fill(usize::MAX).unwrap());
    assert_eq!(stream.input, b"x");
    assert!(!stream.may_have_input());
}

/// Guards against a peer that sends at full speed and keeps a turn of the event loop in one read.
#[test]
fn a_read_ends_although_more_input_is_waiting() {
    let (near, mut far) = UnixStream::pair().unwrap();
    let limits = BufferLimits {
        input: usize::MAX,
        output: 0,
    };
    let mut stream = BufferedStream::new(Stream::Unix(near), Token(1), true, limits);
    let mut sent = 0;
    while let Ok(count) = far.write(&[0; MAX_FILL_BYTES]) {
        sent += count;
    }
    assert!(sent > 2 * MAX_FILL_BYTES, "{sent}");
    assert!(!stream.fill(usize::MAX).unwrap());
    assert!(stream.input.len() <= MAX_FILL_BYTES);
    assert!(stream.is_readable());
}

/// Guards against an output buffer that keeps all that was ever written, because its peer is always a little behind
/// (second review, case 8: bytes that no budget counts).
#[test]
fn output_of_a_peer_that_is_always_behind_does_not_grow() {
    let (near, mut far) = UnixStream::pair().unwrap();
    let limits = BufferLimits {
        input: 100,
        output: usize::MAX,
    };
    let mut stream = BufferedStream::new(Stream::Unix(near), Token(1), true, limits);
    let mut chunk = vec![0; 64 << 10];
    for _ in 0..2 {
        while stream.flush().unwrap() {
            stream.enqueue(&chunk);
        }
    }
    for _ in 0..200 {
        let count = far.read(&mut chunk).unwrap();
        stream.enqueue(&chunk[..count]);
        assert!(!stream.flush().unwrap(), "the peer is behind");
    }
    let capacity = stream.output.capacity();
    assert!(capacity < 1 << 20, "{capacity} bytes");
}
