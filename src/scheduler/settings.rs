//! The site's settings, and the limits that the process sets.

use super::Scheduler;
use crate::model::{Site, Span, Time};

impl Scheduler {
    /// The site's settings.
    pub fn site(&self) -> &Site {
        &self.site
    }

    /// Replaces the site's settings. Open requests go on under the new ones.
    pub fn reconfigure(&mut self, now: Time, site: Site) {
        self.site = self.site.reloaded_with(site);
        self.policy.configure(self.site.settings.clone());
        self.run_policy(now);
    }

    /// Sets the memory that the process may take, in bytes; bodies of open requests get a sixth of it.
    pub fn set_memory_limit(&mut self, bytes: usize) {
        self.requests.set_memory_limit(bytes);
    }

    /// How long a client should wait before a retry where the policy has not said; zero for no advice.
    pub fn default_retry_after(&self) -> Span {
        self.site.settings.permissions.max_retry_after.unwrap_or_default()
    }
}
