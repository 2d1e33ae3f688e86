//! C1, C2: a process exits only when requested, and with success. A killed process may exit in any way.

use super::{Invariant, Violation};
use crate::recorder::{Event, ProcessEvent, Record};
use std::collections::HashSet;

pub(super) fn check(records: &[Record]) -> Vec<Violation> {
    let mut killed = HashSet::new();
    let mut violations = Vec::new();
    for record in records {
        let Event::Process { incarnation, event } = &record.event else {
            continue;
        };
        match event {
            ProcessEvent::Killed => {
                killed.insert(incarnation);
            }
            ProcessEvent::Exited {
                success,
                was_requested,
            } => {
                let is_allowed = killed.contains(incarnation) || *success && *was_requested;
                if !is_allowed {
                    let details =
                        format!("{incarnation:?} exited, success: {success}, requested: {was_requested}");
                    violations.push(Violation::new(Invariant::ProcessExit, record.at, details));
                }
            }
            ProcessEvent::Started
            | ProcessEvent::Ready
            | ProcessEvent::Terminated
            | ProcessEvent::Unhealthy(_) => {}
        }
    }
    violations
}
