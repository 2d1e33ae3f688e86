//! Pairs of events that cross, each forced by the order in which a test lets them happen.

use crate::support::*;
use function_scheduler::backend::{Limits, Pool, WorkerAddress};
use function_scheduler::net::{Reactor, SystemClock};
use function_scheduler::scheduler::{
    ClientRequest, Command, LoadResult, RequestOrigin, RequestParameters, Scheduler, WorkerResponse,
};
use function_scheduler::{Endpoint, EndpointUpdateKind, FunctionId, Span, Status, Time, WorkerId};
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

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

/// A client that reads nothing while it calls on, until the daemon reads no more of it either; the number of the
/// last stream. The first stream is open at the worker, and the second is left for another client.
fn clog(daemon: &Daemon, reader: &mut Frames, other: &mut Frames) -> u32 {
    let body = vec![7; 16 << 10];
    let mut last = 2;
    loop {
        let calls = (last + 1..=last + 8)
            .flat_map(|n| frame(0, n, &call("practice-check", &name(n), 20_000, &body)))
            .collect::<Vec<u8>>();
        reader.send(&calls);
        last += 8;
        (0..5).for_each(|_| only_ready(other, 79));
        if daemon.counter("taken") < u64::from(last - 1) {
            return last;
        }
        daemon.wait_counter("served", u64::from(last - 2));
        assert!(last < 4000, "the daemon goes on reading");
    }
}

/// Every call of `reader` is served, the one that the worker held among them.
fn all_served(mut frames: Vec<(u8, u32, Vec<u8>)>, last: u32) {
    frames.retain(|(kind, ..)| *kind == 1);
    let count = frames.len() as u32;
    assert!(frames.contains(&(1, 1, b"\x4f\0last".to_vec())), "{count} of {} answers", last - 1);
    assert_eq!(count, last - 1, "one answer for each call");
    assert!(frames.iter().all(|(_, _, payload)| payload[0] == 79));
}

/// SIGTERM, and the last answer is put in line for a client that has not read yet what came before it: it has
/// the time that such a client is given, counted from then and not from the signal.
#[test]
fn the_last_answer_after_sigterm_is_written_however_late_it_comes() {
    let worker = Worker::agent();
    let mut daemon = Daemon::start(&[&worker]);
    let (mut reader, mut clock) = (Frames::connect(&daemon), Frames::connect(&daemon));
    reader.send(&frame(0, 1, &call("practice-check", &name(1), 20_000, b"last")));
    let mut held = worker.next();
    worker.serve(|heard| echo(heard).filter(|_| heard.line["rid"] != name(2)));
    let last = clog(&daemon, &mut reader, &mut clock);
    daemon.signal("TERM");
    assert_eq!(clock.next(), Some((9, 0, vec![])));
    // Its refusal shows that the time after SIGTERM itself is over.
    clock.send(&frame(0, 2, &call("practice-check", &name(2), 2_400, b"")));
    let (kind, stream, payload) = clock.next().unwrap();
    assert_eq!((kind, stream, payload[0]), (1, 2, 66));
    held.answer("200", "bGFzdA==");
    all_served(std::iter::from_fn(|| reader.next()).collect(), last);
    assert!(daemon.child.wait().unwrap().success());
}

/// The same client has read, all of a sudden, what kept its requests from being read: they are taken and
/// answered, and not thrown away with the connection because nothing was owed a moment ago.
#[test]
fn requests_that_waited_behind_unread_answers_are_taken_before_the_end() {
    let worker = Worker::agent();
    let mut daemon = Daemon::start(&[&worker]);
    let (mut reader, mut clock) = (Frames::connect(&daemon), Frames::connect(&daemon));
    reader.send(&frame(0, 1, &call("practice-check", &name(1), 20_000, b"last")));
    let mut held = worker.next();
    worker.serve(|heard| echo(heard).filter(|_| heard.line["rid"] != name(2)));
    let last = clog(&daemon, &mut reader, &mut clock);
    daemon.signal("TERM");
    assert_eq!(clock.next(), Some((9, 0, vec![])));
    clock.send(&frame(0, 2, &call("practice-check", &name(2), 2_400, b"")));
    assert_eq!(clock.next().unwrap().2[0], 66);
    // In one turn the daemon can write all that waits and hears the last answer.
    daemon.signal("STOP");
    held.answer("200", "bGFzdA==");
    let mut read = vec![];
    reader.0.set_nonblocking(true).unwrap();
    let end = reader.0.read_to_end(&mut read).unwrap_err();
    assert_eq!(end.kind(), std::io::ErrorKind::WouldBlock);
    reader.0.set_nonblocking(false).unwrap();
    daemon.signal("CONT");
    reader.0.read_to_end(&mut read).expect("an orderly end");
    let mut frames = vec![];
    while let Some(head) = read.first_chunk::<4>() {
        let rest = read.split_off(4 + u32::from_be_bytes(*head) as usize);
        let stream = u32::from_be_bytes(read[5..9].try_into().unwrap());
        frames.push((read[4], stream, read[9..].to_vec()));
        read = rest;
    }
    all_served(frames, last);
    assert!(daemon.child.wait().unwrap().success());
}

