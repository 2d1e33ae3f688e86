//! Tests of the state that the scheduler and its connection pool keep of past attempts and load orders. The
//! state must suffice for correct decisions and stay bounded over time. The tests use the scheduler and the
//! pool as library types, without the program.

#[allow(dead_code, reason = "each test crate uses a part of the support code")]
mod support;

use function_scheduler::backend::{Limits, Pool, WorkerAddress};
use function_scheduler::config::parse_site;
use function_scheduler::net::SystemClock;
use function_scheduler::runtime::{self, Reactor};
use function_scheduler::scheduler::{
    AttemptId, ClientRequest, Command, LoadOrderId, LoadResult, RequestOrigin, RequestParameters, Scheduler,
    WorkerResponse,
};
use function_scheduler::{
    ConnectionId, Endpoint, EndpointUpdateKind, FunctionId, LoadStatus, Span, StreamId, Time, WorkerId,
};
use serde_json::{Value, json};
use support::IDEMPOTENT_CLASS;
use support::raw_worker::RawWorker;
use support::settings::default_settings;

const WORKER: WorkerId = WorkerId(1);
const CLIENT_CONNECTION: ConnectionId = ConnectionId(1);

/// Creates a scheduler with these settings and one ready worker.
fn scheduler_with_one_worker(settings: &Value, now: Time) -> Scheduler {
    let site = parse_site(settings.to_string().as_bytes()).unwrap();
    let mut scheduler = Scheduler::new(site, 7);
    let endpoint = Endpoint {
        worker: WORKER,
        ..Endpoint::default()
    };
    scheduler.update_endpoints(now, EndpointUpdateKind::Snapshot, vec![endpoint]);
    scheduler
}

/// Creates a reactor whose scheduler has the default settings and one ready worker.
fn reactor_with_one_worker() -> Reactor {
    let now = SystemClock::new().now();
    runtime::reactor(scheduler_with_one_worker(&default_settings(), now)).unwrap()
}

/// Returns the n-th request of a test, as a frontend submits it.
fn client_request(n: u64, function: FunctionId, now: Time) -> ClientRequest {
    let deadline = now + Span::from_millis(60_000);
    ClientRequest {
        origin: RequestOrigin {
            connection: CLIENT_CONNECTION,
            stream: StreamId(n),
        },
        correlation_id: format!("{n:016x}"),
        parameters: RequestParameters {
            memory_mb: 1.0,
            concurrency: 64.0,
            ..RequestParameters::new(IDEMPOTENT_CLASS, function, deadline, vec![])
        },
    }
}

/// Returns connection limits that no test reaches.
fn unlimited() -> Limits {
    Limits {
        attempts_per_connection: 1 << 20,
        idle_timeout: Span::from_millis(60_000),
        connect_timeout: Span::from_millis(60_000),
        max_connections: 200,
        max_outgoing_connections: 200,
        schedulers: 100,
        max_retired_ids: usize::MAX,
    }
}

/// Passes all commands to the pool and returns the attempt among them.
fn execute_commands(pool: &mut Pool, reactor: &mut Reactor) -> AttemptId {
    let mut sent = None;
    while let Some(command) = reactor.shared.scheduler.next_command() {
        if let Command::Send { attempt, .. } = command {
            sent = Some(attempt);
        }
        pool.execute(command, reactor);
    }
    sent.expect("the request is sent")
}

/// Thousands of attempts end while a request that gets no response keeps their connection in use. The number
/// of tracked attempts must follow the attempts in flight, not all attempts of the connection.
#[test]
fn ended_attempts_are_removed_while_their_connection_is_in_use() {
    let worker = RawWorker::new();
    let mut reactor = reactor_with_one_worker();
    let mut pool = Pool::new(unlimited());
    pool.set_address(WORKER, WorkerAddress::NodeAgent(worker.address()), None);
    for n in 0..10_000 {
        let now = reactor.now();
        reactor
            .shared
            .scheduler
            .submit(now, client_request(n, FunctionId(9), now));
        let attempt = execute_commands(&mut pool, &mut reactor);
        // The first attempt stays in flight.
        let scheduler = &mut reactor.shared.scheduler;
        if n > 0 {
            scheduler.attempt_ended(now, attempt, Ok(WorkerResponse::Ok(vec![])));
            while scheduler.next_command().is_some() {}
        }
        pool.remove_ended_attempts(scheduler);
        let tracked = pool.tracked_attempt_count();
        assert!(tracked < 500, "{tracked} of {n} are tracked");
    }
    assert_eq!(reactor.shared.scheduler.attempts_in_flight(), 1);
}

