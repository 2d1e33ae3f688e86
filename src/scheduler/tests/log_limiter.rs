//! The rate limit on log lines.

use super::*;

#[test]
fn log_lines_that_clients_cause_are_limited() {
    let mut scheduler = test_scheduler();
    let mut allowed_of_25 = |millis| {
        (0..25)
            .filter(|_| scheduler.admits_log_line(at_millis(millis)))
            .count()
    };
    assert_eq!(allowed_of_25(0), 10);
    assert_eq!(allowed_of_25(1_000), 10);
    assert_eq!(allowed_of_25(1_500), 0);
    assert_eq!(scheduler.counters().log_lines_suppressed, 55);
}
