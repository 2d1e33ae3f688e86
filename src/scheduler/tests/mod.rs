//! Tests of the scheduler that need its private state, one file for each concern, and their support code.

mod attempts;
mod body_memory;
mod counters;
mod endpoint_updates;
mod final_response;
mod id_generator;
mod invariants;
mod load_rate_limiter;
mod log_limiter;
mod log_lines;
mod open_request_share;
mod recent_functions;
mod request_admission;
mod request_table;
mod timers;
mod write_admission;

use super::*;
use crate::config::parse_site;
use crate::model::{
    ConnectionId, Endpoint, EndpointState, EndpointUpdateKind, FunctionId, Span, StreamId, WorkerId,
};

/// Names of the request classes of [`SITE`].
const IDEMPOTENT_CLASS: &str = "idempotent";
const KEYED_CLASS: &str = "keyed";
const NON_IDEMPOTENT_CLASS: &str = "non-idempotent";

/// Settings with one class for each idempotency, a deduplication window of 1 s, and a load rate limit of 3
/// plus 30% of the requests in 5 s.
const SITE: &str = r#"{"fleetSize": 1, "index": 0, "tickNs": 2000000, "classes": [
    {"name": "idempotent", "deadlineNs": 3000000000, "effect": "retryable", "objectiveNs": 1000000000},
    {"name": "keyed", "deadlineNs": 3000000000, "effect": "dedup", "group": "all",
     "repeatWindowNs": 1000000000, "objectiveNs": 1000000000},
    {"name": "non-idempotent", "deadlineNs": 3000000000, "effect": "fragile", "objectiveNs": 1000000000}],
  "bounds": {"mostTries": 9, "mayCancel": true},
  "contract": {"coldFrom": 0.2, "coldNs": 9000000000, "fallMultiple": 3, "fallNs": 2000000000},
  "familyInfo": {"keepNs": 9000000000, "notLoaded": "load", "mayOrder": true,
    "loadSpanNs": 5000000000, "loadsAnyway": 3, "loadPart": 0.3}}"#;

/// The function that all requests are for.
const FUNCTION: FunctionId = FunctionId(9);

/// The worker that load orders go to.
const LOADING_WORKER: WorkerId = WorkerId(1);

/// The deadline of all requests.
const DEADLINE: Time = at_millis(3000);

/// Returns a time on the tests' clock, which does not start at zero.
const fn at_millis(millis: u64) -> Time {
    Time(1_000_000_000_000 + millis * 1_000_000)
}

/// Creates a scheduler with the settings [`SITE`] and two ready workers.
fn test_scheduler() -> Scheduler {
    let mut scheduler = Scheduler::new(parse_site(SITE.as_bytes()).unwrap(), 7);
    let endpoint = |n| Endpoint {
        worker: WorkerId(n),
        weight: 1.0,
        ..Endpoint::default()
    };
    let endpoints = vec![endpoint(1), endpoint(2)];
    scheduler.update_endpoints(at_millis(0), EndpointUpdateKind::Snapshot, endpoints);
    scheduler
}

/// Returns the endpoint list's entry of a worker in this state.
fn endpoint_in_state(worker: WorkerId, state: EndpointState) -> Endpoint {
    Endpoint {
        worker,
        state,
        ..Endpoint::default()
    }
}

/// Applies a delta update with these endpoints.
fn update_endpoints(scheduler: &mut Scheduler, now: Time, endpoints: Vec<Endpoint>) {
    scheduler.update_endpoints(now, EndpointUpdateKind::Delta, endpoints);
}

fn origin(stream: u64) -> RequestOrigin {
    RequestOrigin {
        connection: ConnectionId(1),
        stream: StreamId(stream),
    }
}

/// Returns a request whose correlation id is derived from its stream.
fn client_request(stream: u64, class: &str) -> ClientRequest {
    ClientRequest {
        origin: origin(stream),
        correlation_id: format!("{stream:016x}"),
        parameters: RequestParameters {
            memory_mb: 100.0,
            concurrency: 2.0,
            ..RequestParameters::new(class, FUNCTION, DEADLINE, vec![])
        },
    }
}

/// Submits a request and returns the resulting commands.
fn submit(scheduler: &mut Scheduler, stream: u64, class: &str) -> Vec<Command> {
    scheduler.submit(at_millis(0), client_request(stream, class));
    drain_commands(scheduler)
}

fn drain_commands(scheduler: &mut Scheduler) -> Vec<Command> {
    std::iter::from_fn(|| scheduler.next_command()).collect()
}

/// An attempt that a command starts.
#[derive(Clone, Copy)]
struct SentAttempt {
    id: AttemptId,
    worker: WorkerId,
}

/// Returns the first attempt that the commands start.
fn sent_attempt(commands: &[Command]) -> SentAttempt {
    let sent = commands.iter().find_map(|command| match command {
        Command::Send { attempt, worker, .. } => Some(SentAttempt {
            id: *attempt,
            worker: *worker,
        }),
        _ => None,
    });
    sent.expect("an attempt is sent")
}

/// Returns the final responses among the commands.
fn responses(commands: Vec<Command>) -> Vec<Response> {
    let response = |command| match command {
        Command::Respond { response, .. } => Some(response),
        _ => None,
    };
    commands.into_iter().filter_map(response).collect()
}

/// Returns the result of an attempt whose connection broke at this write progress.
fn connection_lost(progress: WriteProgress) -> Result<WorkerResponse, ExchangeError> {
    Err(ExchangeError {
        progress,
        cause: FailureCause::ConnectionClosed,
    })
}

/// Executes an action that loads one instance of [`FUNCTION`], and returns the load order.
fn start_load_order(scheduler: &mut Scheduler, now: Time) -> LoadOrderId {
    let action = Action::Load {
        worker: LOADING_WORKER,
        function: FUNCTION,
        instances: 1,
    };
    scheduler.execute_action(now, action);
    match scheduler.next_command() {
        Some(Command::Load { order, .. }) => order,
        other => panic!("{other:?}"),
    }
}
