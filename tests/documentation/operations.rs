//! Compares the lists on the operations page with the code: counters, log events, kinds of violation, signals
//! and limits.

use crate::page::{OPERATIONS_PAGE, all_quoted, listed_names, quoted, rows, section};
use crate::source::{Fields, events, read, root, source_files, without_comments};
use crate::support::scheduler_process::SchedulerProcess;
use std::collections::{BTreeMap, BTreeSet};

/// Levels whose events each have a row on the page.
const LISTED_LEVELS: [&str; 3] = ["error", "warn", "info"];
const DEBUG_LEVEL: &str = "debug";
/// The text that identifies the log line whose message consists of the counters.
const COUNTERS_EVENT: &str = "counters";

#[test]
fn the_operations_page_lists_each_counter_and_no_other() {
    let scheduler = SchedulerProcess::start(&[]);
    scheduler.signal("USR1");
    let log = scheduler.wait_for_log(COUNTERS_EVENT);
    let line = log
        .lines()
        .find(|line| line.contains(COUNTERS_EVENT))
        .expect("the counters are printed");
    let words = line.split(' ').filter_map(|word| word.split_once('='));
    let printed: BTreeSet<String> = words.map(|(name, _)| name.to_owned()).collect();
    assert!(printed.len() > 1, "{line}");
    assert_eq!(listed_names("## Counters"), printed);
}

#[test]
fn the_operations_page_lists_each_log_event_from_info_upwards_with_its_level_and_no_other() {
    let page = read(OPERATIONS_PAGE);
    let mut on_page: BTreeMap<&str, BTreeMap<String, Fields>> = BTreeMap::new();
    for cells in rows(section(&page, "### Events")) {
        let [event, level, fields, ..] = cells[..] else {
            panic!("the row {cells:?} has too few cells");
        };
        let events = on_page.entry(level).or_default();
        let earlier = events.insert(quoted(event).to_owned(), all_quoted(fields));
        assert!(earlier.is_none(), "{event} is listed twice");
    }
    let in_code = LISTED_LEVELS.map(|level| (level, events(level)));
    assert_eq!(on_page, BTreeMap::from(in_code));
}

#[test]
fn the_operations_page_lists_each_debug_event_and_no_other() {
    let page = read(OPERATIONS_PAGE);
    let rows = rows(section(&page, "## Follow one request"));
    let on_page: BTreeMap<String, Fields> = rows
        .iter()
        .map(|cells| (quoted(cells[0]).to_owned(), all_quoted(cells[1])))
        .collect();
    assert_eq!(on_page.len(), rows.len(), "an event is listed twice");
    assert_eq!(on_page, events(DEBUG_LEVEL));
}

#[test]
fn the_operations_page_lists_each_kind_of_violation_and_no_other() {
    let text = read("src/scheduler/invariants.rs");
    let kinds = text
        .split("#[error(\"")
        .skip(1)
        .filter_map(|rest| rest.split('"').next());
    let kinds: BTreeSet<String> = kinds.map(str::to_owned).collect();
    assert_eq!(listed_names("### Kinds of violation"), kinds);
}

/// Guards against log output that the tests above miss: they read only the calls of `error!`, `warn!`,
/// `info!` and `debug!`.
#[test]
fn no_source_file_logs_through_other_macros() {
    for file in source_files(&root().join("src")) {
        let text = without_comments(&read(&file));
        for other in ["event!(", "trace!(", "eprintln!(", "eprint!("] {
            assert!(!text.contains(other), "{}: {other}", file.display());
        }
    }
}

#[test]
fn the_operations_page_lists_each_signal_that_the_server_handles() {
    let text = without_comments(&read("src/server/signals.rs"));
    let words = text.split(|character: char| !character.is_ascii_alphanumeric());
    let is_signal = |word: &&str| word.len() > 3 && word.starts_with("SIG") && *word == word.to_uppercase();
    let handled: BTreeSet<String> = words.filter(is_signal).map(str::to_owned).collect();
    assert!(!handled.is_empty());
    assert_eq!(listed_names("## Signals"), handled);
}

/// Checks that each row names a constant, the file that defines it, and its value in this file.
#[test]
fn the_limits_on_the_operations_page_are_constants_of_the_code() {
    let page = read(OPERATIONS_PAGE);
    let limits = rows(section(&page, "### Fixed limits"));
    assert!(!limits.is_empty());
    for cells in limits {
        let (name, file, value) = (quoted(cells[0]), quoted(cells[1]), quoted(cells[2]));
        let text = read(file);
        let is_definition = |line: &&str| line.contains(&format!("const {name}: "));
        let definition = text.lines().find(is_definition);
        let definition = definition.unwrap_or_else(|| panic!("{file} has no constant {name}"));
        assert!(
            definition.ends_with(&format!("= {value};")),
            "{file}: {definition}"
        );
    }
}
