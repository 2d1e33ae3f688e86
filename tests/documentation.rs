//! The pages against the code: what they name exists, and what an engineer on call can meet is on the operations page.
//!
//! Events are read from the calls of `tracing`'s macros in `src`, counters from the line that the program prints.

#[allow(dead_code, reason = "each test crate uses a part of the support code")]
mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};
use support::scheduler_process::SchedulerProcess;

const OPERATIONS_PAGE: &str = "docs/operations.md";
/// Pages that describe the code as it is. Pages on incidents and open points tell of the code as it was.
const PAGES: [&str; 5] = [
    "README.md",
    "CONTRIBUTING.md",
    "docs/architecture.md",
    "docs/configuration.md",
    OPERATIONS_PAGE,
];
/// Pages that say which function, type or constant does what.
const PAGES_WITH_CODE_NAMES: [&str; 3] = ["docs/architecture.md", "docs/promises.md", OPERATIONS_PAGE];
/// The first folders of the paths that pages name.
const FOLDERS: [&str; 5] = ["src/", "tests/", "crates/", "docs/", "deploy/"];
/// Levels of the events of which the page has a row each.
const LISTED_LEVELS: [&str; 3] = ["error", "warn", "info"];
const DEBUG_LEVEL: &str = "debug";
/// What an engineer sees of the event whose text is the counters themselves.
const COUNTERS_EVENT: &str = "counters";

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn read(path: impl AsRef<Path>) -> String {
    let path = root().join(path);
    fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// The sources of the library and of the scheduler, without their tests. The adapter to the simulator has no log.
fn source_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).expect("the folder is readable") {
        let path = entry.expect("a folder entry").path();
        let name = path.file_name().and_then(|name| name.to_str()).expect("a name");
        if path.is_dir() && !["tests", "bin"].contains(&name) {
            files.extend(source_files(&path));
        } else if name.ends_with(".rs") && name != "tests.rs" {
            files.push(path);
        }
    }
    files
}

/// A source text whose comments are blank, so that only code is found in it.
fn without_comments(text: &str) -> String {
    let is_code = |line: &&str| !line.trim_start().starts_with("//");
    text.lines().filter(is_code).collect::<Vec<_>>().join("\n")
}

/// The arguments of a macro call, split at the commas that are in no bracket and no string. `text` begins behind the
/// call's opening parenthesis.
fn arguments(text: &str) -> Vec<String> {
    let mut arguments = vec![String::new()];
    let mut depth = 0;
    let mut is_in_string = false;
    let mut is_escaped = false;
    for character in text.chars() {
        if !is_in_string {
            match character {
                ')' if depth == 0 => break,
                ',' if depth == 0 => {
                    arguments.push(String::new());
                    continue;
                }
                '(' | '[' | '{' => depth += 1,
                ')' | ']' | '}' => depth -= 1,
                _ => {}
            }
        }
        if character == '"' && !is_escaped {
            is_in_string = !is_in_string;
        }
        is_escaped = is_in_string && character == '\\' && !is_escaped;
        arguments.last_mut().expect("there is one").push(character);
    }
    arguments
        .iter()
        .map(|argument| argument.trim().to_owned())
        .collect()
}

/// The message text of an event, which has no values in it: the first argument that is a string alone.
fn message(arguments: &[String]) -> Option<&str> {
    let mut literals = arguments.iter().filter_map(|argument| argument.strip_prefix('"'));
    literals.next()?.strip_suffix('"')
}

/// What names an event: its message up to the first value, or the value that it is.
fn event_name(message: &str) -> String {
    let words: Vec<&str> = message.split(' ').collect();
    let fixed = words.iter().take_while(|word| !word.contains(['{', '=']));
    words[..fixed.count().max(1)].join(" ")
}

/// The events of one level in the code, by their names.
fn events(level: &str) -> BTreeSet<String> {
    let call = format!("{level}!(");
    let mut events = BTreeSet::new();
    for file in source_files(&root().join("src")) {
        let text = without_comments(&read(&file));
        for (place, _) in text.match_indices(&call) {
            let is_other_macro =
                text[..place].ends_with(|character: char| character.is_alphanumeric() || character == '_');
            if is_other_macro {
                continue;
            }
            let arguments = arguments(&text[place + call.len()..]);
            let message = message(&arguments);
            let message =
                message.unwrap_or_else(|| panic!("{}: {arguments:?} has no message", file.display()));
            events.insert(event_name(message));
        }
    }
    events
}

/// The part of a page under a heading, up to the next one of the same or a higher rank.
fn section<'a>(page: &'a str, heading: &str) -> &'a str {
    let begin = page.find(&format!("\n{heading}\n"));
    let begin = begin.unwrap_or_else(|| panic!("the page has no '{heading}'")) + 1 + heading.len();
    let rank = heading.chars().take_while(|character| *character == '#').count();
    let rest = &page[begin..];
    let ends = (1..=rank).filter_map(|rank| rest.find(&format!("\n{} ", "#".repeat(rank))));
    &rest[..ends.min().unwrap_or(rest.len())]
}

