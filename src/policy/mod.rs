//! A state machine that makes the decisions of one scheduler, without clock, I/O or threads.
//!
//! Its events, actions and settings are defined in `src/model/mod.rs`. What it knows about the cluster is
//! recorded by `src/cluster/mod.rs`.
//!
//! This file holds the state, dispatches events and timers, and runs the periodic maintenance. Each kind of
//! decision is in a module of its own, which adds methods to [`Policy`]:
//!
//! - `requests`: decides whether a request is retried, and how it ends;
//! - `placement`: chooses the worker for a request from the `candidates`;
//! - `admission`: admits, queues or sheds requests, and adapts the concurrency limits of the workers;
//! - `endpoint_lease`: determines until when a worker may be sent new work, given the age of the information
//!   about it;
//! - `lease_renewal`: holds requests back so that they can renew a lease;
//! - `slow_start`: limits what a worker is sent while it warms up;
//! - `popularity`: assigns functions to tiers and estimates how many instances are wanted;
//! - `prewarm`: issues load orders;
//! - `outcomes`: evaluates the end of each attempt;
//! - `health`: runs health checks and ejects workers.
//!
//! The tiers gold, silver and bronze are terms of the paper that the design follows: Björkqvist et al.,
//! "Minimizing Retrieval Latency for Content Cloud".
//!
//! # Constants
//!
//! The documentation of a constant states what it is and its unit, its range where that is not obvious, and
//! the reason for its value where there is one to know. A `Span` carries its unit. PAPER refers to the paper
//! above, DESIGN to the page that adapts it, and PROTOCOL, WIRE and TERMS to the pages that specify the
//! platform.
//!
//! Three quantities come from the paper: `popularity::GOLD_MEMORY_FRACTION` is its alpha,
//! `popularity::SILVER_REQUESTS` takes the place of its threshold T2, and `popularity::BUCKETS` with
//! `BUCKET_LENGTH` define its moving window. None of them has the value that the paper uses. All other
//! constants are additions of DESIGN or of this program.

mod admission;
mod candidates;
mod endpoint_lease;
mod health;
mod lease_renewal;
mod outcomes;
mod placement;
mod popularity;
mod prewarm;
mod requests;
mod slow_start;

pub use endpoint_lease::{ExpiredLease, WorkerUnavailable};

use crate::cluster::Cluster;
use crate::collections::{BucketClock, ExponentialBackoff, TimerQueue};
use crate::model::{
    Action, DiscoveryMode, EndpointUpdateKind, Event, RejectionCause, RequestId, Settings, Span, Time,
};
use crate::stats::{DecayingAverage, RatioBounds};
use endpoint_lease::ListLease;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

/// Time between two rounds of maintenance, short compared with any keep-alive time.
const MAINTENANCE_INTERVAL: Span = Span::from_millis(200);
/// Maximum number of timers that run with one event, so that the caller can handle other events in between.
const MAX_TIMERS_PER_EVENT: usize = 256;
/// Number of timers of ended requests that are kept until they expire.
const MAX_UNUSED_TIMERS: usize = 8192;
/// Number of timers that an open request may have.
const TIMERS_PER_REQUEST: usize = 2;
/// Half-life of the load of other schedulers that workers have reported.
const REPORT_HALF_LIFE: Span = Span::from_millis(4000);
/// Time constant of the decaying sum of completed work.
const WORK_TIME_CONSTANT: Span = Span::from_millis(5000);
/// Initial baseline latency of a class, as a fraction of its latency objective.
const INITIAL_BASELINE_FRACTION: f64 = 0.25;
/// Backoff of a worker that failed, and of load orders for an instance whose load failed: the initial delay
/// and the number of doublings.
const BACKOFF: ExponentialBackoff = ExponentialBackoff::new(Span::from_millis(400), 4);
/// Delay before a request that found no worker is placed again.
const RETRY_DELAY: Span = Span::from_millis(40);
/// Bounds of the ratio of the latency of a worker to the baseline of the class.
const LATENCY_RATIO: RatioBounds = RatioBounds {
    min: 0.5,
    max: 12.0,
    max_sample: 24.0,
    sample_weight: 0.15,
    half_life: Span::from_millis(4000),
};

/// The purpose of a timer. Timers that expire at the same time fire in the order of the variants.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Maintenance,
    Deadline(RequestId),
    Placement(RequestId),
}

/// A state machine that makes the decisions of one scheduler.
pub struct Policy {
    settings: Settings,
    rng: Pcg64Mcg,
    now: Time,
    timers: TimerQueue<Timer>,
    /// Actions that the current event has caused so far.
    actions: Vec<Action>,
    cluster: Cluster,
    list_lease: ListLease,
    /// Requests that are held to renew a lease.
    held_requests: BTreeSet<RequestId>,
    /// Mean fraction, 0 to 1, of the latency objective that attempts used, over all workers.
    saturation: DecayingAverage,
    /// Fraction, 0 to 1, of the workers that were at capacity when last measured.
    fraction_at_capacity: f64,
}

