//! Small generic data structures without decisions of their own.

mod backoff;
mod rendezvous;

pub(crate) use backoff::ExponentialBackoff;
pub(crate) use rendezvous::{mix64, weighted_rendezvous_order};
