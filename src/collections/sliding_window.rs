//! A counter over a sliding window of time.

/// A count over a window of `BUCKETS` buckets; whoever owns it says when a bucket ends.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlidingWindowCounter<const BUCKETS: usize> {
    /// Counts by bucket, the current one first.
    counts: [u32; BUCKETS],
}

impl<const BUCKETS: usize> Default for SlidingWindowCounter<BUCKETS> {
    fn default() -> Self {
        SlidingWindowCounter { counts: [0; BUCKETS] }
    }
}

impl<const BUCKETS: usize> SlidingWindowCounter<BUCKETS> {
    /// Counts one more in the current bucket.
    pub(crate) fn increment(&mut self) {
        self.counts[0] += 1;
    }

    /// The count of the current bucket.
    pub(crate) fn current(&self) -> u32 {
        self.counts[0]
    }

    /// The count of the window.
    pub(crate) fn total(&self) -> u32 {
        self.counts.iter().sum()
    }

    /// Begins a bucket; the oldest one leaves the window.
    pub(crate) fn advance(&mut self) {
        self.counts.rotate_right(1);
        self.counts[0] = 0;
    }
}