impl Policy {
    /// Creates a policy that knows only its settings. All its random draws derive from `seed`.
    pub fn new(settings: Settings, seed: u64) -> Policy {
        let mut policy = Policy {
            settings: settings.clone(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: Time(0),
            timers: TimerQueue::default(),
            actions: Vec::new(),
            cluster: Cluster::default(),
            list_lease: ListLease::default(),
            held_requests: BTreeSet::new(),
            saturation: DecayingAverage::default(),
            fraction_at_capacity: 0.0,
        };
        policy.configure(settings);
        policy
    }

    /// Replaces the settings. Existing classes keep their indexes; new classes come after them.
    pub fn configure(&mut self, settings: Settings) {
        let baselines = &mut self.cluster.baseline_latency;
        for class in settings.classes.iter().skip(baselines.len()) {
            let baseline = class.latency_objective.as_secs_f64() * INITIAL_BASELINE_FRACTION;
            baselines.push(DecayingAverage::new(baseline));
        }
        self.cluster.hashes_by_weight = settings.weights_are_capacities;
        self.settings = settings;
    }

    /// Limits the memory for what is known of functions, in bytes. Without a limit, only time bounds it.
    pub fn limit_function_memory(&mut self, bytes: usize) {
        self.cluster.function_memory.set_limit(bytes);
    }

    /// Returns the number of functions that are known.
    pub fn known_functions(&self) -> usize {
        self.cluster.functions.len()
    }

    /// Returns the number of hash orders that are cached.
    pub fn cached_hash_orders(&self) -> usize {
        self.cluster.cached_hash_orders()
    }

    /// Handles an event that happened at `now` and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.timers.is_empty() {
            self.schedule(MAINTENANCE_INTERVAL, Timer::Maintenance);
            self.cluster.popularity_window = BucketClock::new(self.now);
            self.subscribe();
        }
        self.handle_event(event);
        self.run_expired_timers();
        let wake_up = self.timers.next_wake_up(self.now);
        self.actions
            .extend(wake_up.map(|delay| Action::SetTimer { delay }));
        out.append(&mut self.actions);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::EndpointsUpdated {
                kind: EndpointUpdateKind::Failed,
                ..
            } => self.subscribe(),
            Event::EndpointsUpdated { kind, endpoints } => {
                self.cluster.update_endpoints(kind, endpoints, self.now);
            }
            Event::RequestReceived(request) => self.request_received(request),
            Event::AttemptFinished(outcome) => self.attempt_finished(outcome),
            Event::ClientDisconnected(id) => self.client_disconnected(id),
            Event::LoadFinished(load) => self.load_finished(load),
            Event::HealthCheckFinished { worker, status } => self.health_check_finished(worker, status),
            Event::DeadlinesLimited(remaining) => self.limit_deadlines(remaining),
            Event::TimerFired => self.timers.woken_up(),
        }
    }

    /// Drops the timers of requests that have ended, once they outnumber those of open requests by far. A
    /// client may set a deadline that is an hour away, and cancel.
    fn drop_timers_of_ended_requests(&mut self) {
        let requests = &self.cluster.requests;
        if self.timers.len() <= MAX_UNUSED_TIMERS + TIMERS_PER_REQUEST * requests.len() {
            return;
        }
        self.timers.retain(|timer| match timer {
            Timer::Maintenance => true,
            Timer::Deadline(id) | Timer::Placement(id) => requests.contains_key(&id),
        });
    }

    /// Runs expired timers, up to [`MAX_TIMERS_PER_EVENT`]. The others follow with the next event, for which
    /// a wake-up is due at once.
    fn run_expired_timers(&mut self) {
        for _ in 0..MAX_TIMERS_PER_EVENT {
            let Some(timer) = self.timers.pop_expired(self.now) else {
                return;
            };
            match timer {
                Timer::Maintenance => self.run_maintenance(),
                Timer::Deadline(id) => self.reject_or_fail(id, RejectionCause::NotServed),
                Timer::Placement(id) => self.place(id),
            }
        }
    }

    fn schedule(&mut self, delay: Span, timer: Timer) {
        self.timers.schedule(self.now + delay, timer);
    }

    fn subscribe(&mut self) {
        let on_request = self.settings.discovery == DiscoveryMode::OnRequest;
        self.actions.extend(on_request.then_some(Action::Subscribe));
    }

    fn run_maintenance(&mut self) {
        self.schedule(MAINTENANCE_INTERVAL, Timer::Maintenance);
        self.expire_old_records();
        self.measure_fraction_at_capacity();
        self.update_tiers();
        let permissions = &self.settings.permissions;
        if permissions.may_cancel && permissions.may_probe {
            self.check_silent_workers();
        } else if permissions.may_cancel {
            self.eject_silent_zones();
        }
        self.prewarm_gold();
    }

    /// Drops the records that have left their windows, and decays the sums.
    fn expire_old_records(&mut self) {
        let limits = &self.settings.safety_limits;
        let rate_window = limits.load_rate_limit.map_or(Span(0), |limit| limit.window);
        self.cluster.drop_traffic_before(self.now - rate_window);
        self.cluster.drop_sends_before(self.now - limits.overload_window);
        self.cluster.decay_reports(MAINTENANCE_INTERVAL, REPORT_HALF_LIFE);
        self.cluster
            .decay_completed_work(MAINTENANCE_INTERVAL, WORK_TIME_CONSTANT);
    }
}
