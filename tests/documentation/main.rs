//! The pages against the code: what they name exists, and what an engineer on call can meet is on the operations page.

mod names;
mod operations;
mod page;
mod source;
#[path = "../support/mod.rs"]
#[allow(dead_code, reason = "each test crate uses a part of the support code")]
mod support;
