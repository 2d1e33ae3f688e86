//! Tests of reading the configuration files.

use function_scheduler::config::{ConfigDocument, ConfigProblem, ConfigSources};
use std::path::PathBuf;

#[test]
fn a_file_that_cannot_be_read_is_named() {
    let sources = |scheduler: &str, operator: Option<&str>| ConfigSources {
        scheduler_file: scheduler.into(),
        operator_file: operator.map(PathBuf::from),
    };
    for (sources, document, unreadable_path) in [
        (
            sources("/nowhere/config.json", None),
            ConfigDocument::SchedulerFile,
            "/nowhere/config.json",
        ),
        (
            sources("/nowhere", Some("/nowhere/op.toml")),
            ConfigDocument::OperatorFile,
            "/nowhere/op.toml",
        ),
    ] {
        let error = sources.load().unwrap_err();
        assert_eq!(error.document, document);
        let expected =
            format!("{document}: cannot read {unreadable_path}: No such file or directory (os error 2)");
        assert_eq!(error.to_string(), expected);
        assert!(matches!(
            error.problem,
            ConfigProblem::Unreadable { path, .. } if path.as_os_str() == unreadable_path
        ));
    }
}