/// The rows of the tables in a part of a page, without their heads: the cells of each.
fn rows(section: &str) -> Vec<Vec<&str>> {
    let lines = section.lines().filter(|line| line.starts_with("| `"));
    lines
        .map(|line| line.trim_matches('|').split(" | ").map(str::trim).collect())
        .collect()
}

/// The text between the first pair of backticks.
fn quoted(cell: &str) -> &str {
    cell.split('`').nth(1).expect("a name between backticks")
}

/// The names in the first column of a section's tables, each of which stands there once.
fn listed(heading: &str) -> BTreeSet<String> {
    let page = read(OPERATIONS_PAGE);
    let rows = rows(section(&page, heading));
    let names: Vec<String> = rows.iter().map(|cells| quoted(cells[0]).to_owned()).collect();
    let unique: BTreeSet<String> = names.iter().cloned().collect();
    assert_eq!(
        unique.len(),
        names.len(),
        "a name stands twice under '{heading}': {names:?}"
    );
    unique
}

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
    assert_eq!(listed("## Counters"), printed);
}

#[test]
fn the_operations_page_lists_each_log_event_from_info_upwards_with_its_level_and_no_other() {
    let page = read(OPERATIONS_PAGE);
    let mut on_page: BTreeMap<&str, BTreeSet<String>> = BTreeMap::new();
    for cells in rows(section(&page, "### Events")) {
        let event = quoted(cells[0]).to_owned();
        assert!(
            on_page.entry(cells[1]).or_default().insert(event),
            "{cells:?} stands twice"
        );
    }
    let in_code = LISTED_LEVELS.map(|level| (level, events(level)));
    assert_eq!(on_page, BTreeMap::from(in_code));
}

#[test]
fn the_operations_page_lists_each_debug_event_and_no_other() {
    assert_eq!(listed("## Follow one request"), events(DEBUG_LEVEL));
}

#[test]
fn the_operations_page_lists_each_kind_of_violation_and_no_other() {
    let text = read("src/scheduler/invariants.rs");
    let kinds = text
        .split("#[error(\"")
        .skip(1)
        .filter_map(|rest| rest.split('"').next());
    let kinds: BTreeSet<String> = kinds.map(str::to_owned).collect();
    assert_eq!(listed("### Kinds of violation"), kinds);
}

/// Only then are the events in the code those that the tests above find.
#[test]
fn no_event_is_logged_in_another_way() {
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
    assert_eq!(listed("## Signals"), handled);
}

/// Each limit is named by its constant, beside the file that has it and with the value that it has there.
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

#[test]
fn the_paths_in_the_pages_exist() {
    for page in PAGES {
        let text = read(page);
        let quotes = text.split('`').skip(1).step_by(2);
        let is_path =
            |quote: &&str| FOLDERS.iter().any(|folder| quote.starts_with(folder)) && !quote.contains(' ');
        for path in quotes.filter(is_path) {
            assert!(root().join(path).exists(), "{page} names {path}");
        }
    }
}

/// Whether a quoted word of a page is a name in the code: a path, a type, a constant, or a name of several words.
fn is_code_name(word: &str) -> bool {
    let is_name = |part: &str| {
        part.starts_with(|c: char| c.is_ascii_alphabetic())
            && part.chars().all(|c| c.is_ascii_alphanumeric() || c == '_')
    };
    let has_small_letter = word.contains(|c: char| c.is_ascii_lowercase());
    let has_capital_letter = word.contains(|c: char| c.is_ascii_uppercase());
    word.split("::").all(is_name)
        && (word.contains("::") || word.contains('_') || has_small_letter && has_capital_letter)
}

/// Functions, types and constants that these pages name are those of the code.
#[test]
fn the_names_of_the_code_in_the_pages_exist() {
    let files = source_files(&root().join("src"));
    let code: Vec<String> = files.iter().map(|file| without_comments(&read(file))).collect();
    let words = code
        .iter()
        .flat_map(|text| text.split(|c: char| !c.is_ascii_alphanumeric() && c != '_'));
    let mut known: BTreeSet<&str> = words.collect();
    known.extend(files.iter().filter_map(|file| file.file_stem()?.to_str()));
    for page in PAGES_WITH_CODE_NAMES {
        let text = read(page);
        let names = text
            .split('`')
            .skip(1)
            .step_by(2)
            .filter(|word| is_code_name(word));
        let parts = names.flat_map(|name| name.split("::"));
        let missing: BTreeSet<&str> = parts.filter(|part| !known.contains(part)).collect();
        assert!(missing.is_empty(), "{page} names {missing:?}");
    }
}

/// A module's path in a page, such as `scheduler::timers`, is that of a file or folder in `src`.
#[test]
fn the_modules_on_the_architecture_page_exist() {
    let text = read("docs/architecture.md");
    let mut count = 0;
    for quote in text.split('`').skip(1).step_by(2) {
        let is_module = quote.contains("::")
            && quote
                .split("::")
                .all(|part| !part.is_empty() && part.chars().all(|c| c.is_ascii_lowercase() || c == '_'));
        if is_module {
            let path = root().join("src").join(quote.replace("::", "/"));
            assert!(
                path.is_dir() || path.with_extension("rs").is_file(),
                "no module {quote}"
            );
            count += 1;
        }
    }
    assert!(count > 0, "the page names no module");
}
