//! Tests of service during a discovery outage in which workers drain, with random arrivals and latencies.

use crate::support::policy_fixtures::{request, test_settings};
use crate::support::policy_harness::PolicyHarness;
use function_scheduler::{
    Action, AttemptStatus, Event, OnMiss, RequestId, Span, Time, WatchStatus, WorkerId,
};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::ops::RangeInclusive;

const WORKERS: u64 = 6;
const FUNCTIONS: u64 = 8;
const STEP_MS: u64 = 2;
const WARM_UP_MS: u64 = 4_000;
const OUTAGE_MS: u64 = 12_000;
/// Grace period of [`test_settings`].
const GRACE_MS: u64 = 500;
/// Time after the start of the outage at which undelivered changes count as notified.
const NOTIFIED_AFTER_MS: u64 = 4_000;
/// Latency of an attempt that a draining worker rejects.
const REJECTION_LATENCY_MS: u64 = 1;
/// Times after the start of the outage at which the workers with the lowest ids begin to drain.
///
/// The first two drain early. The third drains when undelivered changes already count as notified at once.
const DRAINS_MS: [u64; 3] = [200, 300, 7_000];
/// Time after the last arrivals within which responses to them may still arrive.
const LAST_RESPONSES_MS: u64 = 2_500;

/// An attempt that will get a response.
struct InFlight {
    ends_at: Time,
    request: RequestId,
    attempt: u16,
    status: AttemptStatus,
}

/// One scheduler whose discovery service becomes unreachable.
struct Outage {
    harness: PolicyHarness,
    random: Pcg64Mcg,
    latencies_ms: RangeInclusive<u64>,
    began_at: Time,
    in_flight: Vec<InFlight>,
    served: BTreeSet<RequestId>,
}

impl Outage {
    fn new(seed: u64, latencies_ms: RangeInclusive<u64>) -> Outage {
        let harness = PolicyHarness::new(test_settings(OnMiss::Load), WORKERS);
        Outage {
            began_at: harness.now + Span::from_millis(WARM_UP_MS),
            harness,
            random: Pcg64Mcg::seed_from_u64(seed),
            latencies_ms,
            in_flight: Vec::new(),
            served: BTreeSet::new(),
        }
    }

    /// Runs the outage with `rate` requests per second and returns the fraction, 0 to 1, that is served of
    /// the requests that arrive after the list has become stale.
    fn served_fraction(mut self, rate: f64) -> f64 {
        let end = self.began_at + Span::from_millis(OUTAGE_MS);
        let stale_at = self.began_at + Span::from_millis(NOTIFIED_AFTER_MS + GRACE_MS);
        let mut arrives_at = self.harness.now;
        let mut late_requests = Vec::new();
        for number in 0.. {
            arrives_at = arrives_at + Span::from_millis_f64(self.random_interval_ms(rate));
            if arrives_at >= end {
                break;
            }
            self.run_until(arrives_at);
            let function = self.random.next_u64() % FUNCTIONS;
            let actions = self.harness.receive(request(number, function));
            self.record_sends(&actions);
            if arrives_at >= stale_at {
                late_requests.push(RequestId(number));
            }
        }
        self.run_until(end + Span::from_millis(LAST_RESPONSES_MS));
        let served = late_requests.iter().filter(|id| self.served.contains(id)).count();
        served as f64 / late_requests.len() as f64
    }

    /// Returns a random time between two requests of a Poisson process with `rate` requests per second.
    fn random_interval_ms(&mut self, rate: f64) -> f64 {
        let uniform = (self.random.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
        -(1.0 - uniform).ln() / rate * 1e3
    }

    fn run_until(&mut self, end: Time) {
        while self.harness.now < end {
            let now = self.harness.now;
            self.harness.now = (now + Span::from_millis(STEP_MS)).min(end);
            if now < self.began_at {
                self.harness.watch_changed(WatchStatus::Confirmed);
            }
            let actions = self.harness.handle(Event::TimerFired);
            self.record_sends(&actions);
            self.end_attempts();
        }
    }

    fn end_attempts(&mut self) {
        let now = self.harness.now;
        while let Some(index) = self.in_flight.iter().position(|attempt| attempt.ends_at <= now) {
            let InFlight {
                request,
                attempt,
                status,
                ..
            } = self.in_flight.remove(index);
            if status == AttemptStatus::Ok {
                self.served.insert(request);
            }
            let actions = self.harness.finish_attempt(request, attempt, status);
            self.record_sends(&actions);
        }
    }

    fn record_sends(&mut self, actions: &[Action]) {
        for action in actions {
            if let Action::Send { id, worker, .. } = action {
                self.begin_attempt(*id, *worker);
            }
        }
    }

    fn begin_attempt(&mut self, id: RequestId, worker: WorkerId) {
        let now = self.harness.now;
        let sent = self.harness.sent.iter().rev().find(|sent| sent.request == id);
        let attempt = sent.expect("the attempt was sent").attempt;
        let drained_at = DRAINS_MS
            .get(worker.0 as usize - 1)
            .map(|delay| self.began_at + Span::from_millis(*delay));
        let is_draining = drained_at.is_some_and(|drained_at| drained_at <= now);
        if let Some(drained_at) = drained_at {
            let notified_at = drained_at.max(self.began_at + Span::from_millis(NOTIFIED_AFTER_MS));
            let limit = notified_at + Span::from_millis(GRACE_MS);
            assert!(
                now <= limit,
                "sent to {worker:?} {:?} after the grace period",
                now - limit
            );
        }
        let span = self.latencies_ms.end() - self.latencies_ms.start() + 1;
        let latency = self.latencies_ms.start() + self.random.next_u64() % span;
        let (status, latency) = if is_draining {
            (AttemptStatus::AtCapacity, REJECTION_LATENCY_MS)
        } else {
            (AttemptStatus::Ok, latency)
        };
        self.in_flight.push(InFlight {
            ends_at: now + Span::from_millis(latency),
            request: id,
            attempt,
            status,
        });
    }
}

/// Returns the mean served fraction over many outages.
fn mean_served_fraction(rate: f64, latencies_ms: &RangeInclusive<u64>) -> f64 {
    const SEEDS: u64 = 40;
    let fractions = (0..SEEDS).map(|seed| Outage::new(seed, latencies_ms.clone()).served_fraction(rate));
    fractions.sum::<f64>() / SEEDS as f64
}

/// Each case has a rate in requests per second, a range of latencies, and the mean fraction, 0 to 1, of the
/// requests that must be served.
///
/// At low rates, the only worker that still has a lease may be the one that drains late; then no worker may
/// be sent new work.
#[test]
fn scheduler_serves_requests_through_a_discovery_outage_at_any_rate() {
    let cases = [
        (100.0, 5..=60, 0.99),
        (100.0, 100..=300, 0.99),
        (33.0, 5..=60, 0.99),
        (33.0, 100..=300, 0.99),
        (11.0, 5..=60, 0.9),
        (11.0, 100..=300, 0.9),
        (4.0, 5..=60, 0.75),
        (4.0, 100..=250, 0.7),
    ];
    for (rate, latencies_ms, expected) in cases {
        let served = mean_served_fraction(rate, &latencies_ms);
        assert!(
            served >= expected,
            "{served:.3} served at {rate} requests a second, {latencies_ms:?} ms each"
        );
    }
}
