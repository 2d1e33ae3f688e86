//! Checks limits on the modules of the policy, which are the files that the deploy file lists under `policy`.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// The maximum number of non-blank lines in a file of the policy, because a module has one responsibility.
const MAX_FILE_LINES: usize = 260;
/// The maximum number of columns in a line.
const MAX_COLUMNS: usize = 110;
/// The folder of the policy, relative to the root of the repository.
const POLICY_FOLDER: &str = "src/policy";
/// The file with the policy's interface, which the documentation of the policy's main module names.
const INTERFACE_FILE: &str = "src/model/mod.rs";

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// Returns the files that the deploy file lists under `policy`, as written there.
fn listed_files() -> Vec<String> {
    let text = fs::read_to_string(root().join("deploy/balancer.toml")).expect("the deploy file is readable");
    let deploy: toml::Table = text.parse().expect("the deploy file is TOML");
    let files = deploy["policy"].as_array().expect("`policy` is a list");
    files
        .iter()
        .map(|file| {
            file.as_str()
                .expect("each entry of `policy` is a path")
                .to_owned()
        })
        .collect()
}

fn read(file: &str) -> String {
    fs::read_to_string(root().join(file)).unwrap_or_else(|error| panic!("{file}: {error}"))
}

/// Returns all Rust files in a folder and its subfolders, relative to the root of the repository.
fn rust_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = vec![];
    for entry in fs::read_dir(root().join(folder)).expect("the folder is readable") {
        let entry = entry.expect("the folder entry is readable");
        let path = folder.join(entry.file_name());
        if entry.file_type().expect("the file type is readable").is_dir() {
            files.extend(rust_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    files
}

/// Guards against modules with more than one responsibility and modules without documentation.
///
/// The operators have lifted the limit on the total number of lines, so there is only a limit for each file.
#[test]
fn each_policy_file_is_a_documented_module_of_bounded_size() {
    let files = listed_files();
    assert!(!files.is_empty(), "the deploy file lists no file of the policy");
    for file in files {
        let text = read(&file);
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!(
            (1..=MAX_FILE_LINES).contains(&lines),
            "{file}: {lines} non-blank lines"
        );
        assert!(
            text.starts_with("//! "),
            "{file}: the module documentation is missing"
        );
    }
}

#[test]
fn no_line_of_a_policy_file_is_too_long() {
    for file in listed_files() {
        for (index, line) in read(&file).lines().enumerate() {
            let columns = line.chars().count();
            assert!(columns <= MAX_COLUMNS, "{file}:{}: {columns} columns", index + 1);
        }
    }
}

#[test]
fn the_deploy_file_names_each_file_of_the_policy_once_and_no_other() {
    let named = listed_files();
    let named_paths: BTreeSet<PathBuf> = named.iter().map(PathBuf::from).collect();
    assert_eq!(
        named_paths.len(),
        named.len(),
        "a file is listed twice: {named:?}"
    );
    let found: BTreeSet<PathBuf> = rust_files(Path::new(POLICY_FOLDER)).into_iter().collect();
    assert_eq!(named_paths, found);
}

#[test]
fn the_policy_module_documentation_names_the_interface_file() {
    let text = read("src/policy/mod.rs");
    assert!(
        text.lines().take(3).any(|line| line.contains(INTERFACE_FILE)),
        "the documentation of the policy does not name {INTERFACE_FILE}"
    );
}
