//! Compares the documentation pages with the code: the names in the pages exist in the code, and the
//! operations page lists everything that an engineer on call may encounter.

mod names;
mod operations;
mod page;
mod source;
#[path = "../support/mod.rs"]
#[allow(dead_code, reason = "each test crate uses a part of the support code")]
mod support;
