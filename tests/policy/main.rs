//! The decisions of the policy through its public interface: the ordinary path and each gate.

mod admission;
mod concurrency_limit;
mod health;
mod load_rate_limit;
mod placement;
mod prewarm;
mod retries;
mod robustness;
mod slow_start;
#[path = "../support/mod.rs"]
mod support;
