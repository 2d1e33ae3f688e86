//! Popularity of functions: the gold, silver and bronze tiers, and the instances that requests ask for.

use super::Policy;
use crate::cluster::Function;
use crate::collections::take_fitting;
use crate::model::{FunctionId, Span};

/// Buckets of the popularity window, of ten seconds together (design page).
const BUCKETS: usize = 5;
/// Least length of a bucket.
const BUCKET_LENGTH: Span = Span::from_millis(2000);
/// Least requests in a bucket.
const MIN_BUCKET_REQUESTS: u32 = 20;
/// Part of one worker's memory that gold functions may fill (alpha, design page).
const GOLD_MEMORY: f64 = 0.05;
/// Rankings in a row on the other side before a function enters or leaves gold.
const GOLD_HYSTERESIS: u8 = 2;
/// Time after its promotion from which gold is taken to be loaded on all workers.
const GOLD_SPREAD_TIME: Span = Span::from_millis(6000);
/// Requests in the window below which a function is bronze (design page); so many may be chance.
const SILVER_REQUESTS: u32 = 2;
/// Places wanted for each concurrent request, for bursts, while all workers have room.
const IDLE_BURST_FACTOR: f64 = 3.0;
/// The same while no worker has room: more instances would only push others out.
const FULL_BURST_FACTOR: f64 = 0.7;
/// Own requests in a keep-alive for each wanted instance, below which they do not show where instances are.
const MIN_OWN_REQUESTS: f64 = 2.0;

/// What a function's requests ask for, over all schedulers.
pub(super) struct Demand {
    pub(super) instances: usize,
    /// This scheduler's own requests are too few to show where instances are.
    pub(super) undersampled: bool,
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

    /// The most requested functions that fit the gold part of the smallest worker's memory.
    fn top_functions(&self) -> Vec<FunctionId> {
        let ranked = self.cluster.most_requested(SILVER_REQUESTS);
        let memory = self.settings.loading.worker_memory_mb.iter().copied();
        let room = memory.fold(f64::INFINITY, f64::min) * GOLD_MEMORY;
        take_fitting(ranked, room, |id| self.cluster.functions[id].memory_mb)
    }

    /// Whether a function has been gold for long enough to be loaded on all workers.
    pub(super) fn is_everywhere(&self, function: &Function) -> bool {
        function.gold.is_on() && self.now - function.gold_changed_at > GOLD_SPREAD_TIME
    }

    /// Whether a function is rare, neither gold nor silver, by this scheduler's requests.
    pub(super) fn is_bronze(&self, function: FunctionId) -> bool {
        let function = self.cluster.functions.get(&function);
        function.is_none_or(|f| !f.gold.is_on() && f.requests.total() < SILVER_REQUESTS)
    }

    pub(super) fn demand(&self, function: &Function, class: usize) -> Demand {
        let requests = function.requests.total();
        let window = self.cluster.popularity_window.window_length(self.now);
        let window = window.max(BUCKET_LENGTH).as_secs_f64();
        let schedulers = f64::from(self.settings.fleet_size.max(1));
        let steady = f64::from(requests.saturating_sub(SILVER_REQUESTS));
        let concurrent = steady / window * schedulers * self.cluster.baseline_latency[class].value();
        let burst_factor = IDLE_BURST_FACTOR + (FULL_BURST_FACTOR - IDLE_BURST_FACTOR) * self.full_workers;
        let wanted = concurrent * burst_factor / f64::from(function.concurrency);
        let wanted = wanted.ceil().max(1.0);
        let own = f64::from(requests) / window * self.settings.loading.keep_alive.as_secs_f64();
        Demand {
            instances: wanted as usize,
            undersampled: own < wanted * MIN_OWN_REQUESTS,
        }
    }
}
