//! Limits on the modules of the policy: the files that the deploy file names under `policy`.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Most non-blank lines in one file of the policy: a module has one job.
const MAX_FILE_LINES: usize = 260;
/// Most columns in one line.
const MAX_COLUMNS: usize = 110;
/// The policy's folder, relative to the root.
const POLICY_FOLDER: &str = "src/policy";
/// Where the policy's interface is; named at the head of its main module.
const INTERFACE_FILE: &str = "src/model/mod.rs";

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// Files that the deploy file names under `policy`, as written there.
fn named_files() -> Vec<String> {
    let text = fs::read_to_string(root().join("deploy/balancer.toml")).expect("the deploy file is readable");
    let deploy: toml::Table = text.parse().expect("the deploy file is TOML");
    let files = deploy["policy"].as_array().expect("`policy` is a list");
    files
        .iter()
        .map(|file| file.as_str().expect("a path").to_owned())
        .collect()
}

fn read(file: &str) -> String {
    fs::read_to_string(root().join(file)).unwrap_or_else(|error| panic!("{file}: {error}"))
}

/// All Rust files in a folder and below, relative to the root.
fn rust_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = vec![];
    for entry in fs::read_dir(root().join(folder)).expect("the folder is readable") {
        let entry = entry.expect("a folder entry");
        let path = folder.join(entry.file_name());
        if entry.file_type().expect("a file type").is_dir() {
            files.extend(rust_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    files
}

/// The operators have lifted the limit on all lines together (2026-12-02); decisions stay in modules of one job each.
#[test]
fn each_policy_file_is_a_documented_module_of_bounded_size() {
    let files = named_files();
    assert!(!files.is_empty(), "the deploy file names no policy");
    for file in files {
        let text = read(&file);
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!(
            (1..=MAX_FILE_LINES).contains(&lines),
            "{file}: {lines} non-blank lines"
        );
        assert!(text.starts_with("//! "), "{file}: its head says what it decides");
    }
}

#[test]
fn no_line_of_a_policy_file_is_too_long() {
    for file in named_files() {
        for (index, line) in read(&file).lines().enumerate() {
            let columns = line.chars().count();
            assert!(columns <= MAX_COLUMNS, "{file}:{}: {columns} columns", index + 1);
        }
    }
}

#[test]
fn the_deploy_file_names_each_file_of_the_policy_once_and_no_other() {
    let named = named_files();
    let named_paths: BTreeSet<PathBuf> = named.iter().map(PathBuf::from).collect();
    assert_eq!(named_paths.len(), named.len(), "a file is named twice: {named:?}");
    let found: BTreeSet<PathBuf> = rust_files(Path::new(POLICY_FOLDER)).into_iter().collect();
    assert_eq!(named_paths, found);
}

#[test]
fn the_policy_module_documentation_names_the_interface_file() {
    let text = read("src/policy/mod.rs");
    assert!(
        text.lines().take(3).any(|line| line.contains(INTERFACE_FILE)),
        "{INTERFACE_FILE} is not named"
    );
}
