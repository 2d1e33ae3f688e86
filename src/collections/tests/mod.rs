//! The data structures, by their own rules.

mod backoff;
mod limits;
mod rendezvous;
mod selection;
mod timers;
mod windows;
