//! The schedule of a seed: which faults are injected, and when.

use super::kind::FaultKind;
use super::system_call_failure::SystemCallFailure;
use clap::ValueEnum;
use fastrand::Rng;
use std::fmt;
use std::ops::RangeInclusive;
use std::time::Duration;

/// The range of the number of faults in a group. The faults of a group start at about the same time.
const GROUP_SIZES: RangeInclusive<usize> = 2..=3;
/// The range of the time between the starts of two groups, in milliseconds.
const GROUP_INTERVALS_MS: RangeInclusive<u64> = 500..=1_300;
/// The range of the delay of a fault from the start of its group, in milliseconds.
const START_OFFSETS_MS: RangeInclusive<u64> = 0..=250;
/// The exclusive upper bound of a target. A target is reduced modulo the number of schedulers or workers when
/// its fault is injected.
const TARGET_BOUND: usize = 1000;

/// A fault of a schedule.
#[derive(Clone, Debug)]
pub(crate) struct PlannedFault {
    pub(crate) kind: FaultKind,
    /// The index of the affected scheduler or worker, to be reduced modulo the number of them.
    pub(crate) target: usize,
    pub(crate) starts_at: Duration,
    pub(crate) duration: Duration,
    /// A random number that selects a variant of the kind.
    pub(crate) variant: u64,
}

impl PlannedFault {
    /// Returns when the fault ends.
    pub(crate) fn ends_at(&self) -> Duration {
        self.starts_at + self.duration
    }

    /// Returns whether there is a time at which both faults are active.
    pub(crate) fn overlaps(&self, other: &PlannedFault) -> bool {
        other.starts_at < self.ends_at() && self.starts_at < other.ends_at()
    }
}

impl fmt::Display for PlannedFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?} target {}", self.kind, self.target)?;
        if self.kind == FaultKind::SystemCallErrors {
            write!(formatter, " {}", SystemCallFailure::of_variant(self.variant))?;
        }
        write!(
            formatter,
            " from {:.3} s to {:.3} s",
            self.starts_at.as_secs_f64(),
            self.ends_at().as_secs_f64()
        )
    }
}

/// Returns the faults of a seed whose groups start within `length`, in the order of their starts.
///
/// The faults are of the given kinds, or of any kind if `kinds` is empty.
pub(crate) fn schedule(seed: u64, length: Duration, kinds: &[FaultKind]) -> Vec<PlannedFault> {
    let kinds = if kinds.is_empty() {
        FaultKind::value_variants()
    } else {
        kinds
    };
    let mut random = Rng::with_seed(seed);
    let mut faults = Vec::new();
    let mut group_at = Duration::from_millis(random.u64(GROUP_INTERVALS_MS));
    while group_at < length {
        // In about half of the groups all faults affect the same target.
        let shared_target = random.bool().then(|| random.usize(..TARGET_BOUND));
        for _ in 0..random.usize(GROUP_SIZES) {
            faults.push(draw_fault(&mut random, kinds, group_at, shared_target));
        }
        group_at += Duration::from_millis(random.u64(GROUP_INTERVALS_MS));
    }
    faults.sort_by_key(|fault| fault.starts_at);
    faults
}

/// Generates a random fault.
///
/// The schedule of a seed depends on the order in which the random numbers are drawn.
fn draw_fault(
    random: &mut Rng,
    kinds: &[FaultKind],
    group_at: Duration,
    shared_target: Option<usize>,
) -> PlannedFault {
    let kind = kinds[random.usize(..kinds.len())];
    PlannedFault {
        kind,
        target: shared_target.unwrap_or_else(|| random.usize(..TARGET_BOUND)),
        starts_at: group_at + Duration::from_millis(random.u64(START_OFFSETS_MS)),
        duration: Duration::from_millis(random.u64(kind.durations_ms())),
        variant: random.u64(..),
    }
}
