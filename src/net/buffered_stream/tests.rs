use super::*;
use mio::net::UnixStream;
use mio::{Events, Poll};
use std::io::Write;
use std::time::Duration;

/// Epoll reports input once. Input that stays in the socket because unsent output pauses reading must be
/// reported again after the output is written.
#[test]
fn input_left_in_the_socket_is_reported_again() {
    let (near, mut far) = UnixStream::pair().unwrap();
    let mut poll = Poll::new().unwrap();
    let mut events = Events::with_capacity(4);
    let limits = BufferLimits {
        input: 100,
        output: 0,
    };
    let mut stream = BufferedStream::new(Stream::Unix(near), Token(1), true, limits);
    stream.register(poll.registry()).unwrap();
    far.write_all(b"x").unwrap();
    poll.poll(&mut events, Some(Duration::from_secs(10))).unwrap();
    stream.enqueue(b"y");
    assert!(
        !stream.fill().unwrap() && stream.input.is_empty(),
        "reading is paused"
    );
    assert!(stream.flush().unwrap());
    stream.register(poll.registry()).unwrap();
    poll.poll(&mut events, Some(Duration::from_secs(10))).unwrap();
    assert!(events.iter().any(|event| event.is_readable()));
    assert!(stream.fill().unwrap());
    assert_eq!(stream.input, b"x");
}
