//! Checks of idle schedulers: their file descriptors, their threads and their watch of the endpoint list.
//!
//! A failed check is recorded as [`ProcessEvent::Unhealthy`].

use super::{Environment, Scheduler};
use crate::recorder::{HealthProblem, ProcessEvent};
use std::sync::Arc;

/// Maximum number of threads of a scheduler: its event loop and its log writer.
const MAX_THREADS: usize = 2;
/// Maximum number of file descriptors of an idle scheduler, excluding connections to workers.
const BASE_DESCRIPTORS: usize = 40;
/// Maximum number of connections from a scheduler to one worker.
const CONNECTIONS_PER_WORKER: usize = 16;

impl Environment {
    /// Checks that each running scheduler holds few file descriptors and threads, and watches the endpoint
    /// list.
    ///
    /// Call this function after all clients have stopped, so that the schedulers are idle.
    pub(crate) fn check_idle_schedulers(&self) {
        for scheduler in self.running_schedulers() {
            self.check_resources(scheduler);
        }
        for scheduler in self.running_schedulers() {
            self.check_watch(scheduler);
        }
    }

    fn running_schedulers(&self) -> impl Iterator<Item = &Arc<Scheduler>> {
        self.schedulers.iter().filter(|scheduler| scheduler.is_running())
    }

    fn check_resources(&self, scheduler: &Scheduler) {
        let max_descriptors = BASE_DESCRIPTORS + self.workers.len() * CONNECTIONS_PER_WORKER;
        let (descriptors, threads) = (scheduler.descriptor_count(), scheduler.thread_count());
        if descriptors > max_descriptors || threads > MAX_THREADS {
            scheduler.record(ProcessEvent::Unhealthy(HealthProblem::TooManyResources {
                descriptors,
                threads,
            }));
        }
    }

    fn check_watch(&self, scheduler: &Scheduler) {
        if !self.discovery.is_watched_by(scheduler.index) {
            scheduler.record(ProcessEvent::Unhealthy(HealthProblem::NoWatch));
        }
    }
}
