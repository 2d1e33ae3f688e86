//! A process becomes ready and exits in time, holds few resources while idle, and reports no violation
//! itself.

use super::{Invariant, Violation};
use crate::recorder::{Event, ProcessEvent, Record};

pub(super) fn check(records: &[Record]) -> Vec<Violation> {
    records.iter().filter_map(check_record).collect()
}

fn check_record(record: &Record) -> Option<Violation> {
    let Event::Process {
        incarnation,
        event: ProcessEvent::Unhealthy(problem),
    } = &record.event
    else {
        return None;
    };
    let details = format!("{incarnation:?} {problem:?}");
    Some(Violation::new(Invariant::ProcessHealth, record.at, details))
}
