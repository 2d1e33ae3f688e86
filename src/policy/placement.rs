//! Placement: which worker a request is sent to, by loaded instances, load and hash order.

use super::candidates::{Candidate, Placement};
use super::{Policy, Timer};
use crate::cluster::Request;
use crate::collections::least_by_cost;
use crate::model::{Action, OnMiss, RequestId, Span, WorkerId};
use rand_core::RngCore;

/// Pause before a request that found no worker is placed again.
pub(super) const RETRY_DELAY: Span = Span::from_millis(40);
/// How long a request waits for a load order before it is placed again.
pub(super) const LOAD_PATIENCE: Span = Span::from_millis(3000);
/// First places in hash order, where a function that is loaded nowhere is loaded.
const HOMES: usize = 2;
/// Load that each request beyond an instance's concurrency adds.
const EXCESS_WEIGHT: f64 = 2.0;
/// Load by which the first home must exceed the second for a load to go there.
const SECOND_HOME_MARGIN: f64 = 1.5;
/// Load by which the best worker must exceed another for an instance to be added there.
const SCALE_OUT_MARGIN: f64 = 1.0;
/// Part of its latency objective after which a request may start a load elsewhere.
const SPILL_DELAY: f64 = 0.08;
/// Part of the workers without room above which none does.
const MAX_SPILL_FULL_WORKERS: f64 = 0.34;

impl Policy {
    /// Sends a request to a worker, has it wait, or ends it.
    pub(super) fn place(&mut self, id: RequestId) {
        let tie_break = self.rng.next_u64();
        let request = self.cluster.idle_request(id);
        let Some(request) = request else { return };
        request.awaits_load = false;
        if request.attempts() >= self.settings.permissions.max_attempts {
            return self.give_up(id);
        }
        let function = request.function;
        let order = self.cluster.hash_order_places(function);
        let placement = self.placement(id, &order);
        if !placement.candidates.iter().any(|c| c.has_room) {
            self.hold_back(id);
        } else if placement.candidates.iter().any(|c| c.is_promising) {
            self.place_warm(&placement, tie_break);
        } else if self.settings.loading.on_miss == OnMiss::Load {
            self.place_cold(&placement);
        } else {
            self.place_after_load(&placement);
        }
    }

    /// Sends to a loaded instance: for bronze the first in hash order, else the least loaded.
    fn place_warm(&mut self, placement: &Placement, tie_break: u64) {
        let candidates = placement.candidates.iter();
        let open = candidates.filter(|c| c.is_promising && c.has_room);
        let home = open.clone().find(|c| c.excess == 0);
        let home = home.filter(|_| self.is_bronze(placement.function));
        let cost = |c: &&Candidate| c.load + EXCESS_WEIGHT * f64::from(c.excess);
        let least_loaded = || least_by_cost(open, tie_break, |c| c.worker.0, cost);
        let Some(best) = home.or_else(least_loaded) else {
            return self.spill(placement);
        };
        self.send(placement.request, best.worker, best.is_warm);
        if best.excess > 0 {
            self.scale_out(placement, best.worker);
        }
    }

    /// No loaded instance has room: a load where there is room may end sooner than the wait for one.
    fn spill(&mut self, placement: &Placement) {
        let others = placement.candidates.iter().filter(|c| !c.is_promising);
        let home = load_home(others.filter(|c| c.has_room && c.may_start_load));
        let home = home.filter(|_| self.may_spill(&self.cluster.requests[&placement.request]));
        if let Some(home) = home {
            return self.send(placement.request, home, false);
        }
        self.hold_back(placement.request);
        if let Some(first) = placement.candidates.iter().find(|c| c.is_promising) {
            self.scale_out(placement, first.worker);
        }
    }

    /// Whether a request has waited long enough to start a load elsewhere: one at a time for a function.
    fn may_spill(&self, request: &Request) -> bool {
        let waited = self.now - request.received_at;
        self.settings.loading.on_miss == OnMiss::Load
            && self.full_workers <= MAX_SPILL_FULL_WORKERS
            && waited >= request.latency_objective.mul_f64(SPILL_DELAY)
            && !self.cluster.is_load_awaited(request.function, self.now)
    }

    /// Orders another instance where demand asks for it and the next worker is clearly less loaded.
    fn scale_out(&mut self, placement: &Placement, best: WorkerId) {
        let promising = placement.candidates.iter().filter(|c| c.is_promising).count();
        let next = placement.candidates.iter().find(|c| !c.is_promising);
        let best_load = self.load(&self.cluster.workers[&best]);
        if let Some(next) = next.filter(|next| next.load + SCALE_OUT_MARGIN < best_load)
            && promising < placement.wanted_instances
            && self.pending_loads(placement.function) == 0
        {
            self.order_load(next.worker, placement.function);
        }
    }

    /// Sends to a home in hash order, where the request itself starts the load.
    fn place_cold(&mut self, placement: &Placement) {
        let free = placement.candidates.iter().filter(|c| c.excess == 0);
        let fresh = free.clone().filter(|c| c.may_start_load);
        let homes = fresh.chain(free).take(HOMES);
        match load_home(homes.filter(|c| c.has_room)) {
            Some(home) => self.send(placement.request, home, false),
            None => self.hold_back(placement.request),
        }
    }

    /// Asks the homes whether they have the function loaded; if none has, the request waits for a load order.
    fn place_after_load(&mut self, placement: &Placement) {
        let id = placement.request;
        let function = placement.function;
        if self.pending_loads(function) == 0 {
            let mut homes = placement.candidates.iter().take(HOMES);
            if let Some(home) = homes.find(|c| c.is_untried && c.has_room) {
                return self.send(id, home.worker, false);
            }
            // Not beyond the first: orders that end full must not walk through all workers.
            let first = placement
                .candidates
                .iter()
                .take(placement.wanted_instances + HOMES);
            let workers = &self.cluster.workers;
            let homes = first.filter(|c| self.may_load(&workers[&c.worker], function));
            let Some(home) = load_home(homes) else {
                return self.schedule(RETRY_DELAY, Timer::Placement(id));
            };
            self.order_load(home, function);
        }
        let request = self.cluster.requests.entry(id);
        request.and_modify(|request| request.awaits_load = true);
        self.schedule(LOAD_PATIENCE, Timer::Placement(id));
    }

    fn send(&mut self, id: RequestId, worker: WorkerId, expected_warm: bool) {
        let timeout = self.cluster.begin_attempt(id, worker, expected_warm, self.now);
        self.actions.push(Action::Send { id, worker, timeout });
    }
}

/// The place for a load: the first home, unless it is clearly more loaded than the second.
fn load_home<'a>(homes: impl Iterator<Item = &'a Candidate>) -> Option<WorkerId> {
    let homes: Vec<&Candidate> = homes.take(HOMES).collect();
    let first = homes.first()?;
    let is_better = |second: &&&Candidate| second.load + SECOND_HOME_MARGIN < first.load;
    Some(homes.get(1).filter(is_better).unwrap_or(first).worker)
}
