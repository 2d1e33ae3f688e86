//! The ids that the scheduler makes itself: correlation ids of requests whose client has set none, and the numbers
//! of load orders and health checks.
//!
//! A worker tells exchanges apart by their ids alone, and may answer an id that it knows without running it again.
//! The ids therefore differ from those of other schedulers and of earlier processes: they are random, and their
//! generator is seeded by the operating system.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64;

/// Generates the ids of one process.
#[derive(Debug)]
pub(super) struct IdGenerator {
    random: Pcg64,
    next_exchange_number: u64,
}

impl IdGenerator {
    /// Creates a generator. The configured seed is used only if the operating system has no random numbers.
    pub(super) fn new(configured_seed: u64) -> IdGenerator {
        let mut random = Pcg64::try_from_os_rng().unwrap_or_else(|_| Pcg64::seed_from_u64(configured_seed));
        IdGenerator {
            next_exchange_number: random.next_u64(),
            random,
        }
    }

    /// Returns a new correlation id of 16 hexadecimal digits.
    pub(super) fn correlation_id(&mut self) -> String {
        format!("{:016x}", self.random.next_u64())
    }

    /// Returns the number of a new load order or health check. They share one sequence because the backend derives
    /// correlation ids on the same connections from both.
    pub(super) fn exchange_number(&mut self) -> u64 {
        let number = self.next_exchange_number;
        self.next_exchange_number = number.wrapping_add(1);
        number
    }
}
