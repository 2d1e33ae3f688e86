//! Tests of the error messages of a failed start.

use std::process::{Command, Stdio};

/// Runs the program with these arguments and this configuration path, and returns its standard error.
fn start(arguments: &[&str], configuration: Option<&str>) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_function-scheduler"));
    command
        .args(arguments)
        .env_remove("GW_CONFIG")
        .stdin(Stdio::null());
    if let Some(path) = configuration {
        command.env("GW_CONFIG", path);
    }
    let output = command.output().unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(output.stdout.is_empty());
    String::from_utf8(output.stderr).unwrap()
}

#[test]
fn startup_errors_are_reported_on_standard_error() {
    const USAGE: &str = "function-scheduler: usage: function-scheduler [--operator FILE]\n";
    const NOT_FOUND: &str = "No such file or directory (os error 2)";
    for arguments in [
        &["--operator"][..],
        &["--other", "f"],
        &["--operator", "f", "more"],
    ] {
        assert_eq!(
            start(arguments, Some("/nowhere/config.json")),
            USAGE,
            "{arguments:?}"
        );
    }
    assert_eq!(
        start(&[], None),
        "function-scheduler: environment variable GW_CONFIG is not set\n"
    );
    let expected = format!("function-scheduler: configuration: cannot read /nowhere/c.json: {NOT_FOUND}\n");
    assert_eq!(start(&[], Some("/nowhere/c.json")), expected);
    let expected = format!("function-scheduler: operator's file: cannot read /nowhere/o: {NOT_FOUND}\n");
    assert_eq!(
        start(&["--operator", "/nowhere/o"], Some("/nowhere/c.json")),
        expected
    );
}
