//! Small generic data structures that make no decisions of their own.

mod aimd;
mod backoff;
mod burst_counter;
mod event_log;
mod hysteresis;
mod liveness;
mod rendezvous;
mod selection;
mod sliding_window;
#[cfg(test)]
mod tests;
mod timer_queue;

pub(crate) use aimd::{AimdBounds, AimdLimit};
pub(crate) use backoff::{BackoffTimer, ExponentialBackoff};
pub(crate) use burst_counter::BurstCounter;
pub(crate) use event_log::EventLog;
pub(crate) use hysteresis::Hysteresis;
pub(crate) use liveness::Liveness;
pub(crate) use rendezvous::{RendezvousNode, mix64, weighted_rendezvous_order};
pub(crate) use selection::{least_by_cost, retain_unless_few, take_fitting};
pub(crate) use sliding_window::{BucketClock, SlidingWindowCounter};
pub(crate) use timer_queue::TimerQueue;
