//! Checks that the paths, modules, functions, types, constants and kinds of faults that the pages name exist.

use crate::page::OPERATIONS_PAGE;
use crate::source::{read, root, source_files, without_comments};
use std::collections::BTreeSet;

/// Pages that describe the current code. Pages on incidents and open points describe earlier states of the
/// code.
const PAGES: [&str; 5] = [
    "README.md",
    "CONTRIBUTING.md",
    "docs/architecture.md",
    "docs/configuration.md",
    OPERATIONS_PAGE,
];
/// Pages that describe functions, types and constants of the code by name.
const PAGES_WITH_CODE_NAMES: [&str; 4] = [
    "CONTRIBUTING.md",
    "docs/architecture.md",
    "docs/promises.md",
    OPERATIONS_PAGE,
];
/// Prefixes of the paths that pages name.
const FOLDERS: [&str; 5] = ["src/", "tests/", "crates/", "docs/", "deploy/"];

/// Returns whether a quoted word of a page has the form of a name in the code: a path, a type, a constant, or
/// a name of several words.
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

#[test]
fn the_paths_in_the_pages_exist() {
    for page in PAGES {
        let text = read(page);
        let quotes = text.split('`').skip(1).step_by(2);
        let is_path =
            |quote: &&str| FOLDERS.iter().any(|folder| quote.starts_with(folder)) && !quote.contains(' ');
        for path in quotes.filter(is_path) {
            assert!(
                root().join(path).exists(),
                "{page} names {path}, which does not exist"
            );
        }
    }
}

/// Guards against pages that name functions, types or constants which the code does not have.
#[test]
fn the_names_of_the_code_in_the_pages_exist() {
    let mut files = source_files(&root().join("src"));
    files.extend(source_files(&root().join("crates")));
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
        assert!(
            missing.is_empty(),
            "{page} names {missing:?}, which the code does not contain"
        );
    }
}

/// Guards against command lines such as `--kinds kill,pause` with a kind of fault that the soak does not
/// have.
#[test]
fn the_kinds_of_faults_in_the_pages_exist() {
    let text = without_comments(&read("crates/fault-soak/src/faults/kind.rs"));
    let variants = section_between(&text, "enum FaultKind {", "}");
    let kinds: BTreeSet<String> = variants
        .split(',')
        .map(|variant| kebab_case(variant.trim()))
        .collect();
    let mut count = 0;
    for page in PAGES {
        let text = read(page);
        for rest in text.split("--kinds ").skip(1) {
            let list = rest
                .split([' ', '\n', '`'])
                .next()
                .expect("split returns at least one part");
            for kind in list.split(',') {
                assert!(
                    kinds.contains(kind),
                    "{page} names the kind {kind}, which is not among {kinds:?}"
                );
                count += 1;
            }
        }
    }
    assert!(count > 0, "no page names a kind of fault");
}

fn section_between<'a>(text: &'a str, begin: &str, end: &str) -> &'a str {
    let (_, rest) = text
        .split_once(begin)
        .expect("the text contains the start marker");
    rest.split_once(end).expect("the text contains the end marker").0
}

fn kebab_case(name: &str) -> String {
    let mut words = String::new();
    for letter in name.chars() {
        if letter.is_ascii_uppercase() && !words.is_empty() {
            words.push('-');
        }
        words.push(letter.to_ascii_lowercase());
    }
    words
}

/// Checks that each module path in the text and the diagrams, such as `scheduler::timers`, is a file or
/// folder in `src`.
#[test]
fn the_modules_on_the_architecture_page_exist() {
    let text = read("docs/architecture.md");
    let is_part = |part: &str| !part.is_empty() && part.chars().all(|c| c.is_ascii_lowercase() || c == '_');
    let words = text.split(|c: char| !c.is_ascii_alphanumeric() && c != '_' && c != ':');
    let modules: Vec<&str> = words
        .filter(|word| word.contains("::") && word.split("::").all(is_part))
        .collect();
    assert!(!modules.is_empty(), "the page names no module");
    for module in modules {
        let path = root().join("src").join(module.replace("::", "/"));
        assert!(
            path.is_dir() || path.with_extension("rs").is_file(),
            "the page names the module {module}, which does not exist"
        );
    }
}

#[test]
fn the_readme_has_a_row_for_each_module_of_the_library() {
    let text = read("README.md");
    let library = read("src/lib.rs");
    let declarations = library.lines().map(|line| line.trim_start_matches("pub "));
    let modules: Vec<&str> = declarations
        .filter_map(|line| line.strip_prefix("mod ")?.strip_suffix(';'))
        .collect();
    assert!(!modules.is_empty());
    for module in modules {
        let rows = [format!("`src/{module}`"), format!("`src/{module}.rs`")];
        assert!(
            rows.iter().any(|row| text.contains(row)),
            "the README has no row for the module {module}"
        );
    }
}
