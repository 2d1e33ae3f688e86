//! Site settings, process limits and the use of memory.

use super::Scheduler;
use crate::model::{Site, Span, Time};

/// How much the scheduler holds of what clients can cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryUse {
    /// Number of open requests.
    pub open_requests: usize,
    /// Number of bytes of their bodies.
    pub body_bytes: usize,
    /// Number of functions that the policy knows.
    pub functions: usize,
    /// Number of hash orders that it has cached.
    pub hash_orders: usize,
}

impl Scheduler {
    /// Returns the site's settings.
    pub fn site(&self) -> &Site {
        &self.site
    }

    /// Replaces the site's settings. Open requests continue under the new settings.
    pub fn reconfigure(&mut self, now: Time, site: Site) {
        self.site = self.site.reloaded_with(site);
        self.policy.configure(self.site.settings.clone());
        self.run_policy(now);
    }

    /// Sets the memory limit of the process, in bytes. Bodies of open requests may take a part of it.
    pub fn set_memory_limit(&mut self, bytes: usize) {
        self.requests.set_memory_limit(bytes);
    }

    /// Sets the number of open requests that all client connections share. A connection beyond its share has its
    /// new requests rejected. Without a limit, a connection may have any number.
    pub fn share_open_requests(&mut self, limit: usize) {
        self.requests.set_shared_limit(limit);
    }

    /// Limits the memory for what the policy knows of functions, in bytes.
    pub fn limit_function_memory(&mut self, bytes: usize) {
        self.policy.limit_function_memory(bytes);
    }

    /// Returns how much is held of what clients can cause.
    pub fn memory_use(&self) -> MemoryUse {
        MemoryUse {
            open_requests: self.requests.len(),
            body_bytes: self.requests.body_bytes(),
            functions: self.policy.known_functions(),
            hash_orders: self.policy.cached_hash_orders(),
        }
    }

    /// Returns the retry-after for responses that the policy does not decide on; zero gives no advice.
    pub fn default_retry_after(&self) -> Span {
        self.site.settings.permissions.max_retry_after.unwrap_or_default()
    }
}
