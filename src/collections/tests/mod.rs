//! Tests of the data structures.

mod backoff;
mod limits;
mod rendezvous;
mod selection;
mod timers;
mod windows;
