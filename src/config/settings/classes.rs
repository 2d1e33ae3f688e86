//! Request classes in the settings: their latency objectives, deadlines and idempotency.
//!
//! In each function, `key` is the path of the class in the document, for error messages.

use super::document::ClassDocument;
use crate::config::error::ConfigProblem;
use crate::model::{DeduplicationScope, Idempotency, RequestClass, Span};

/// Default priority weight of a class.
const DEFAULT_PRIORITY_WEIGHT: f64 = 1.0;

/// Parses the classes in the order of the document; a request refers to its class by index.
pub(super) fn parse_classes(documents: &[ClassDocument]) -> Result<Vec<RequestClass>, ConfigProblem> {
    let numbered = documents.iter().enumerate();
    numbered
        .map(|(number, class)| parse_class(&format!("classes[{number}]"), class))
        .collect()
}

fn parse_class(key: &str, class: &ClassDocument) -> Result<RequestClass, ConfigProblem> {
    Ok(RequestClass {
        latency_objective: Span(class.latency_objective_ns),
        deadline: Span(class.deadline_ns),
        priority_weight: class.priority_weight.unwrap_or(DEFAULT_PRIORITY_WEIGHT),
        late_value: class.late_value,
        idempotency: parse_idempotency(key, class)?,
    })
}

fn parse_idempotency(key: &str, class: &ClassDocument) -> Result<Idempotency, ConfigProblem> {
    match class.idempotency.as_str() {
        "retryable" => Ok(Idempotency::Idempotent),
        "fragile" => Ok(Idempotency::NonIdempotent),
        "dedup" => parse_deduplication(key, class),
        other => Err(ConfigProblem::unknown_value(format!("{key}.effect"), other)),
    }
}

/// Parses the two further keys that a deduplicated class requires; other classes may omit them.
fn parse_deduplication(key: &str, class: &ClassDocument) -> Result<Idempotency, ConfigProblem> {
    let missing = |missing_key| ConfigProblem::MissingKey {
        parent: key.to_owned(),
        key: missing_key,
    };
    let scope = class
        .deduplication_scope
        .as_deref()
        .ok_or_else(|| missing("group"))?;
    let scope = parse_deduplication_scope(key, scope)?;
    let window_ns = class
        .deduplication_window_ns
        .ok_or_else(|| missing("repeatWindowNs"))?;
    Ok(Idempotency::Keyed {
        scope,
        window: Span(window_ns),
    })
}

fn parse_deduplication_scope(key: &str, value: &str) -> Result<DeduplicationScope, ConfigProblem> {
    match value {
        "all" => Ok(DeduplicationScope::All),
        "zone" => Ok(DeduplicationScope::Zone),
        "cell" => Ok(DeduplicationScope::Cell),
        other => Err(ConfigProblem::unknown_value(format!("{key}.group"), other)),
    }
}