/// Submits the n-th request, for a function of its own, ends its attempts with a miss, and returns the
/// resulting load order.
fn next_load_order(scheduler: &mut Scheduler, n: u64, now: Time) -> LoadOrderId {
    scheduler.fire_timers(now);
    scheduler.submit(now, client_request(n, FunctionId(n), now));
    while let Some(command) = scheduler.next_command() {
        match command {
            Command::Send { attempt, .. } => scheduler.attempt_ended(now, attempt, Ok(WorkerResponse::Miss)),
            Command::Load { order, .. } => return order,
            _ => {}
        }
    }
    panic!("no load order for request {n}");
}

/// Submits the n-th request and returns whether its load order is admitted. Ends the order and cancels the
/// request in either case.
fn admits_load_order_of(scheduler: &mut Scheduler, n: u64, now: Time) -> bool {
    let order = next_load_order(scheduler, n, now);
    let admitted = scheduler.admits_load_order(now, order);
    scheduler.load_order_ended(
        now,
        order,
        Ok(LoadResult {
            status: LoadStatus::AtCapacity,
            instances: 0,
        }),
    );
    scheduler.cancel(
        now,
        RequestOrigin {
            connection: CLIENT_CONNECTION,
            stream: StreamId(n),
        },
    );
    admitted
}

/// Load orders are written without a rate limit until a new configuration sets one. Load orders within the
/// window of the new limit must count against it, and older ones must not be retained.
#[test]
fn load_orders_written_before_a_rate_limit_count_and_expire() {
    const REQUESTS_BEFORE: u64 = 2_000;
    let mut settings = default_settings();
    settings["familyInfo"]["notLoaded"] = json!("miss");
    settings["familyInfo"]["loadSpanNs"] = json!(0);
    let start = Time(1_000_000_000_000);
    let time_of = |n: u64| start + Span::from_millis(n * 100);
    let mut scheduler = scheduler_with_one_worker(&settings, start);
    for n in 0..REQUESTS_BEFORE {
        assert!(
            admits_load_order_of(&mut scheduler, n, time_of(n)),
            "no rate limit yet"
        );
        let retained = scheduler.retained_load_orders();
        assert!(retained < 700, "{retained} after {n}");
    }
    settings["familyInfo"]["loadSpanNs"] = json!(5_000_000_000u64);
    settings["familyInfo"]["loadsAnyway"] = json!(40);
    let site = parse_site(settings.to_string().as_bytes()).unwrap();
    let now = time_of(REQUESTS_BEFORE);
    scheduler.reconfigure(now, site);
    let admitted = admits_load_order_of(&mut scheduler, REQUESTS_BEFORE, now);
    assert!(
        !admitted,
        "about fifty were written within the rate limit's window"
    );
}

/// A worker stops reading until an attempt is only partially written, and then the client cancels the
/// request. When the worker resumes reading, the rest of the attempt must not be written: the request would
/// start long after its client cancelled it, with an outdated time limit and, if keyed, possibly outside its
/// deduplication window.
#[test]
fn a_partial_write_is_not_completed_after_its_request_is_cancelled() {
    const BODY_LARGER_THAN_SOCKET_BUFFERS: usize = 16 << 20;
    let worker = RawWorker::new();
    let mut reactor = reactor_with_one_worker();
    let mut pool = Pool::new(unlimited());
    pool.set_address(WORKER, WorkerAddress::NodeAgent(worker.address()), None);
    let mut request = client_request(1, FunctionId(9), reactor.now());
    request.parameters.body = vec![b'x'; BODY_LARGER_THAN_SOCKET_BUFFERS];
    let origin = request.origin;
    reactor.shared.scheduler.submit(reactor.now(), request);
    execute_commands(&mut pool, &mut reactor);
    let mut connection = worker.accept();
    while !reactor.has_unsent_output() {
        poll_briefly(&mut reactor);
    }
    reactor.shared.scheduler.cancel(reactor.now(), origin);
    while let Some(command) = reactor.shared.scheduler.next_command() {
        pool.execute(command, &mut reactor);
    }
    let reader = std::thread::spawn(move || connection.count_complete_requests());
    while !reader.is_finished() {
        poll_briefly(&mut reactor);
    }
    assert_eq!(reader.join().unwrap(), 0);
    assert_eq!(reactor.shared.scheduler.counters().violations, 0);
}

/// Polls for events for at most a few milliseconds.
fn poll_briefly(reactor: &mut Reactor) {
    let soon = reactor.now() + Span::from_millis(5);
    reactor.poll(Some(soon)).unwrap();
}
