//! Tests of the schedules and of the list of fault kinds.

use super::{FaultKind, schedule};
use clap::ValueEnum;
use std::collections::BTreeSet;
use std::time::Duration;

const LENGTH: Duration = Duration::from_secs(10);

fn lines_of(seed: u64) -> Vec<String> {
    let faults = schedule(seed, LENGTH, &[]);
    faults.iter().map(ToString::to_string).collect()
}

#[test]
fn a_seed_determines_a_schedule_with_overlapping_faults() {
    assert_eq!(lines_of(5), lines_of(5));
    assert_ne!(lines_of(5), lines_of(6));
    let faults = schedule(5, LENGTH, &[]);
    let overlaps = faults
        .windows(2)
        .any(|pair| pair[1].starts_at < pair[0].ends_at());
    assert!(overlaps, "{faults:?}");
    let only_kills = schedule(5, LENGTH, &[FaultKind::Kill]);
    assert!(only_kills.iter().all(|fault| fault.kind == FaultKind::Kill));
}

#[test]
fn every_fault_kind_has_a_unique_name_and_description() {
    let kinds = FaultKind::value_variants();
    let listed: Vec<(String, String)> = kinds.iter().map(|kind| kind.name_and_description()).collect();
    let names: BTreeSet<&String> = listed.iter().map(|(name, _)| name).collect();
    let descriptions: BTreeSet<&String> = listed.iter().map(|(_, description)| description).collect();
    assert_eq!(names.len(), kinds.len());
    assert_eq!(descriptions.len(), kinds.len());
    assert!(!descriptions.contains(&String::new()), "{listed:?}");
}