/// SIGTERM with a call queued for a connection that comes up, the bus down, reloads good and bad, SIGTERM again, and
/// a new client with a new call: all that was taken is served, and the end comes then.
#[test]
fn what_is_queued_at_sigterm_and_what_still_comes_is_served_through_reloads() {
    let (shut, told) = Shut::new();
    let down = TcpListener::bind("127.0.0.78:0").unwrap();
    let at = Some(down.local_addr().unwrap());
    drop(down);
    let mut daemon = Daemon::with(&[&told], patient(), at, |_| String::new());
    let mut client = Frames::connect(&daemon);
    client.send(&frame(0, 1, &call("practice-check", &name(1), 20_000, b"")));
    only_ready(&mut client, 79);
    daemon.signal("TERM");
    assert_eq!(client.next(), Some((9, 0, vec![])));
    let config = daemon.config.to_string();
    assert_eq!(daemon.reload("{"), "refused");
    daemon.reload(&config);
    daemon.signal("TERM");
    daemon.reload(&config);
    only_ready(&mut client, 66);
    let mut late = Frames::connect(&daemon);
    late.send(&frame(0, 1, &call("practice-check", &name(2), 20_000, b"")));
    daemon.wait_counter("taken", 2);
    let mut wire = shut.open();
    for n in 1..=2 {
        assert_eq!(line(&mut wire)["rid"], name(n));
        wire.write_all(&ok(&name(n), "eA==")).unwrap();
    }
    assert_eq!(client.next(), Some((1, 1, vec![79, 0, b'x'])));
    let answer = std::iter::from_fn(|| late.next()).find(|(kind, ..)| *kind == 1);
    assert_eq!(answer, Some((1, 1, vec![79, 0, b'x'])));
    assert!(daemon.child.wait().unwrap().success());
    assert!(daemon.wait_log("ended").contains(" served=2 "));
}

