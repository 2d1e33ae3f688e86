//! Since when clients may have waited to be accepted.

use crate::model::Time;
use std::collections::VecDeque;

/// Maximum number of clients that the system lets wait at a listener: the default of `net.core.somaxconn` on Linux.
const MAX_WAITING_CLIENTS: u64 = 4096;

/// The times at which clients were left waiting at a listener, since none waited.
///
/// Clients are accepted in the order in which they have connected, and only [`MAX_WAITING_CLIENTS`] of them can
/// wait. One that is accepted now has therefore connected after any time at which more than that number were still
/// to be accepted before it.
#[derive(Debug, Default)]
pub(super) struct AcceptWait {
    /// Number of clients accepted.
    accepted: u64,
    /// For each time at which clients were left waiting, the number that had been accepted until then.
    interruptions: VecDeque<Interruption>,
}

#[derive(Debug)]
struct Interruption {
    accepted: u64,
    at: Time,
}

impl AcceptWait {
    /// Records that no client waits.
    pub(super) fn record_empty(&mut self) {
        self.interruptions.clear();
    }

    /// Records that accepting ends although clients may be waiting.
    pub(super) fn record_interruption(&mut self, now: Time) {
        let accepted = self.accepted;
        if self
            .interruptions
            .back()
            .is_none_or(|last| last.accepted < accepted)
        {
            self.interruptions.push_back(Interruption { accepted, at: now });
        }
    }

    /// Records that a client is accepted. Returns the earliest time at which it may have connected, or `None` if it
    /// has not waited.
    pub(super) fn record_accepted(&mut self) -> Option<Time> {
        while let Some(second) = self.interruptions.get(1)
            && second.accepted + MAX_WAITING_CLIENTS < self.accepted
        {
            self.interruptions.pop_front();
        }
        self.accepted += 1;
        self.interruptions.front().map(|first| first.at)
    }
}
