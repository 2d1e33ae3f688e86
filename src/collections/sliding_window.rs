//! Counts over a sliding window of buckets.

use crate::model::{Span, Time};
use std::collections::VecDeque;

/// A count over a window of buckets. Its owner decides when a bucket ends.
#[derive(Clone, Debug)]
pub(crate) struct SlidingWindowCounter {
    /// Counts by bucket, the current one first; older buckets that are not stored are empty.
    counts: VecDeque<u32>,
}

impl Default for SlidingWindowCounter {
    fn default() -> SlidingWindowCounter {
        SlidingWindowCounter {
            counts: VecDeque::from([0]),
        }
    }
}

impl SlidingWindowCounter {
    /// Increments the count of the current bucket.
    pub(crate) fn increment(&mut self) {
        self.counts[0] += 1;
    }

    /// Returns the count of the current bucket.
    pub(crate) fn current(&self) -> u32 {
        self.counts[0]
    }

    /// Returns the count of the whole window.
    pub(crate) fn total(&self) -> u32 {
        self.counts.iter().sum()
    }

    /// Begins a bucket; beyond `buckets` buckets, the oldest one leaves the window.
    pub(crate) fn advance(&mut self, buckets: usize) {
        self.counts.push_front(0);
        self.counts.truncate(buckets);
    }
}

/// The start times of the buckets of a sliding window. Its owner decides when a bucket ends.
#[derive(Clone, Debug)]
pub(crate) struct BucketClock {
    /// Start times of the buckets, the current one first; older buckets count as begun together with the
    /// oldest stored one.
    starts: VecDeque<Time>,
}

impl Default for BucketClock {
    fn default() -> BucketClock {
        BucketClock::new(Time(0))
    }
}

impl BucketClock {
    /// Creates a window whose first bucket begins at `now`.
    pub(crate) fn new(now: Time) -> BucketClock {
        BucketClock {
            starts: VecDeque::from([now]),
        }
    }

    /// Begins a bucket at `now`; beyond `buckets` buckets, the oldest one leaves the window.
    pub(crate) fn advance(&mut self, now: Time, buckets: usize) {
        self.starts.push_front(now);
        self.starts.truncate(buckets);
    }

    /// Returns the time since the current bucket began.
    pub(crate) fn bucket_length(&self, now: Time) -> Span {
        now - self.starts[0]
    }

    /// Returns the time since the oldest bucket began.
    pub(crate) fn window_length(&self, now: Time) -> Span {
        now - self.starts[self.starts.len() - 1]
    }
}
