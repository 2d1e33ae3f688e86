//! The schedule of a seed: which faults are injected, and when.

use super::kind::FaultKind;
use super::system_call_failure::SystemCallFailure;
use clap::ValueEnum;
use fastrand::Rng;
use std::fmt;
use std::ops::RangeInclusive;
use std::time::Duration;

/// Faults that start together.
const GROUP_SIZES: RangeInclusive<usize> = 2..=3;
/// Time between the starts of two groups, in milliseconds.
const GROUP_INTERVALS_MS: RangeInclusive<u64> = 500..=1_300;
/// How much later than its group a fault starts, in milliseconds.
const START_OFFSETS_MS: RangeInclusive<u64> = 0..=250;
/// Targets are drawn below this and then taken modulo the number of schedulers or workers.
const TARGET_BOUND: usize = 1000;

/// A fault of a schedule.
#[derive(Clone, Debug)]
pub(crate) struct PlannedFault {
    pub(crate) kind: FaultKind,
    /// The scheduler or worker that it hits, modulo their number.
    pub(crate) target: usize,
    pub(crate) starts_at: Duration,
    pub(crate) duration: Duration,
    /// Selects a variant of the kind.
    pub(crate) variant: u64,
}

impl PlannedFault {
    /// When it ends.
    pub(crate) fn ends_at(&self) -> Duration {
        self.starts_at + self.duration
    }

    /// Whether both are active at some time.
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

/// The faults of a seed that start within `length`, in the order of their starts. They are of the given
/// kinds, or of all kinds if none is given.
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
        // Half of the groups hit one target with all their faults.
        let shared_target = random.bool().then(|| random.usize(..TARGET_BOUND));
        for _ in 0..random.usize(GROUP_SIZES) {
            faults.push(draw_fault(&mut random, kinds, group_at, shared_target));
        }
        group_at += Duration::from_millis(random.u64(GROUP_INTERVALS_MS));
    }
    faults.sort_by_key(|fault| fault.starts_at);
    faults
}

/// Draws one fault. A schedule depends on the order of the draws.
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
