//! Tests of the policy's decisions through its public interface.

mod admission;
mod concurrency_limit;
mod endpoint_lease;
mod health;
mod load_rate_limit;
mod outage_service;
mod placement;
mod prewarm;
mod retries;
mod robustness;
mod simulated_fleet;
mod slow_start;
#[path = "../support/mod.rs"]
#[allow(dead_code, reason = "each test crate uses a part of the support code")]
mod support;
