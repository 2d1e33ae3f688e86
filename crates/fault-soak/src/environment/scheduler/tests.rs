//! Tests of the log reader.

use super::log_reader::{LogTail, MAX_LINES, reports_violation};

#[test]
fn violations_and_panics_in_a_log_are_recognised() {
    let violation = "function-scheduler: violation kind=\"response after its deadline\" request=7";
    let panic = "function-scheduler: panic part=discovery";
    let other = "function-scheduler: connection closed connection=3 cause=\"reset\"";
    assert!(reports_violation(violation));
    assert!(reports_violation(panic));
    assert!(!reports_violation(other));
}

#[test]
fn the_last_lines_of_a_log_are_kept() {
    let tail = LogTail::default();
    for number in 0..=MAX_LINES {
        tail.push(number.to_string());
    }
    let lines = tail.lines();
    assert_eq!(lines.len(), MAX_LINES);
    assert_eq!(lines.first().map(String::as_str), Some("1"));
    assert_eq!(lines.last(), Some(&MAX_LINES.to_string()));
}