/// SIGHUP and SIGTERM before the daemon looks, in either order, and a bus that moves with it.
#[test]
fn a_reload_and_the_end_in_one_turn_harm_neither() {
    for signals in [["HUP", "TERM"], ["TERM", "HUP"]] {
        let (worker, bus, moved) = (Worker::agent(), Bus::new(), Bus::new());
        let at = |bus: &Bus| bus.0.local_addr().unwrap();
        let mut daemon = Daemon::with(&[&worker], settings(), Some(at(&bus)), |_| String::new());
        let (mut feed, _) = bus.accept();
        let mut client = Frames::connect(&daemon);
        client.send(&frame(0, 1, &call("practice-check", &name(1), 20_000, b"")));
        let mut heard = go(&worker);
        let mut config = daemon.config.clone();
        config["bus"] = json!(at(&moved).to_string());
        std::fs::write(daemon.folder.at("config.json"), config.to_string()).unwrap();
        daemon.signal("STOP");
        signals.iter().for_each(|signal| daemon.signal(signal));
        daemon.signal("CONT");
        let (_new, offset) = moved.accept();
        assert_eq!(offset, 1);
        assert_eq!(feed.read(&mut [0; 64]).unwrap_or(0), 0, "the old bus is left");
        assert_eq!(client.next(), Some((9, 0, vec![])));
        heard.answer("200", "eA==");
        assert_eq!(client.next(), Some((1, 1, vec![79, 0, b'x'])));
        assert!(daemon.child.wait().unwrap().success(), "{signals:?}");
    }
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

/// Attempts end by the thousand while a call that the worker never answers keeps its connection in use: what is
/// remembered of them, and looked through, follows those that are out.
#[test]
fn attempts_that_have_ended_are_forgotten_while_their_connection_is_in_use() {
    let (_plain, told) = Plain::new();
    let site = function_scheduler::config::parse_site(settings().to_string().as_bytes()).unwrap();
    let mut scheduler = Scheduler::new(site, 7);
    let mut reactor = Reactor::new(SystemClock::new()).unwrap();
    let mut pool = Pool::new(Limits {
        attempts_per_connection: 1 << 20,
        idle_timeout: Span::from_millis(60_000),
        connect_timeout: Span::from_millis(60_000),
        max_connections: 200,
        schedulers: 100,
    });
    let member = Endpoint { worker: WorkerId(1), ..Endpoint::default() };
    pool.set_address(member.worker, WorkerAddress::NodeAgent(told.address()), None);
    scheduler.update_endpoints(reactor.now(), EndpointUpdateKind::Full, vec![member]);
    let mut most = 0;
    for n in 0..10_000 {
        let now = reactor.now();
        scheduler.submit(now, incoming(n, now));
        let mut out = None;
        while let Some(command) = scheduler.next_command() {
            if let Command::Send { attempt, .. } = command {
                out = Some(attempt);
            }
            pool.command(command, &mut reactor, &mut scheduler);
        }
        let attempt = out.expect("the call is sent");
        // The first stays out for good.
        if n > 0 {
            scheduler.attempt_ended(now, attempt, Ok(WorkerResponse::Ok(vec![])));
            while scheduler.next_command().is_some() {}
        }
        pool.forget_ended(&scheduler);
        most = most.max(pool.routes_remembered());
        assert!(most < 500, "{most} of {n} are remembered");
    }
    assert_eq!(scheduler.attempts_in_flight(), 1);
}

/// A call as a front hands it in.
fn incoming(n: u64, now: Time) -> ClientRequest {
    ClientRequest {
        origin: RequestOrigin { connection: 1, stream: n },
        correlation_id: format!("{n:016x}"),
        parameters: RequestParameters {
            memory_mb: 1.0,
            concurrency: 64.0,
            ..RequestParameters::new("practice-check", FunctionId(9), now + Span::from_millis(60_000), vec![])
        },
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
/// Attempts, cancels and cooldowns of calls that are open go by the new figures, and a class of the customer before
/// is unknown to new calls.
#[test]
fn open_calls_go_by_the_limits_of_a_new_configuration() {
    let worker = Worker::agent();
    let daemon = Daemon::with(&[&worker], shared(), None, |_| String::new());
    let mut client = Frames::connect(&daemon);
    client.send(&frame(0, 1, &call("practice-check", &name(1), 20_000, b"")));
    let mut first = go(&worker);
    client.send(&frame(0, 2, &call("practice-check", &name(2), 20_000, b"")));
    let second = go(&worker);
    let mut config = daemon.config.clone();
    let bounds = &mut config["settings"]["bounds"];
    (bounds["mostTries"], bounds["mayCancel"], bounds["retryAfter"]) = (json!(1), json!(false), json!(false));
    config["settings"]["classes"][0]["name"] = json!("other-check");
    config["settings"]["classes"].as_array_mut().unwrap().reverse();
    daemon.reload(&config.to_string());
    first.answer("503", "");
    assert_eq!(client.next(), Some((1, 1, vec![66, 0])), "no further attempt, no cooldown");
    client.send(&frame(2, 2, &[]));
    client.send(&frame(0, 3, &call("practice-check", &name(3), 3_000, b"")));
    assert_eq!(client.next(), Some((1, 3, vec![69, 0])), "the class has gone");
    client.send(&frame(0, 4, &call("other-check", &name(4), 3_000, b"")));
    let mut next = worker.next();
    assert_eq!((next.word(), next.name()), ("go", name(4)), "no halt before it");
    next.answer("200", "eA==");
    assert_eq!(client.next(), Some((1, 4, vec![79, 0, b'x'])));
    assert_eq!(second.name(), name(2));
    only_ready(&mut client, 79);
}

/// Orders to load go out without a ration, and a new configuration brings one: those of its span count, and those
/// of long ago are not kept for that day.
#[test]
fn orders_before_a_ration_count_and_are_not_kept_for_ever() {
    let mut text = settings();
    text["familyInfo"]["notLoaded"] = json!("miss");
    text["familyInfo"]["loadSpanNs"] = json!(0);
    let site = |text: &Value| function_scheduler::config::parse_site(text.to_string().as_bytes()).unwrap();
    let mut scheduler = Scheduler::new(site(&text), 7);
    let begin = Time(1_000_000_000_000);
    scheduler.update_endpoints(
        begin,
        EndpointUpdateKind::Full,
        vec![Endpoint { worker: WorkerId(1), ..Endpoint::default() }],
    );
    // A call finds its function missing, and an order to load follows.
    let order = |scheduler: &mut Scheduler, n: u64| {
        let now = begin + Span::from_millis(n * 100);
        scheduler.fire_timers(now);
        let mut request = incoming(n, now);
        request.parameters.function = FunctionId(n);
        scheduler.submit(now, request);
        while let Some(command) = scheduler.next_command() {
            match command {
                Command::Send { attempt, .. } => {
                    scheduler.attempt_ended(now, attempt, Ok(WorkerResponse::Miss))
                }
                Command::Load { order, .. } => {
                    let may = scheduler.admits_load_order(now, order);
                    scheduler.load_order_ended(
                        now,
                        order,
                        Ok(LoadResult { status: Status::Full, instances: 0 }),
                    );
                    scheduler.cancel(now, RequestOrigin { connection: 1, stream: n });
                    return may;
                }
                _ => {}
            }
        }
        panic!("no order for call {n}");
    };
    for n in 0..2_000 {
        assert!(order(&mut scheduler, n), "no ration yet");
        assert!(scheduler.load_orders_remembered() < 700, "{} after {n}", scheduler.load_orders_remembered());
    }
    text["familyInfo"]["loadSpanNs"] = json!(5_000_000_000u64);
    text["familyInfo"]["loadsAnyway"] = json!(40);
    scheduler.reconfigure(begin + Span::from_millis(200_000), site(&text));
    assert!(!order(&mut scheduler, 2_000), "some fifty went out within the ration's span");
}

// ---- The list of workers

/// A request to `function`, for a test that wants calls at several homes.
fn call_of(function: u64, name: &str, allow: u64) -> Vec<u8> {
    let (lookup, allow) = (format!("{function:016x}"), allow.to_string());
    let list = [("service", "practice-check"), ("ref", name), ("allow", &allow), ("lookup", &lookup)];
    request(&list, b"x")
}

/// A machine has gone and another has its address, but nothing told of the end of the first. What is sent to the
/// old name would reach the new machine, as work that nobody counts against a cold start.
#[test]
fn a_new_id_at_an_old_address_takes_the_place_of_the_old_one() {
    let (worker, bus) = (Worker::agent(), Bus::new());
    let at = Some(bus.0.local_addr().unwrap());
    let daemon = Daemon::with(&[&worker], shared(), at, |_| String::new());
    let (mut feed, _) = bus.accept();
    let mut client = Frames::connect(&daemon);
    let mut old = 0;
    for n in 1..20 {
        client.send(&frame(0, n, &call_of(u64::from(n), &name(n), 3_000)));
        let mut heard = go(&worker);
        old = heard.connection;
        heard.answer("200", "eA==");
        assert_eq!(client.next(), Some((1, n, vec![79, 0, b'x'])));
    }
    feed.write_all(&event(2, 9, &worker, 0)).unwrap();
    daemon.wait_counter("list_events", 2);
    for n in 20..60 {
        client.send(&frame(0, n, &call_of(u64::from(n), &name(n), 3_000)));
        let mut heard = go(&worker);
        assert!(heard.connection > old, "call {n} went to the old id");
        heard.answer("200", "eA==");
        assert_eq!(client.next(), Some((1, n, vec![79, 0, b'x'])));
    }
    // The end of the old one, told late, is none of the new one's.
    feed.write_all(&[event(3, 1, &worker, 1), event(4, 1, &worker, 2)].concat()).unwrap();
    daemon.wait_counter("list_events", 4);
    client.send(&frame(0, 60, &call_of(60, &name(60), 3_000)));
    go(&worker).answer("200", "eA==");
    assert_eq!(client.next(), Some((1, 60, vec![79, 0, b'x'])));
}

/// The system has no descriptor left for a client that waits to be accepted, and no further client comes: it is
/// taken in once there is one, and so is discovery, which went down meanwhile.
#[test]
fn a_client_that_found_no_descriptor_is_accepted_once_there_is_one() {
    let (worker, bus) = (Worker::agent(), Bus::new());
    let at = bus.0.local_addr().unwrap();
    let daemon = Daemon::with(&[&worker], settings(), Some(at), |_| String::new());
    let (feed, _) = bus.accept();
    daemon.limit_descriptors(1);
    let mut late = Frames::connect(&daemon);
    late.send(&frame(6, 99, &[0]));
    daemon.wait_log("accept failed");
    drop(feed);
    daemon.wait_log("bus connection failed");
    daemon.limit_descriptors(256);
    assert_eq!(late.next(), Some((7, 99, vec![79, 0])));
    let (_feed, offset) = bus.accept();
    assert_eq!(offset, 1);
}

/// An event breaks off in the middle, comes whole and twice on the next connection, and a whole list then leaves out
/// the worker for whose connection a call waits: the call goes to the other worker.
#[test]
fn a_call_does_not_follow_a_worker_that_a_whole_list_leaves_out() {
    let ((shut, told), second, bus) = (Shut::new(), Worker::agent(), Bus::new());
    let at = Some(bus.0.local_addr().unwrap());
    let daemon = Daemon::with(&[&told], patient(), at, |_| String::new());
    let (mut feed, offset) = bus.accept();
    assert_eq!(offset, 1);
    let mut client = Frames::connect(&daemon);
    client.send(&frame(0, 1, &call("practice-check", &name(1), 20_000, b"")));
    only_ready(&mut client, 79);
    let mut whole = event(2, 2, &second, 0);
    whole[12] = 1;
    feed.write_all(&whole[..30]).unwrap();
    drop(feed);
    let (mut feed, offset) = bus.accept();
    assert_eq!(offset, 1, "half an event is none");
    feed.write_all(&[&whole[..], &whole].concat()).unwrap();
    daemon.wait_counter("list_events", 2);
    let mut wire = shut.open();
    let mut heard = go(&second);
    assert_eq!(heard.name(), name(1));
    heard.answer("200", "eA==");
    assert_eq!(client.next(), Some((1, 1, vec![79, 0, b'x'])));
    assert_eq!((daemon.counter("sent"), daemon.counter("list_events")), (1, 2));
    wire.set_nonblocking(true).unwrap();
    assert!(wire.read(&mut [0]).is_err(), "nothing went to the worker that was left out");
}

/// SIGHUP moves the bus while the old one's connection is coming up, or while the daemon waits to try again.
#[test]
fn a_bus_that_moves_is_asked_at_once_whatever_the_old_connection_does() {
    let ((shut, _), down) = (Shut::new(), TcpListener::bind("127.0.0.79:0").unwrap());
    let old = [shut.listener.local_addr().unwrap(), down.local_addr().unwrap()];
    drop(down);
    for old in old {
        let (worker, second, moved) = (Worker::agent(), Worker::agent(), Bus::new());
        let daemon = Daemon::with(&[&worker], settings(), Some(old), |_| String::new());
        let mut config = daemon.config.clone();
        config["bus"] = json!(moved.0.local_addr().unwrap().to_string());
        daemon.reload(&config.to_string());
        let (mut feed, offset) = moved.accept();
        assert_eq!(offset, 1);
        feed.write_all(&[event(2, 2, &second, 0), event(3, 1, &worker, 1)].concat()).unwrap();
        daemon.wait_counter("list_events", 3);
        let mut client = Frames::connect(&daemon);
        client.send(&frame(0, 1, &call("practice-check", &name(1), 3_000, b"")));
        go(&second).answer("200", "eA==");
        assert_eq!(client.next(), Some((1, 1, vec![79, 0, b'x'])));
    }
}

/// What the old bus says after the move is not heard, also not if it stands before the daemon looks.
#[test]
fn news_of_the_old_bus_after_the_move_is_not_heard() {
    let (worker, second, bus, moved) = (Worker::agent(), Worker::agent(), Bus::new(), Bus::new());
    let at = |bus: &Bus| bus.0.local_addr().unwrap();
    let daemon = Daemon::with(&[&worker], settings(), Some(at(&bus)), |_| String::new());
    let (mut old, _) = bus.accept();
    let mut config = daemon.config.clone();
    config["bus"] = json!(at(&moved).to_string());
    daemon.reload(&config.to_string());
    let (mut feed, offset) = moved.accept();
    assert_eq!(offset, 1);
    // It says that the worker has gone; the new one says otherwise under the same number.
    let _ = old.write_all(&event(2, 1, &worker, 2));
    feed.write_all(&event(2, 2, &second, 1)).unwrap();
    daemon.wait_counter("list_events", 2);
    let mut client = Frames::connect(&daemon);
    client.send(&frame(0, 1, &call("practice-check", &name(1), 3_000, b"")));
    go(&worker).answer("200", "eA==");
    assert_eq!(client.next(), Some((1, 1, vec![79, 0, b'x'])));
    assert_eq!(daemon.counter("list_events"), 2);
}

// ---- Clients

/// A request comes in pieces, late in the life of an idle connection: the connection is not idle any more.
#[test]
fn a_connection_is_not_closed_as_idle_amid_a_request() {
    let worker = Worker::agent();
    let daemon = Daemon::start(&[&worker]);
    worker.serve(|heard| echo(heard).filter(|_| heard.line["attrs"]["lane"] != "credit-submit"));
    let (mut client, mut clock) = (Frames::connect(&daemon), Frames::connect(&daemon));
    client.send(&frame(0, 1, &call("practice-check", &name(1), 3_000, b"x")));
    assert_eq!(client.next(), Some((1, 1, vec![79, 0, b'x'])));
    // Refusals of calls that nobody serves tell the time: 4.2 s, and 1.2 s more.
    let mut wait = |n: u32, ms| {
        clock.send(&frame(0, n, &call("credit-submit", &name(100 + n), ms, b"")));
        assert_eq!(clock.next().unwrap().2[0], 66);
    };
    wait(1, 4_200);
    let request = frame(0, 2, &call("practice-check", &name(2), 3_000, b"y"));
    let (head, rest) = request.split_at(30);
    client.send(head);
    wait(2, 1_200);
    client.send(rest);
    assert_eq!(client.next(), Some((1, 2, vec![79, 0, b'y'])));
}

/// A worker whose connections do not come up: its queue of new ones is full until [`Shut::open`].
struct Shut {
    listener: TcpListener,
    _first: TcpStream,
}

impl Shut {
    /// The worker, and what tells a daemon of it.
    fn new() -> (Shut, Worker) {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let at = listener.local_addr().unwrap();
        let first = TcpStream::connect(at).unwrap();
        let more = TcpStream::connect_timeout(&at, std::time::Duration::from_millis(200));
        assert!(more.is_err(), "the queue is full");
        let mut told = Worker::agent();
        told.at = At::Tcp(at);
        (Shut { listener, _first: first }, told)
    }

    /// Lets the connection that waits come up.
    fn open(&self) -> TcpStream {
        self.listener.accept().unwrap();
        let (stream, _) = self.listener.accept().unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        stream
    }
}

/// The settings of a large fleet, with connects that may take long.
fn patient() -> Value {
    let mut settings = shared();
    settings["bounds"]["connectTimeoutNs"] = json!(15_000_000_000u64);
    settings
}

/// Clients cancel, close and shut their half while their calls wait for a connection that is coming up: it comes
/// up, and only the call that somebody waits for goes out.
#[test]
fn calls_whose_clients_have_gone_are_not_written_when_their_connection_comes_up() {
    let (shut, told) = Shut::new();
    let daemon = Daemon::with(&[&told], patient(), None, |_| String::new());
    let mut clients: Vec<_> = (0..4).map(|_| Frames::connect(&daemon)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&frame(0, 1, &call("practice-check", &name(n as u32), 20_000, b"")));
        only_ready(client, 79);
    }
    clients[0].send(&frame(2, 1, &[]));
    only_ready(&mut clients[0], 79);
    clients[1].0.shutdown(std::net::Shutdown::Write).unwrap();
    drop(clients.remove(2));
    daemon.wait_counter("withdrawn", 3);
    let mut wire = shut.open();
    assert_eq!(line(&mut wire)["rid"], name(3));
    wire.write_all(&ok(&name(3), "eA==")).unwrap();
    assert_eq!(clients[2].next(), Some((1, 1, vec![79, 0, b'x'])));
    assert_eq!((daemon.counter("sent"), daemon.counter("served")), (1, 1));
}

/// The same while the call waits in the module, for a worker to be told of at all.
#[test]
fn calls_whose_clients_have_gone_are_not_placed_when_a_worker_comes() {
    let (worker, bus) = (Worker::agent(), Bus::new());
    let at = Some(bus.0.local_addr().unwrap());
    let daemon = Daemon::with(&[], settings(), at, |_| String::new());
    let (mut feed, _) = bus.accept();
    let mut clients: Vec<_> = (0..4).map(|_| Frames::connect(&daemon)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&frame(0, 1, &call("practice-check", &name(n as u32), 60_000, b"")));
        only_ready(client, 79);
    }
    clients[0].send(&frame(2, 1, &[]));
    only_ready(&mut clients[0], 79);
    clients[1].0.shutdown(std::net::Shutdown::Write).unwrap();
    drop(clients.remove(2));
    daemon.wait_counter("withdrawn", 3);
    feed.write_all(&event(2, 1, &worker, 0)).unwrap();
    let mut heard = go(&worker);
    assert_eq!(heard.name(), name(3));
    heard.answer("200", "eA==");
    assert_eq!(clients[2].next(), Some((1, 1, vec![79, 0, b'x'])));
    assert_eq!(daemon.counter("sent"), 1);
}

/// The first attempt breaks and the client leaves, both before the daemon looks: there is no second attempt.
#[test]
fn a_call_is_not_sent_again_for_a_client_that_left_in_the_same_turn() {
    for closes in [false, true] {
        let worker = Worker::agent();
        let daemon = Daemon::with(&[&worker], shared(), None, |_| String::new());
        let (mut client, mut other) = (Frames::connect(&daemon), Frames::connect(&daemon));
        client.send(&frame(0, 1, &call("practice-check", &name(1), 20_000, b"")));
        let heard = go(&worker);
        daemon.signal("STOP");
        heard.end();
        if closes {
            drop(client);
        } else {
            client.send(&frame(2, 1, &[]));
        }
        daemon.signal("CONT");
        daemon.wait_counter("withdrawn", 1);
        other.send(&frame(0, 1, &call("practice-check", &name(2), 20_000, b"")));
        let mut next = go(&worker);
        assert_eq!(next.name(), name(2), "closes: {closes}");
        next.answer("200", "eA==");
        assert_eq!(other.next(), Some((1, 1, vec![79, 0, b'x'])));
        assert_eq!(daemon.counter("sent"), 2);
    }
}

/// A client sends what cannot be read while a call of its is open: it is told and its connection ends, so the call
/// is called off at once and no answer follows the error.
#[test]
fn a_call_is_called_off_when_its_connection_ends_in_an_error() {
    let worker = Worker::agent();
    let daemon = Daemon::start(&[&worker]);
    let (mut client, mut other) = (Frames::connect(&daemon), Frames::connect(&daemon));
    client.send(&frame(0, 1, &call("practice-check", &name(1), 20_000, b"")));
    let mut heard = go(&worker);
    client.send(&[0; 4]);
    assert_eq!(client.next(), Some((1, 0, vec![69, 0])));
    // The client has not closed: the daemon knows by itself that it cannot be answered.
    other.send(&frame(0, 1, &call("practice-check", &name(2), 20_000, b"")));
    let halt = worker.next();
    assert_eq!((halt.word(), halt.name()), ("halt", name(1)));
    heard.answer("200", "eA==");
    assert_eq!(client.next(), None);
    go(&worker).answer("200", "eA==");
    assert_eq!(other.next(), Some((1, 1, vec![79, 0, b'x'])));
    assert_eq!(daemon.counter("served"), 1);
}

/// The time of a call is over and its client cancels, both before the daemon looks: no answer is owed or given.
#[test]
fn a_cancel_in_the_turn_of_the_deadline_is_answered_by_nothing() {
    let (worker, second) = (Worker::agent(), Worker::agent());
    let (daemon, clock) = (Daemon::start(&[&worker]), Daemon::start(&[&second]));
    let (mut client, mut watch) = (Frames::connect(&daemon), Frames::connect(&clock));
    client.send(&frame(0, 1, &call("practice-check", &name(1), 500, b"")));
    go(&worker);
    daemon.signal("STOP");
    // Another daemon's refusal shows that the time is over.
    watch.send(&frame(0, 1, &call("practice-check", &name(1), 600, b"")));
    assert_eq!(watch.next().unwrap().2[0], 66);
    client.send(&frame(2, 1, &[]));
    daemon.signal("CONT");
    only_ready(&mut client, 79);
    assert_eq!((daemon.counter("withdrawn"), daemon.counter("refused")), (1, 0));
}

/// A worker resets an idle connection while a call for it comes in: the call is served, on another.
#[test]
fn a_call_that_meets_a_reset_of_an_idle_connection_is_served() {
    let worker = Worker::agent();
    let daemon = Daemon::with(&[&worker], shared(), None, |_| String::new());
    let (mut client, mut other) = (Frames::connect(&daemon), Frames::connect(&daemon));
    client.send(&frame(0, 1, &call("practice-check", &name(1), 3_000, b"")));
    let mut heard = go(&worker);
    heard.answer("200", "eA==");
    assert_eq!(client.next(), Some((1, 1, vec![79, 0, b'x'])));
    daemon.signal("STOP");
    client.send(&frame(0, 2, &call("practice-check", &name(2), 3_000, b"")));
    heard.end();
    other.send(&frame(0, 1, &call("practice-check", &name(3), 3_000, b"")));
    daemon.signal("CONT");
    let mut again = [go(&worker), go(&worker)];
    again.iter_mut().for_each(|heard| heard.answer("200", "eQ=="));
    assert_eq!(client.next(), Some((1, 2, vec![79, 0, b'y'])));
    assert_eq!(other.next(), Some((1, 1, vec![79, 0, b'y'])));
    assert_eq!(daemon.counter("taken"), daemon.counter("served"));
}

/// An answer that cannot be read, with another call open on its connection: both go out again on a new one, and
/// what the old one still says is nobody's.
#[test]
fn a_spoilt_answer_takes_what_is_open_on_its_connection_to_another() {
    let worker = Worker::agent();
    let daemon = Daemon::with(&[&worker], shared(), None, |_| String::new());
    let mut client = Frames::connect(&daemon);
    client.send(&frame(0, 1, &call("practice-check", &name(1), 20_000, b"")));
    let mut first = go(&worker);
    client.send(&frame(0, 2, &call("practice-check", &name(2), 20_000, b"")));
    let second = go(&worker);
    assert_eq!(first.connection, second.connection);
    first.raw(&[&b"\xff{spoilt\n"[..], &ok(&name(2), "bm8=")].concat());
    let mut again = [go(&worker), go(&worker)];
    assert!(again.iter().all(|heard| heard.connection != first.connection));
    again.sort_by_key(Heard::name);
    again[0].answer("200", "eA==");
    again[1].answer("200", "eQ==");
    let mut answers = [client.next().unwrap(), client.next().unwrap()];
    answers.sort();
    assert_eq!(answers, [(1, 1, vec![79, 0, b'x']), (1, 2, vec![79, 0, b'y'])]);
    only_ready(&mut client, 79);
}

/// A connection that never comes up holds a call only as long as the settings allow.
#[test]
fn a_call_leaves_a_connection_that_never_comes_up() {
    let ((_shut, told), worker) = (Shut::new(), Worker::agent());
    let daemon = Daemon::with(&[&told, &worker], settings(), None, |_| String::new());
    worker.serve(echo);
    let mut client = Frames::connect(&daemon);
    for n in 1..20 {
        client.send(&frame(0, n, &call_of(u64::from(n), &name(n), 3_000)));
        assert_eq!(client.next(), Some((1, n, vec![79, 0, b'x'])));
    }
    assert!(daemon.counter("connect_failed") > 0, "some went to the worker that is shut");
}
