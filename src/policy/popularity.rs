//! Popularity of functions: the gold, silver and bronze tiers, and how many instances are wanted.
//!
//! Tiers follow the paper. Gold functions are loaded on all workers; silver ones on as many as their requests
//! need. Bronze ones are the rarest; their requests go to the first worker in hash order.

use super::Policy;
use crate::cluster::Function;
use crate::collections::take_fitting;
use crate::model::{FunctionId, Span};

/// Buckets of the popularity window.
///
/// Buckets, from 1 up. Source: DESIGN (a window of ten seconds, ranked anew every two; its own figures).
/// PAPER has a moving window without a length.
const BUCKETS: usize = 5;
/// Least length of a bucket.
///
/// Time, above 0. Source: DESIGN, as for [`BUCKETS`]. A bucket lasts longer here where requests are few.
const BUCKET_LENGTH: Span = Span::from_millis(2000);
/// Least requests in a bucket.
///
/// Requests, from 0 up. Source: inherited; DESIGN has no such minimum.
const MIN_BUCKET_REQUESTS: u32 = 20;
/// Fraction of one worker's memory that gold functions may fill.
///
/// Fraction, 0 to 1. The quantity is PAPER's alpha. Source: inherited; the value differs from PAPER (20% in
/// its example, 20% and 25% in its simulations) and from DESIGN (20%), which leaves alpha open.
const GOLD_MEMORY_FRACTION: f64 = 0.05;
/// Rankings in a row on the other side before a function enters or leaves gold.
///
/// Rankings, from 1 up. Source: DESIGN ("entered after two top re-ranks, left after two below"; its own
/// addition to PAPER).
const GOLD_HYSTERESIS: u8 = 2;
/// Time after its promotion from which a gold function is taken to be loaded on all workers.
///
/// Time, from 0 up. Source: inherited.
const GOLD_REPLICATION_TIME: Span = Span::from_millis(6000);
/// Requests in the window from which a function is silver; with fewer it is bronze.
///
/// Requests, from 1 up. Source: DESIGN, whose cutoff replaces PAPER's threshold between silver and bronze
/// (T2, set by beta, the utilization of the central server).
const SILVER_REQUESTS: u32 = 2;
/// Requests in the window that are taken for chance where a function's concurrency is estimated.
///
/// Requests, from 0 up. Source: inherited. With one, case4356 and case4803 scored lower and case3338 higher
/// (journal 20261201T162543 and after).
const NOISE_REQUESTS: u32 = 2;
/// Concurrent requests that instances are wanted for, for each that is estimated, while no worker is at
/// capacity: the surplus is for bursts.
///
/// Ratio, above 0. Source: inherited.
const IDLE_BURST_FACTOR: f64 = 3.0;
/// The same while all workers are at capacity: more instances would only evict others.
///
/// Ratio, above 0. Source: inherited.
const SATURATED_BURST_FACTOR: f64 = 0.7;
/// Own requests in a keep-alive time, for each wanted instance, below which they do not show where instances
/// are.
///
/// Requests, from 0 up. Source: inherited.
const MIN_SAMPLES_PER_INSTANCE: f64 = 2.0;

/// The instances of a function that the requests of all schedulers need.
pub(super) struct Demand {
    /// Instances wanted, at least one.
    pub(super) instances: usize,
    /// This scheduler's own requests are too few to show where instances are.
    pub(super) is_sparsely_sampled: bool,
}

impl Policy {
    /// Ranks the functions anew once the current bucket is complete, and begins another.
    pub(super) fn update_tiers(&mut self) {
        let cluster = &mut self.cluster;
        let counted: u32 = cluster.functions.values().map(|f| f.requests.current()).sum();
        let bucket_length = cluster.popularity_window.bucket_length(self.now);
        if counted < MIN_BUCKET_REQUESTS || bucket_length < BUCKET_LENGTH {
            return;
        }
        cluster.popularity_window.advance(self.now, BUCKETS);
        let top = self.top_functions();
        for (id, function) in &mut self.cluster.functions {
            if function.gold.observe(top.contains(id), GOLD_HYSTERESIS) {
                function.gold_changed_at = self.now;
            }
            function.requests.advance(BUCKETS);
        }
        self.cluster.prune(self.now, self.settings.loading.keep_alive);
    }

    /// The most requested functions that fit the gold fraction of the smallest worker's memory together.
    fn top_functions(&self) -> Vec<FunctionId> {
        let ranked = self.cluster.most_requested(SILVER_REQUESTS);
        let memory = self.settings.loading.worker_memory_mb.iter().copied();
        let gold_memory = memory.fold(f64::INFINITY, f64::min) * GOLD_MEMORY_FRACTION;
        take_fitting(ranked, gold_memory, |id| self.cluster.functions[id].memory_mb)
    }

    /// Whether a function has been gold for long enough to be loaded on all workers.
    pub(super) fn is_replicated_to_all(&self, function: &Function) -> bool {
        function.gold.is_on() && self.now - function.gold_changed_at > GOLD_REPLICATION_TIME
    }

    /// Whether a function is rare, neither gold nor silver, by this scheduler's requests.
    pub(super) fn is_bronze(&self, function: FunctionId) -> bool {
        let function = self.cluster.functions.get(&function);
        function.is_none_or(|f| !f.gold.is_on() && f.requests.total() < SILVER_REQUESTS)
    }

    /// Estimates the instances that a function's requests need: by Little's law, the requests of all
    /// schedulers that run at a time are their rate times their usual latency.
    pub(super) fn demand(&self, function: &Function, class: usize) -> Demand {
        let requests = function.requests.total();
        let window = self.cluster.popularity_window.window_length(self.now);
        let window = window.max(BUCKET_LENGTH).as_secs_f64();
        let schedulers = f64::from(self.settings.scheduler_count.max(1));
        let steady_requests = f64::from(requests.saturating_sub(NOISE_REQUESTS));
        let concurrent = steady_requests / window * schedulers * self.cluster.baseline_latency[class].value();
        let burst_factor =
            IDLE_BURST_FACTOR + (SATURATED_BURST_FACTOR - IDLE_BURST_FACTOR) * self.fraction_at_capacity;
        let wanted = concurrent * burst_factor / f64::from(function.concurrency);
        let wanted = wanted.ceil().max(1.0);
        let own_requests = f64::from(requests) / window * self.settings.loading.keep_alive.as_secs_f64();
        Demand {
            instances: wanted as usize,
            is_sparsely_sampled: own_requests < wanted * MIN_SAMPLES_PER_INSTANCE,
        }
    }
}
