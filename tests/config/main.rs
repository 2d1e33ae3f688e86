//! Tests of the configuration documents: parsed values, rejected values and error messages.

mod operator_file;
mod scheduler_file;
mod settings;
mod sources;
#[path = "../support/mod.rs"]
#[allow(dead_code, reason = "each test crate uses a part of the support code")]
mod support;

use function_scheduler::config::{ConfigDocument, ConfigError, ConfigProblem};

/// Asserts the document and key that an error names, and its complete text.
fn assert_error(error: &ConfigError, document: ConfigDocument, key: &str, text: &str) {
    assert_eq!(error.to_string(), text);
    assert_eq!(
        (error.document, key_of(error)),
        (document, key.to_owned()),
        "{text}"
    );
}

/// Returns the key that an error names; empty if only the error's text names it.
fn key_of(error: &ConfigError) -> String {
    match &error.problem {
        ConfigProblem::UnknownValue { key, .. } => key.clone(),
        ConfigProblem::MissingKey { parent, key } => format!("{parent}.{key}"),
        ConfigProblem::OutOfRange { key, .. }
        | ConfigProblem::VirtualRouterOutOfRange { key }
        | ConfigProblem::NotLoopback { key, .. } => (*key).to_owned(),
        ConfigProblem::InvalidJsonRpcWorkerId { .. } | ConfigProblem::DuplicateJsonRpcWorkerId { .. } => {
            "checkers.id".to_owned()
        }
        _ => String::new(),
    }
}
