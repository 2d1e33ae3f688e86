//! Popularity of functions: the gold, silver and bronze tiers, and how many instances are wanted.
//!
//! The tiers follow the paper. Gold functions are loaded on all workers, silver ones on as many as their
//! requests need. Bronze functions are the least requested; their requests go to the first worker in hash
//! order.

use super::Policy;
use crate::cluster::Function;
use crate::collections::take_fitting;
use crate::model::{FunctionId, Span};

/// Number of buckets in the popularity window.
///
/// Together with [`BUCKET_LENGTH`], it gives the window of DESIGN: ten seconds, with a new ranking every
/// two. PAPER has a moving window, but does not state its length.
const BUCKETS: usize = 5;
/// Minimum length of a bucket (DESIGN); a bucket lasts longer where requests are few.
const BUCKET_LENGTH: Span = Span::from_millis(2000);
/// Minimum number of requests in a bucket; DESIGN has no such minimum.
const MIN_BUCKET_REQUESTS: u32 = 20;
/// Fraction, 0 to 1, of the memory of one worker that gold functions may fill.
///
/// This is the alpha of PAPER, which uses 20% in its example and 20% and 25% in its simulations. DESIGN has
/// 20% and leaves the value of alpha open.
const GOLD_MEMORY_FRACTION: f64 = 0.05;
/// Number of consecutive rankings on the other side of the boundary after which a function enters or leaves
/// the gold tier.
///
/// The number is from DESIGN ("entered after two top re-ranks, left after two below"); PAPER has no
/// hysteresis.
const GOLD_HYSTERESIS: u8 = 2;
/// Time after its promotion from which a gold function is assumed to be loaded on all workers.
const GOLD_REPLICATION_TIME: Span = Span::from_millis(6000);
/// Number of requests in the window from which a function is silver; with fewer, it is bronze.
///
/// This cutoff of DESIGN replaces the threshold of PAPER between silver and bronze (T2, set by beta, the
/// utilization of the central server).
const SILVER_REQUESTS: u32 = 2;
/// Number of requests in the window that are attributed to chance when the concurrency of a function is
/// estimated.
const NOISE_REQUESTS: u32 = 2;
/// Ratio of the wanted concurrency to the estimated one while no worker is at capacity.
///
/// The surplus serves bursts.
const IDLE_BURST_FACTOR: f64 = 3.0;
/// Ratio of the wanted concurrency to the estimated one while all workers are at capacity.
///
/// More instances would only evict others.
const SATURATED_BURST_FACTOR: f64 = 0.7;
/// Number of requests of this scheduler in a keep-alive time, for each wanted instance, below which they do
/// not show where instances are loaded.
const MIN_SAMPLES_PER_INSTANCE: f64 = 2.0;

/// The instances of a function that the requests of all schedulers need.
pub(super) struct Demand {
    /// Number of wanted instances, at least one.
    pub(super) instances: usize,
    /// Whether this scheduler has too few requests of its own to show where instances are loaded.
    pub(super) is_sparsely_sampled: bool,
}

impl Policy {
    /// Ranks the functions once the current bucket is complete, and begins the next bucket.
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

    /// Returns the most requested functions that together fit the gold fraction of the memory of the
    /// smallest worker.
    fn top_functions(&self) -> Vec<FunctionId> {
        let ranked = self.cluster.most_requested(SILVER_REQUESTS);
        let memory = self.settings.loading.worker_memory_mb.iter().copied();
        let gold_memory = memory.fold(f64::INFINITY, f64::min) * GOLD_MEMORY_FRACTION;
        take_fitting(ranked, gold_memory, |id| self.cluster.functions[id].memory_mb)
    }

    /// Returns whether a function has been gold for long enough to be loaded on all workers.
    pub(super) fn is_replicated_to_all(&self, function: &Function) -> bool {
        function.gold.is_on() && self.now - function.gold_changed_at > GOLD_REPLICATION_TIME
    }

    /// Returns whether a function is neither gold nor silver, by the requests of this scheduler.
    pub(super) fn is_bronze(&self, function: FunctionId) -> bool {
        let function = self.cluster.functions.get(&function);
        function.is_none_or(|f| !f.gold.is_on() && f.requests.total() < SILVER_REQUESTS)
    }

    /// Estimates the instances that the requests for a function need.
    ///
    /// By Little's law, the number of concurrent requests of all schedulers is their rate times their usual
    /// latency.
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
