//! Tests of the format of log lines.

pub(crate) mod capture;

use capture::captured_log;
use tracing::{debug, error};

/// The message comes first regardless of its position in the code. Strings are quoted; numbers, names and
/// formatted values are not.
#[test]
fn a_line_is_the_message_and_its_fields_in_order() {
    let text = captured_log(|| {
        debug!(
            request = 1_u64,
            attempt = 0_u16,
            worker = format_args!("{:08x}", 42),
            state = ?Some(3),
            outcome = %"served",
            expired = true,
            cause = "no \"connection\"",
            "attempt ended"
        );
    });
    let expected = "function-scheduler: attempt ended request=1 attempt=0 worker=0000002a state=Some(3) \
        outcome=served expired=true cause=\"no \\\"connection\\\"\"\n";
    assert_eq!(text, expected);
}

#[test]
fn each_event_is_one_line() {
    let text = captured_log(|| {
        error!(kind = "first\nand more", "violation");
        error!("second");
    });
    let expected = "function-scheduler: violation kind=\"first\\nand more\"\nfunction-scheduler: second\n";
    assert_eq!(text, expected);
}
