//! Reads the sections and tables of the operations page.

use crate::source::read;
use std::collections::BTreeSet;

pub(crate) const OPERATIONS_PAGE: &str = "docs/operations.md";

/// Returns the part of a page under a heading, up to the next heading of the same or a higher level.
pub(crate) fn section<'a>(page: &'a str, heading: &str) -> &'a str {
    let begin = page.find(&format!("\n{heading}\n"));
    let begin = begin.unwrap_or_else(|| panic!("the page has no '{heading}'")) + 1 + heading.len();
    let rank = heading.chars().take_while(|character| *character == '#').count();
    let rest = &page[begin..];
    let ends = (1..=rank).filter_map(|rank| rest.find(&format!("\n{} ", "#".repeat(rank))));
    &rest[..ends.min().unwrap_or(rest.len())]
}

/// Returns the cells of each row of the tables in a section, without the header rows.
pub(crate) fn rows(section: &str) -> Vec<Vec<&str>> {
    let lines = section.lines().filter(|line| line.starts_with("| `"));
    lines
        .map(|line| line.trim_matches('|').split(" | ").map(str::trim).collect())
        .collect()
}

/// Returns the text between the first pair of backticks.
pub(crate) fn quoted(cell: &str) -> &str {
    cell.split('`')
        .nth(1)
        .expect("the cell contains a name in backticks")
}

/// Returns all texts between pairs of backticks.
pub(crate) fn all_quoted(cell: &str) -> BTreeSet<String> {
    cell.split('`').skip(1).step_by(2).map(str::to_owned).collect()
}

/// Returns the names in the first column of a section's tables; panics if a name is listed twice.
pub(crate) fn listed_names(heading: &str) -> BTreeSet<String> {
    let page = read(OPERATIONS_PAGE);
    let rows = rows(section(&page, heading));
    let names: Vec<String> = rows.iter().map(|cells| quoted(cells[0]).to_owned()).collect();
    let unique: BTreeSet<String> = names.iter().cloned().collect();
    assert_eq!(
        unique.len(),
        names.len(),
        "a name is listed twice under '{heading}': {names:?}"
    );
    unique
}
