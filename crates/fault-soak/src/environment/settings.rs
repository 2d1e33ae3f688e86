//! The configuration that the schedulers of a run are started with.

use crate::request::RequestClass;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;

/// The grace period for a draining worker. It starts when a scheduler is notified of the drain; when it has
/// passed, the scheduler sends the worker no new work.
pub(crate) const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// The time during which workers discard duplicates of a request with an idempotency key.
pub(crate) const DEDUPLICATION_WINDOW: Duration = Duration::from_millis(1_500);
/// Maximum number of attempts per request.
pub(crate) const MAX_ATTEMPTS: usize = 4;
/// The longest request deadlines of the tested deployments, in milliseconds. The seed of a run selects one.
const LONGEST_DEADLINES_MS: [u64; 4] = [2_000, 400, 3_500, 1_000];
/// The largest value of the longest deadline that counts in the termination timeout (page PROTOCOL).
const MAX_LONGEST_DEADLINE: Duration = Duration::from_secs(3);
/// The time by which the termination timeout exceeds the longest deadline (page PROTOCOL).
const KILL_DELAY: Duration = Duration::from_millis(700);
/// The latency objective of a request class, as a fraction of its deadline.
const OBJECTIVE_FRACTION: f64 = 0.3;

/// Returns the longest deadline of the deployment that a seed selects. All its request classes have this
/// deadline.
pub(crate) fn longest_deadline(seed: u64) -> Duration {
    let index = seed % LONGEST_DEADLINES_MS.len() as u64;
    Duration::from_millis(LONGEST_DEADLINES_MS[index as usize])
}

/// Returns how long after SIGTERM a process is killed if it is still running. This is the shortest time that
/// the page PROTOCOL allows.
pub(super) fn termination_timeout(longest_deadline: Duration) -> Duration {
    longest_deadline.min(MAX_LONGEST_DEADLINE) + KILL_DELAY
}

/// Returns the configuration of one scheduler. `known_events` holds all events of the endpoint list so far.
pub(super) fn configuration(
    index: usize,
    schedulers: usize,
    listen: SocketAddr,
    discovery: SocketAddr,
    known_events: &Value,
    longest_deadline: Duration,
) -> Value {
    json!({
        "name": format!("n{index}"), "listen": listen.to_string(), "seed": format!("{index:x}"),
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "bus": discovery.to_string(), "known": known_events,
        "settings": {
            "fleetSize": schedulers, "index": index, "zone": 0, "tickNs": 2_000_000,
            "zones": ["a"], "kinds": ["std"], "discovery": "pushed", "weightSource": "none",
            "classes": [
                class_settings(RequestClass::Idempotent, "retryable", longest_deadline),
                class_settings(RequestClass::IdempotencyKey, "dedup", longest_deadline),
                class_settings(RequestClass::NonIdempotent, "fragile", longest_deadline),
            ],
            "bounds": {
                "mostTries": MAX_ATTEMPTS, "mayCancel": true, "retryAfter": true, "maxRetryAfterNs": 500_000_000,
                "multiplex": 32, "maxOpen": 2000, "idleCloseNs": 3_000_000_000u64, "connectTimeoutNs": 250_000_000,
                "secondCopies": true,
            },
            "contract": {
                "coldFrom": 0.2, "coldNs": 6_000_000_000u64, "fallMultiple": 3.0, "fallNs": 2_000_000_000,
                "drainGraceNs": DRAIN_GRACE.as_nanos() as u64,
            },
            "familyInfo": {
                "keepNs": 8_000_000_000u64, "notLoaded": "load", "mayOrder": true, "loadSpanNs": 0,
                "loadWaitNs": 10_000_000_000u64, "memoryMbByKind": [16000.0],
            },
        },
    })
}

fn class_settings(class: RequestClass, effect: &str, deadline: Duration) -> Value {
    let objective = deadline.mul_f64(OBJECTIVE_FRACTION);
    json!({
        "name": class.service_name(), "deadlineNs": deadline.as_nanos() as u64,
        "objectiveNs": objective.as_nanos() as u64, "worth": 1.0,
        "lateShare": 0.3, "effect": effect, "group": "all",
        "repeatWindowNs": DEDUPLICATION_WINDOW.as_nanos() as u64,
    })
}
