//! The decisions of one scheduler: a state machine without clock, I/O or threads. Its events, actions and
//! settings are in `src/model/mod.rs`, what it knows of the cluster in `src/cluster/mod.rs`.
//!
//! This file has the state, the dispatch of events and timers, and the periodic maintenance. Each decision is
//! in a module that adds methods to [`Policy`]:
//!
//! - `requests`: whether a request is retried, and how it ends;
//! - `placement`: which worker it is sent to, out of the `candidates`;
//! - `admission`: whether it is admitted, queued or shed, and the workers' concurrency limits;
//! - `endpoint_lease`: until when a worker may be given new work, by the age of what is known of it;
//! - `lease_renewal`: which requests wait to renew a lease;
//! - `slow_start`: what a worker that is warming up may be sent;
//! - `popularity`: the tiers of the functions, and how many instances are wanted;
//! - `prewarm`: the load orders;
//! - `outcomes`: what the end of an attempt says;
//! - `health`: health checks and ejection.
//!
//! The tiers gold, silver and bronze are the terms of the paper that the design follows: Björkqvist et al.,
//! "Minimizing Retrieval Latency for Content Cloud".
//!
//! # Constants
//!
//! Each constant has a line with its unit, its range and its source. A `Span` carries its unit.
//! The sources are:
//!
//! - a page by name: PAPER is the paper above, DESIGN the page that adapts it; PROTOCOL and WIRE are the
//!   pages on what the program must keep;
//! - measured: the plays of the journal that were compared, by the time at the head of their files' names,
//!   and the commit that set the value;
//! - inherited: the value of the program as it was first taken in (commit bdda7d1). Its authors' reasons are
//!   lost (BRIEF, 4), and no play compares it with another value unless the line says so;
//! - judgement: set by us, compared with no other value.
//!
//! Three quantities are the paper's: `popularity::GOLD_MEMORY_FRACTION` is its alpha,
//! `popularity::SILVER_REQUESTS` stands for its threshold T2, and `popularity::BUCKETS` with `BUCKET_LENGTH`
//! make its moving window. None has the paper's figure. All other constants are additions of DESIGN or
//! of this program.

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
use crate::stats::DecayingAverage;
use endpoint_lease::ListLease;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

/// Time between two rounds of maintenance: short against any keep-alive.
///
/// Time, above 0. Source: inherited.
const MAINTENANCE_INTERVAL: Span = Span::from_millis(200);
/// Time in which the load that workers have reported of other schedulers halves.
///
/// Time, above 0. Source: measured (commit e761fed; journal 20261201T155314). With one second case4356 scored
/// lower (20261201T155339).
const REPORT_HALF_LIFE: Span = Span::from_millis(4000);
/// Time constant of the rate of completed work.
///
/// Time, above 0. Source: inherited.
const WORK_TIME_CONSTANT: Span = Span::from_millis(5000);
/// First baseline latency of a class, as a fraction of its latency objective.
///
/// Fraction, 0 to 1. Source: inherited.
const INITIAL_BASELINE_FRACTION: f64 = 0.25;
/// Backoff of a worker that failed, and of load orders for an instance whose load failed.
///
/// Time, above 0, and doublings. Source: inherited.
const BACKOFF: ExponentialBackoff = ExponentialBackoff::new(Span::from_millis(400), 4);

/// What a timer is for; of several at one time the first here comes first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Maintenance,
    Deadline(RequestId),
    Placement(RequestId),
}

/// The decisions of one scheduler.
pub struct Policy {
    settings: Settings,
    rng: Pcg64Mcg,
    now: Time,
    timers: TimerQueue<Timer>,
    /// The actions that the current event leads to, so far.
    actions: Vec<Action>,
    cluster: Cluster,
    list_lease: ListLease,
    /// Requests that wait to renew a lease.
    held_requests: BTreeSet<RequestId>,
    /// Mean fraction of the latency objective, 0 to 1, that attempts used, over all workers.
    saturation: DecayingAverage,
    /// Fraction of the workers, 0 to 1, that are at capacity, as last measured.
    fraction_at_capacity: f64,
}

impl Policy {
    /// A scheduler that knows nothing but its settings. The seed decides all its random draws.
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

    /// Replaces the settings. Classes keep their places; new ones come after them.
    pub fn configure(&mut self, settings: Settings) {
        let baselines = &mut self.cluster.baseline_latency;
        for class in settings.classes.iter().skip(baselines.len()) {
            let baseline = class.latency_objective.as_secs_f64() * INITIAL_BASELINE_FRACTION;
            baselines.push(DecayingAverage::new(baseline));
        }
        self.cluster.hashes_by_weight = settings.weights_are_capacities;
        self.settings = settings;
    }

    /// Takes in what happened at `now` and appends what is to be done about it.
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
            Event::TimerFired => self.timers.woken_up(),
        }
    }

    fn run_expired_timers(&mut self) {
        while let Some(timer) = self.timers.pop_expired(self.now) {
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

    /// Drops the records that have left every window, and decays the sums.
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
