//! Tests of the rate limit on load orders.

use crate::support::policy_fixtures::{request, test_settings};
use crate::support::policy_harness::{PolicyHarness, requested_loads, workers_sent_to};
use function_scheduler::{AttemptStatus, LoadRateLimit, LoadStatus, OnMiss, Span, Time};

const LIMIT: LoadRateLimit = LoadRateLimit {
    burst: 2.0,
    per_request: 0.1,
    window: Span::from_millis(5000),
};

/// Times of all requests and of all load orders of a run.
#[derive(Default)]
struct Recording {
    requests: Vec<Time>,
    loads: Vec<Time>,
}

/// Submits 200 requests at intervals of 50 ms, each for a different function that no worker has loaded.
fn record_requests_that_miss(harness: &mut PolicyHarness) -> Recording {
    let mut recording = Recording::default();
    for n in 0..200 {
        recording.requests.push(harness.now);
        let mut actions = harness.receive(request(n, u64::from(n)));
        while !workers_sent_to(&actions).is_empty() {
            actions = harness.finish_last_attempt(AttemptStatus::Miss);
            recording
                .loads
                .extend(requested_loads(&actions).iter().map(|_| harness.now));
        }
        for load in requested_loads(&actions) {
            harness.finish_load(load.worker, load.function, LoadStatus::Ok);
        }
        for _ in 0..5 {
            let loads = requested_loads(&harness.advance_ms(10));
            recording.loads.extend(loads.iter().map(|_| harness.now));
        }
    }
    recording
}

#[test]
fn load_orders_stay_within_the_rate_limit() {
    let mut settings = test_settings(OnMiss::Miss);
    settings.safety_limits.load_rate_limit = Some(LIMIT);
    let Recording { requests, loads } = record_requests_that_miss(&mut PolicyHarness::new(settings, 6));
    assert!(loads.len() > 10);
    for (n, at) in loads.iter().enumerate() {
        let window_start = *at - LIMIT.window;
        let count = loads[..=n].iter().filter(|load| **load >= window_start).count() as f64;
        let requests = requests
            .iter()
            .filter(|time| **time <= *at && **time > window_start)
            .count() as f64;
        assert!(
            count <= 2.0 + 0.1 * requests + 1e-9,
            "load order {n}: {count} load orders for {requests} requests in the window"
        );
    }
}
