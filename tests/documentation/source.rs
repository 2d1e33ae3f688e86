//! Reads the code: its files, and the calls of `tracing`'s macros in them.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

pub(crate) fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

pub(crate) fn read(path: impl AsRef<Path>) -> String {
    let path = root().join(path);
    fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// The sources of the library and of the scheduler, without their tests. The adapter to the simulator has no log.
pub(crate) fn source_files(folder: &Path) -> Vec<PathBuf> {
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
pub(crate) fn without_comments(text: &str) -> String {
    let is_code = |line: &&str| !line.trim_start().starts_with("//");
    text.lines().filter(is_code).collect::<Vec<_>>().join("\n")
}

/// The arguments of a macro call, split at the commas that are in no bracket and no string. `text` begins behind the
/// call's opening parenthesis.
pub(crate) fn arguments(text: &str) -> Vec<String> {
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
pub(crate) fn message(arguments: &[String]) -> Option<&str> {
    let mut literals = arguments.iter().filter_map(|argument| argument.strip_prefix('"'));
    literals.next()?.strip_suffix('"')
}

/// What names an event: its message up to the first value, or the value that it is.
pub(crate) fn event_name(message: &str) -> String {
    let words: Vec<&str> = message.split(' ').collect();
    let fixed = words.iter().take_while(|word| !word.contains(['{', '=']));
    words[..fixed.count().max(1)].join(" ")
}

/// The events of one level in the code, by their names.
pub(crate) fn events(level: &str) -> BTreeSet<String> {
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
