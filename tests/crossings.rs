//! Pairs of events that cross, each forced by the order in which a test lets them happen.

mod rig;

use rig::*;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

/// Settings of a large fleet: the calls of one scheduler share a connection to each worker.
fn shared() -> Value {
    let mut settings = settings();
    settings["fleetSize"] = json!(100);
    settings
}

/// The reference of a test's n-th call.
fn name(n: u32) -> String {
    format!("{n:016x}")
}

/// A worker whose connections the test reads byte by byte, so that it can leave bytes unread.
struct Plain(TcpListener);

impl Plain {
    /// The worker, and what tells a daemon of it.
    fn new() -> (Plain, Worker) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut told = Worker::agent();
        told.at = At::Tcp(listener.local_addr().unwrap());
        (Plain(listener), told)
    }

    fn accept(&self) -> TcpStream {
        let (stream, _) = self.0.accept().unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        stream
    }
}

/// The next line, and not a byte beyond it.
fn line(stream: &mut TcpStream) -> Value {
    let mut text = vec![];
    let mut byte = [0];
    while text.last() != Some(&b'\n') {
        stream.read_exact(&mut byte).expect("a line comes");
        text.push(byte[0]);
    }
    serde_json::from_slice(&text).unwrap()
}

fn ok(name: &str, content: &str) -> Vec<u8> {
    format!("{}\n", json!({"verb": "200", "rid": name, "content": content})).into_bytes()
}

// ---- The end

/// SIGTERM, and the last answer is put in line for a client that has not read yet what came before it: it has
/// the time that such a client is given, counted from then and not from the signal.
#[test]
fn the_last_answer_after_sigterm_is_written_however_late_it_comes() {
    let worker = Worker::agent();
    let mut daemon = Daemon::start(&[&worker]);
    let (mut reader, mut clock) = (Frames::connect(&daemon), Frames::connect(&daemon));
    reader.send(&frame(0, 1, &call("practice-check", &name(1), 20_000, b"last")));
    let mut held = worker.next();
    let lines = worker.serve(|heard| echo(heard).filter(|_| heard.line["rid"] != name(2)));
    // Answers that nobody reads, until no more requests are taken from that connection.
    let body = vec![7; 16 << 10];
    let mut sent = 2;
    loop {
        let more =
            (1..=8).flat_map(|n| frame(0, sent + n, &call("practice-check", &name(sent + n), 20_000, &body)));
        reader.send(&more.collect::<Vec<u8>>());
        sent += 8;
        (0..5).for_each(|_| only_ready(&mut clock, 79));
        let taken = daemon.counter("taken");
        if taken < u64::from(sent - 1) {
            break;
        }
        daemon.wait_counter("served", u64::from(sent - 2));
        assert!(sent < 4000, "the daemon goes on reading");
    }
    daemon.signal("TERM");
    assert_eq!(clock.next(), Some((9, 0, vec![])));
    // Its refusal shows that the time after SIGTERM itself is over.
    clock.send(&frame(0, 2, &call("practice-check", &name(2), 2_400, b"")));
    let (kind, stream, payload) = clock.next().unwrap();
    assert_eq!((kind, stream, payload[0]), (1, 2, 66));
    held.answer("200", "bGFzdA==");
    let frames: Vec<_> = std::iter::from_fn(|| reader.next()).collect();
    assert!(frames.contains(&(1, 1, b"\x4f\0last".to_vec())), "{} frames", frames.len());
    let served = frames.iter().filter(|(kind, stream, _)| *kind == 1 && *stream > 2).count();
    assert_eq!(served as u32, sent - 2, "and every other answer");
    assert!(daemon.child.wait().unwrap().success());
    assert!(tally(&lines)["go"] as u32 >= sent - 1);
}

// ---- Connections to workers

