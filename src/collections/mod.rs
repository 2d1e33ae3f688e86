//! Small generic data structures without decisions of their own.

mod backoff;
mod burst_counter;
mod event_log;
mod hysteresis;
mod rendezvous;
mod sliding_window;
#[cfg(test)]
mod tests;
mod timer_queue;
mod versioned;

pub(crate) use backoff::{BackoffTimer, ExponentialBackoff};
pub(crate) use burst_counter::BurstCounter;
pub(crate) use event_log::EventLog;
pub(crate) use hysteresis::Hysteresis;
pub(crate) use rendezvous::{mix64, weighted_rendezvous_order};
pub(crate) use sliding_window::SlidingWindowCounter;
pub(crate) use timer_queue::TimerQueue;
pub(crate) use versioned::Versioned;
