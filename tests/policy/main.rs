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
#[allow(dead_code, reason = "each test crate uses a part of the support code")]
mod support;
