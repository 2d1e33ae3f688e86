//! Reads the source files and the calls of the `tracing` macros in them.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};

pub(crate) fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

pub(crate) fn read(path: impl AsRef<Path>) -> String {
    let path = root().join(path);
    fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Returns the source files in a folder and its subfolders, without tests and without the folder `bin`.
///
/// `bin` contains the adapter to the simulator, which does not log.
pub(crate) fn source_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).expect("the folder is readable") {
        let path = entry.expect("the folder entry is readable").path();
        let name = path
            .file_name()
            .and_then(|name| name.to_str())
            .expect("the file name is UTF-8");
        if path.is_dir() && !["tests", "bin"].contains(&name) {
            files.extend(source_files(&path));
        } else if name.ends_with(".rs") && name != "tests.rs" {
            files.push(path);
        }
    }
    files
}

/// Returns a source text without its comment lines, so that a search finds only code.
pub(crate) fn without_comments(text: &str) -> String {
    let is_code = |line: &&str| !line.trim_start().starts_with("//");
    text.lines().filter(is_code).collect::<Vec<_>>().join("\n")
}

/// Returns the arguments of a macro call, split at the commas outside of brackets and strings.
///
/// `text` begins after the opening parenthesis of the call.
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
        arguments
            .last_mut()
            .expect("the list is never empty")
            .push(character);
    }
    arguments
        .iter()
        .map(|argument| argument.trim().to_owned())
        .collect()
}

/// The names of an event's fields, collected from all calls that log the event.
pub(crate) type Fields = BTreeSet<String>;

/// An event that a macro call logs.
struct LoggedEvent {
    name: String,
    fields: Fields,
}

impl LoggedEvent {
    /// Returns the event of a call with these arguments, or `None` if its message is missing or is neither a
    /// fixed text nor a single value.
    fn from_arguments(arguments: &[String]) -> Option<LoggedEvent> {
        let position = arguments.iter().position(|argument| argument.starts_with('"'))?;
        let message = arguments[position].trim_matches('"');
        let is_value = message.starts_with('{') && message.find('}') == Some(message.len() - 1);
        let is_fixed = !message.contains(['{', '=']);
        (is_value || is_fixed).then(|| LoggedEvent {
            name: message.to_owned(),
            fields: arguments[..position]
                .iter()
                .map(|field| field_name(field))
                .collect(),
        })
    }
}

/// Returns the name of a field that is given as `name = value` or as a variable with that name.
fn field_name(field: &str) -> String {
    let name = field.split('=').next().unwrap_or(field);
    name.trim().trim_start_matches(['?', '%']).to_owned()
}

/// Returns the events of one level in the code, keyed by name.
pub(crate) fn events(level: &str) -> BTreeMap<String, Fields> {
    let call = format!("{level}!(");
    let mut events: BTreeMap<String, Fields> = BTreeMap::new();
    for file in source_files(&root().join("src")) {
        let text = without_comments(&read(&file));
        for (position, _) in text.match_indices(&call) {
            let is_other_macro = text[..position].ends_with(|c: char| c.is_alphanumeric() || c == '_');
            if is_other_macro {
                continue;
            }
            let arguments = arguments(&text[position + call.len()..]);
            let event = LoggedEvent::from_arguments(&arguments);
            let event =
                event.unwrap_or_else(|| panic!("{}: {arguments:?} has no fixed message", file.display()));
            events.entry(event.name).or_default().extend(event.fields);
        }
    }
    events
}