/// An answer, and a reset right behind it: what came whole counts.
#[test]
fn an_answer_that_comes_with_a_reset_is_passed_on() {
    let (plain, told) = Plain::new();
    let daemon = Daemon::with(&[&told], shared(), None, |_| String::new());
    let mut client = Frames::connect(&daemon);
    client.send(&frame(0, 1, &call("practice-check", &name(1), 3_000, b"")));
    let mut wire = plain.accept();
    assert_eq!(line(&mut wire)["rid"], name(1));
    client.send(&frame(0, 2, &call("practice-check", &name(2), 3_000, b"")));
    assert_eq!(wire.peek(&mut [0]).unwrap(), 1, "the second call is here, unread");
    daemon.signal("STOP");
    wire.write_all(&ok(&name(1), "eA==")).unwrap();
    // Closed with input unread: the system resets the connection.
    drop(wire);
    daemon.signal("CONT");
    assert_eq!(client.next(), Some((1, 1, vec![79, 0, b'x'])));
    let mut wire = plain.accept();
    assert_eq!(line(&mut wire)["rid"], name(2), "only the other call is sent again");
    wire.write_all(&ok(&name(2), "eQ==")).unwrap();
    assert_eq!(client.next(), Some((1, 2, vec![79, 0, b'y'])));
}

/// A worker turns a call away, twice over, and the second word comes when the call is out there again: it is
/// none of the new attempt's.
#[test]
fn a_second_answer_does_not_end_the_next_attempt() {
    for status in ["503", "500", "404"] {
        let worker = Worker::agent();
        let daemon = Daemon::with(&[&worker], shared(), None, |_| String::new());
        let mut client = Frames::connect(&daemon);
        client.send(&frame(0, 1, &call("practice-check", REF, 5_000, b"")));
        let mut first = go(&worker);
        first.answer(status, "");
        let mut again = go(&worker);
        assert_eq!(again.name(), REF, "{status}");
        first.answer(status, "");
        // A call on the same connection shows that the second word has been read.
        client.send(&frame(0, 2, &call("practice-check", &name(2), 5_000, b"")));
        let mut other = go(&worker);
        assert_eq!(other.name(), name(2), "{status}: the attempt that is out goes on");
        other.answer("200", "eQ==");
        assert_eq!(client.next(), Some((1, 2, vec![79, 0, b'y'])));
        again.answer("200", "eA==");
        assert_eq!(client.next(), Some((1, 1, vec![79, 0, b'x'])));
    }
}

/// The next call that a worker hears; orders on the way are done.
fn go(worker: &Worker) -> Heard {
    loop {
        let mut heard = worker.next();
        match heard.word() {
            "go" => return heard,
            "stage" => heard.answer("200", ""),
            _ => {}
        }
    }
}

// ---- Reloads

/// A reload shortens the time after which workers close idle connections: those that stand already are closed
/// before the worker's new time is up, or a call could cross its close.
#[test]
fn connections_that_stand_keep_to_the_limits_of_a_new_configuration() {
    let (plain, told) = Plain::new();
    let mut settings = shared();
    settings["bounds"]["idleCloseNs"] = json!(600_000_000_000u64);
    let daemon = Daemon::with(&[&told], settings, None, |_| String::new());
    let mut client = Frames::connect(&daemon);
    client.send(&frame(0, 1, &call("practice-check", REF, 3_000, b"")));
    let mut wire = plain.accept();
    line(&mut wire);
    wire.write_all(&ok(REF, "eA==")).unwrap();
    assert_eq!(client.next(), Some((1, 1, vec![79, 0, b'x'])));
    let mut config = daemon.config.clone();
    config["settings"]["bounds"]["idleCloseNs"] = json!(1_000_000_000u64);
    daemon.reload(&config.to_string());
    assert_eq!(wire.read(&mut [0]).expect("it is closed while idle"), 0);
}

/// Calls of one connection at a time, by the old figure and by the new one, on a connection that stands.
#[test]
fn a_connection_carries_no_more_calls_than_a_new_configuration_allows() {
    let worker = Worker::agent();
    let daemon = Daemon::with(&[&worker], shared(), None, |_| String::new());
    let mut client = Frames::connect(&daemon);
    client.send(&frame(0, 1, &call("practice-check", &name(1), 20_000, b"")));
    let first = go(&worker);
    let mut config = daemon.config.clone();
    config["settings"]["bounds"]["multiplex"] = json!(1);
    daemon.reload(&config.to_string());
    client.send(&frame(0, 2, &call("practice-check", &name(2), 20_000, b"")));
    let second = go(&worker);
    assert_ne!(first.connection, second.connection);
}
